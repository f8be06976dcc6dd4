/**
 * Client of an engine's `POST /v1/generate`, which streams the answer as SSE.
 */
import {
  OversizedBodyError,
  countTokens,
  findLengthClass,
  readSseEvents,
} from '@nutmeggauge/core';
import {request} from 'undici';
import {z} from 'zod';
import {TargetClient, isConnectFailure} from './target.js';
import type {DispatchOutcome, DispatchRequest} from '@nutmeggauge/core';
import type {ChunkSink} from './target.js';

/**
 * Shortest lease on the engine's KV cache, in ms. The lease ends at the
 * request's deadline, so the engine frees the cache even if the agent dies.
 */
const MIN_LEASE_MS = 1000;

// Requires the text, because a token without text would cause an error later,
// in the ledger.
const TokenEventSchema = z.object({
  seq: z.number().int().nonnegative(),
  text: z.string(),
});

const DoneEventSchema = z.object({
  tokens: z.number(),
  cachedTokens: z.number(),
});

const FailedEventSchema = z.object({reason: z.string()});

/**
 * Runs `generate` requests on an engine.
 *
 * @example
 * const engine = new EngineTarget('http://127.0.0.1:7101');
 */
export class EngineTarget extends TargetClient {
  /**
   * @param prioritizes - Whether to ask the engine to prefill shorter prompts
   * first.
   */
  constructor(
    url: string,
    private readonly prioritizes = true,
  ) {
    super(url);
  }

  async run(
    dispatchRequest: DispatchRequest,
    sink: ChunkSink,
    signal: AbortSignal,
  ): Promise<DispatchOutcome> {
    let response;
    try {
      response = await request(`${this.url}/v1/generate`, {
        method: 'POST',
        // A kept connection may bring the late second answer to an earlier request.
        reset: true,
        headers: {'content-type': 'application/json'},
        body: JSON.stringify({
          requestId: dispatchRequest.requestId,
          prompt: dispatchRequest.prompt ?? '',
          maxTokens: dispatchRequest.maxTokens ?? 16,
          priority: this.prioritizes
            ? findLengthClass(countTokens(dispatchRequest.prompt ?? ''))
            : 0,
          leaseMs: Math.max(
            MIN_LEASE_MS,
            dispatchRequest.deadlineAt - Date.now(),
          ),
          resume: dispatchRequest.resume,
        }),
        signal,
      });
    } catch (error) {
      if (isConnectFailure(error))
        return {status: 'not-run', reason: 'target_unreachable'};
      return {status: 'unknown', reason: 'target_failed'};
    }
    if (response.statusCode !== 200) {
      await response.body.dump();
      // The engine answers 503 or 400 before it admits the sequence, so the
      // request did not run.
      return {
        status: 'not-run',
        reason:
          response.statusCode === 503 ? 'target_overloaded' : 'target_rejected',
      };
    }
    return this.readStream(response.body, sink);
  }

  private async readStream(
    body: AsyncIterable<Buffer>,
    sink: ChunkSink,
  ): Promise<DispatchOutcome> {
    let chunks = 0;
    try {
      for await (const event of readSseEvents(body)) {
        if (event.event === 'done') return toDoneOutcome(event.data, chunks);
        if (event.event === 'failed')
          return toFailedOutcome(event.data, chunks);
        const token = TokenEventSchema.parse(JSON.parse(event.data));
        sink(token.seq, token.text);
        chunks = token.seq + 1;
      }
    } catch (error) {
      const isOversized = error instanceof OversizedBodyError;
      return {
        status: 'unknown',
        reason: isOversized
          ? 'target_answer_oversized'
          : 'target_stream_broken',
      };
    }
    return {status: 'unknown', reason: 'target_stream_ended'};
  }
}

/**
 * Parses the data of a `done` event into an outcome.
 *
 * @param chunks - Number of chunks of the whole answer, including those before
 * a resume.
 */
function toDoneOutcome(data: string, chunks: number): DispatchOutcome {
  const {tokens, cachedTokens} = DoneEventSchema.parse(JSON.parse(data));
  return {status: 'done', chunks, tokens, cachedTokens};
}

function toFailedOutcome(data: string, chunks: number): DispatchOutcome {
  const {reason} = FailedEventSchema.parse(JSON.parse(data));
  if (reason === 'too_large' && chunks === 0)
    return {status: 'not-run', reason: 'prompt_too_large'};
  return {status: 'unknown', reason: `target_${reason}`};
}
