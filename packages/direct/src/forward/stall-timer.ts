/** Detects stalled engines. */
import {ReadTimeout} from '@nutmeggauge/core';

/**
 * Time within which another answer of an engine shows that it is alive, in ms.
 */
export const LIVENESS_WINDOW_MS = 600;

/**
 * Time without a first token after which another engine is tried: a multiple of
 * the prediction and a slack in ms.
 */
const TTFT_FACTOR = 2;
const TTFT_SLACK_MS = 700;

/**
 * Slack for a prompt with a long prefill, in ms: its engine reports a dead
 * helper itself after a stall of 1,500 ms.
 */
const LONG_PREFILL_MIN_MS = 400;
const LONG_PREFILL_SLACK_MS = 2500;

/**
 * Multiple of the objective that such a prompt is given in any case: newer
 * prompts preempt it, and a second prefill adds load when there is most of it.
 */
const LONG_PREFILL_OBJECTIVE_FACTOR = 1.75;

/**
 * Time without a first token after which another engine is tried, in ms.
 *
 * @param prefillMs - Prefill of the prompt on one idle engine, in ms.
 * @param objectiveMs - Objective of the first token, in ms.
 * @example
 * countTtftLimitMs(400, 1500, 3000); // 5250
 */
export function chooseTtftTimeoutMs(
  predictedTtftMs: number,
  prefillMs: number,
  objectiveMs: number,
): number {
  const expectedMs = predictedTtftMs * TTFT_FACTOR;
  if (prefillMs <= LONG_PREFILL_MIN_MS) return expectedMs + TTFT_SLACK_MS;
  return Math.max(
    expectedMs + LONG_PREFILL_SLACK_MS,
    objectiveMs * LONG_PREFILL_OBJECTIVE_FACTOR,
  );
}

/** What to do about a stall. */
export type StallVerdict = 'wait' | 'ignore';

/**
 * A timer that each received byte resets. After a suspension, sockets are read
 * before it expires.
 *
 * @example
 * const stall = new StallTimer(() => 'wait');
 * stall.restart(1000);
 */
export class StallTimer {
  private timeout: ReadTimeout | undefined;

  constructor(private readonly judge: () => StallVerdict) {}

  /** Restarts the timer. */
  restart(ms: number): void {
    this.timeout?.stop();
    this.timeout = new ReadTimeout(() => this.handleExpiry(), ms);
  }

  /** Stops the timer. */
  stop(): void {
    this.timeout?.stop();
  }

  private handleExpiry(): void {
    if (this.judge() === 'wait') this.restart(LIVENESS_WINDOW_MS);
  }
}
