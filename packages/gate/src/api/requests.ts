/**
 * Parsing of caller requests (OpenAI-style completions and chat
 * completions, and plain service calls) into one shape.
 */
import {describeIssues} from '@nutmeggauge/core';
import {z} from 'zod';

/** Most tokens that one request may ask to generate. */
const MAX_NEW_TOKENS = 32_768;

const GenerateSchema = z.object({
  model: z.string().min(1),
  max_tokens: z.number().int().positive().max(MAX_NEW_TOKENS).default(16),
  stream: z.boolean().default(false),
});

const CompletionSchema = GenerateSchema.extend({prompt: z.string()});

const ChatSchema = GenerateSchema.extend({
  messages: z.array(z.object({role: z.string(), content: z.string()})).min(1),
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
    if (!parsed.success) return {error: describeIssues(parsed.error.issues)};
    return toGenerate('completion', parsed.data, parsed.data.prompt);
  }
  if (path === '/v1/chat/completions') {
    const parsed = ChatSchema.safeParse(body);
    if (!parsed.success) return {error: describeIssues(parsed.error.issues)};
    const lines = parsed.data.messages.map(m => `${m.role}: ${m.content}`);
    return toGenerate('chat', parsed.data, lines.join('\n'));
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

function toGenerate(
  api: 'completion' | 'chat',
  body: z.output<typeof GenerateSchema>,
  prompt: string,
): CallerRequest {
  return {
    api,
    pool: body.model,
    prompt,
    maxTokens: body.max_tokens,
    stream: body.stream,
  };
}
