/**
 * Parses caller requests (OpenAI-style completions and chat completions, and
 * calls of plain services) into one common type.
 */
import {describeIssues} from '@nutmeggauge/core';
import {z} from 'zod';

/** Maximum number of tokens that a request may ask to generate. */
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

/** A caller request of any API, as the gate handles it. */
export interface CallerRequest {
  readonly api: 'completion' | 'chat' | 'call';
  /** Id of the model pool or plain service. */
  readonly pool: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly op?: string;
  readonly args?: Readonly<Record<string, unknown>>;
}

/**
 * Parses the body of a caller request to `path`; returns an error message if it
 * is invalid.
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
    return toGenerateRequest('completion', parsed.data, parsed.data.prompt);
  }
  if (path === '/v1/chat/completions') {
    const parsed = ChatSchema.safeParse(body);
    if (!parsed.success) return {error: describeIssues(parsed.error.issues)};
    const lines = parsed.data.messages.map(m => `${m.role}: ${m.content}`);
    return toGenerateRequest('chat', parsed.data, lines.join('\n'));
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

function toGenerateRequest(
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
