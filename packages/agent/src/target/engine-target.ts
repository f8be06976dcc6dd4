/**
 * Client of the engine's `POST /v1/generate` SSE stream.
 */
import {countTokens, findLengthClass, readSseEvents} from '@nutmeggauge/core';
import {request} from 'undici';
import {z} from 'zod';
import {TargetClient, isNeverSent} from './target.js';
import type {DispatchOutcome, DispatchRequest} from '@nutmeggauge/core';
import type {ChunkSink} from './target.js';

/**
 * Shortest lease on the engine's KV cache, in ms: it ends at the request's
 * deadline, even if the agent dies.
 */
const MIN_LEASE_MS = 1000;

// A piece without a text would fail in the ledger.
const PieceSchema = z.object({
  seq: z.number().int().nonnegative(),
  text: z.string(),
});

const DoneSchema = z.object({tokens: z.number(), cachedTokens: z.number()});

const FailedSchema = z.object({reason: z.string()});

/**
 * Runs `generate` requests on an engine.
 *
 * @example
 * const engine = new EngineTarget('http://127.0.0.1:7101');
 */
export class EngineTarget extends TargetClient {
  /**
   * @param prioritizes - Asks the engine to read shorter prompts first.
   */
  constructor(
    url: string,
    private readonly prioritizes = true,
  ) {
    super(url);
  }

  async run(
    job: DispatchRequest,
    sink: ChunkSink,
    signal: AbortSignal,
  ): Promise<DispatchOutcome> {
    let response;
    try {
      response = await request(`${this.url}/v1/generate`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify({
          requestId: job.requestId,
          prompt: job.prompt ?? '',
          maxTokens: job.maxTokens ?? 16,
          priority: this.prioritizes
            ? findLengthClass(countTokens(job.prompt ?? ''))
            : 0,
          leaseMs: Math.max(MIN_LEASE_MS, job.deadlineAt - Date.now()),
          resume: job.resume,
        }),
        signal,
      });
    } catch (error) {
      if (isNeverSent(error))
        return {status: 'not-run', reason: 'target_unreachable'};
      return {status: 'unknown', reason: 'target_failed'};
    }
    if (response.statusCode !== 200) {
      await response.body.dump();
      // The engine answers 503 and 400 before it admits the sequence.
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
        if (event.event === 'done') return toDone(event.data, chunks);
        if (event.event === 'failed') return toFailure(event.data, chunks);
        const token = PieceSchema.parse(JSON.parse(event.data));
        sink(token.seq, token.text);
        chunks = token.seq + 1;
      }
    } catch {
      return {status: 'unknown', reason: 'target_stream_broken'};
    }
    return {status: 'unknown', reason: 'target_stream_ended'};
  }
}

/** `chunks` counts every chunk of the answer, those before a resume too. */
function toDone(data: string, chunks: number): DispatchOutcome {
  const {tokens, cachedTokens} = DoneSchema.parse(JSON.parse(data));
  return {status: 'done', chunks, tokens, cachedTokens};
}

function toFailure(data: string, chunks: number): DispatchOutcome {
  const {reason} = FailedSchema.parse(JSON.parse(data));
  if (reason === 'too_large' && chunks === 0)
    return {status: 'not-run', reason: 'prompt_too_large'};
  return {status: 'unknown', reason: `target_${reason}`};
}
