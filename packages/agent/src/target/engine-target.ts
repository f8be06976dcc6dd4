/**
 * Client of the engine's `POST /v1/generate` SSE stream.
 */
import {request} from 'undici';
import {TargetClient, isNeverSent} from './target.js';
import type {DispatchOutcome, DispatchRequest} from '@nutmeggauge/core';
import type {ChunkSink, Lane} from './target.js';

/** Engine priority of each lane; lower runs first at the engine. */
const LANE_PRIORITY: Readonly<Record<Lane, number>> = {short: 0, long: 1};

/** One parsed SSE event. */
interface SseEvent {
  readonly event: string;
  readonly data: string;
}

/**
 * Splits complete SSE events off the front of `buffer`.
 *
 * @example
 * parseSseEvents('data: 1\n\nda'); // {events: [{event: 'message', data: '1'}], rest: 'da'}
 */
export function parseSseEvents(buffer: string): {
  events: SseEvent[];
  rest: string;
} {
  const blocks = buffer.split('\n\n');
  const rest = blocks.pop() ?? '';
  const events = blocks.map(block => {
    let event = 'message';
    let data = '';
    for (const line of block.split('\n')) {
      if (line.startsWith('event: ')) event = line.slice(7);
      if (line.startsWith('data: ')) data += line.slice(6);
    }
    return {event, data};
  });
  return {events, rest};
}

/**
 * Runs `generate` requests on an engine.
 *
 * @example
 * const engine = new EngineTarget('http://127.0.0.1:7101');
 */
export class EngineTarget extends TargetClient {
  async run(
    job: DispatchRequest,
    lane: Lane,
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
          priority: LANE_PRIORITY[lane],
          leaseMs: Math.max(1000, job.deadlineAt - Date.now()),
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
    let buffer = '';
    let chunks = 0;
    try {
      for await (const part of body) {
        const parsed = parseSseEvents(buffer + part.toString('utf8'));
        buffer = parsed.rest;
        for (const event of parsed.events) {
          if (event.event === 'done') {
            const summary = JSON.parse(event.data) as {
              tokens: number;
              cachedTokens: number;
            };
            return {
              status: 'done',
              chunks,
              tokens: summary.tokens,
              cachedTokens: summary.cachedTokens,
            };
          }
          if (event.event === 'failed') {
            const {reason} = JSON.parse(event.data) as {reason: string};
            if (reason === 'too_large' && chunks === 0)
              return {status: 'not-run', reason: 'prompt_too_large'};
            return {status: 'unknown', reason: `target_${reason}`};
          }
          const token = JSON.parse(event.data) as {seq: number; text: string};
          sink(token.seq, token.text);
          chunks++;
        }
      }
    } catch {
      return {status: 'unknown', reason: 'target_stream_broken'};
    }
    return {status: 'unknown', reason: 'target_stream_ended'};
  }
}
