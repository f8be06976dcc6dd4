/**
 * Parsing of caller requests (OpenAI-style completions and chat
 * completions, and plain service calls) into one shape.
 */
import {z} from 'zod';

/** Characters counted as one token, as the engines count them. */
export const CHARS_PER_TOKEN = 4;

const CompletionSchema = z.object({
  model: z.string().min(1),
  prompt: z.string(),
  max_tokens: z.number().int().positive().max(32_768).default(16),
  stream: z.boolean().default(false),
});

const ChatSchema = z.object({
  model: z.string().min(1),
  messages: z.array(z.object({role: z.string(), content: z.string()})).min(1),
  max_tokens: z.number().int().positive().max(32_768).default(16),
  stream: z.boolean().default(false),
});

/** A caller request in the gate's own terms. */
export interface CallerRequest {
  readonly api: 'completion' | 'chat' | 'call';
  /** Model pool or plain service id. */
  readonly pool: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly op?: string;
  readonly args?: Readonly<Record<string, unknown>>;
}

/**
 * Parses a caller body for `path`; returns a message on failure.
 *
 * @example
 * parseCallerRequest('/v1/completions', {model: 'chat', prompt: 'hi'});
 */
export function parseCallerRequest(
  path: string,
  body: unknown,
): CallerRequest | {readonly error: string} {
  if (path === '/v1/completions') {
    const parsed = CompletionSchema.safeParse(body);
    if (!parsed.success)
      return {
        error: parsed.error.issues
          .map(i => `${i.path.join('.')}: ${i.message}`)
          .join('; '),
      };
    const {model, prompt, max_tokens: maxTokens, stream} = parsed.data;
    return {api: 'completion', pool: model, prompt, maxTokens, stream};
  }
  if (path === '/v1/chat/completions') {
    const parsed = ChatSchema.safeParse(body);
    if (!parsed.success)
      return {
        error: parsed.error.issues
          .map(i => `${i.path.join('.')}: ${i.message}`)
          .join('; '),
      };
    const {model, messages, max_tokens: maxTokens, stream} = parsed.data;
    const prompt = messages.map(m => `${m.role}: ${m.content}`).join('\n');
    return {api: 'chat', pool: model, prompt, maxTokens, stream};
  }
  const call = /^\/v1\/services\/([^/]+)\/([^/]+)$/.exec(path);
  if (call !== null) {
    const args =
      typeof body === 'object' && body !== null
        ? (body as Record<string, unknown>)
        : {};
    return {
      api: 'call',
      pool: call[1],
      op: call[2],
      args,
      prompt: '',
      maxTokens: 0,
      stream: false,
    };
  }
  return {error: `unknown path ${path}`};
}
