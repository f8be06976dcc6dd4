/**
 * Renders response bodies in the OpenAI format, and the typed error body of
 * every refusal and failure.
 */
import type {CallerRequest} from './requests.js';

/** Error types in answers to callers. */
export type CallerErrorType =
  | 'unauthorized'
  | 'forbidden'
  | 'bad_request'
  | 'refused'
  | 'not_run'
  | 'outcome_unknown'
  | 'deadline_exceeded'
  | 'shutting_down';

/**
 * Renders the JSON error body.
 *
 * @example
 * renderError('not_run', 'no_target', 'gate-1-7'); // {error: {type: 'not_run', ...}}
 */
export function renderError(
  type: CallerErrorType,
  reason: string,
  requestId?: string,
): object {
  return {error: {type, reason, request_id: requestId}};
}

/**
 * Renders the body of a non-streamed completion.
 *
 * @example
 * renderCompletion(request, 'gate-1-7', ' t0 t1', 2, 1000);
 */
export function renderCompletion(
  request: CallerRequest,
  requestId: string,
  text: string,
  completionTokens: number,
  promptTokens: number,
): object {
  const usage = {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
  };
  const created = Math.floor(Date.now() / 1000);
  if (request.api === 'chat') {
    return {
      id: requestId,
      object: 'chat.completion',
      created,
      model: request.pool,
      choices: [
        {
          index: 0,
          message: {role: 'assistant', content: text},
          finish_reason: 'length',
        },
      ],
      usage,
    };
  }
  return {
    id: requestId,
    object: 'text_completion',
    created,
    model: request.pool,
    choices: [{index: 0, text, finish_reason: 'length'}],
    usage,
  };
}

/**
 * Renders one chunk of a streamed completion.
 *
 * @example
 * renderStreamChunk(request, 'gate-1-7', ' t0');
 */
export function renderStreamChunk(
  request: CallerRequest,
  requestId: string,
  text: string,
): object {
  if (request.api === 'chat') {
    return {
      id: requestId,
      object: 'chat.completion.chunk',
      model: request.pool,
      choices: [{index: 0, delta: {content: text}, finish_reason: null}],
    };
  }
  return {
    id: requestId,
    object: 'text_completion',
    model: request.pool,
    choices: [{index: 0, text, finish_reason: null}],
  };
}
