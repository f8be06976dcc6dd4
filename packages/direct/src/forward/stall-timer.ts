/** Timeouts that detect stalled engines. */
import {ReadTimeout} from '@nutmeggauge/core';

/**
 * Period within which bytes of an engine for any request show that the engine
 * is alive, in ms.
 */
export const LIVENESS_WINDOW_MS = 600;

/**
 * Timeout of the first token, after which another engine is tried: a multiple
 * of the predicted time to first token plus a slack in ms.
 */
const TTFT_FACTOR = 2;
const TTFT_SLACK_MS = 700;

/**
 * Prefill time above which a prompt counts as long, and the slack for long
 * prompts, both in ms. The decoding engine reports a dead prefill helper itself
 * after a stall of 1,500 ms.
 */
const LONG_PREFILL_MIN_MS = 400;
const LONG_PREFILL_SLACK_MS = 2500;

/**
 * Shortest first-token timeout of a prompt with a long prefill, as a multiple
 * of the objective. Newer prompts preempt a long prefill, and a second prefill
 * would add load when load is highest.
 */
const LONG_PREFILL_OBJECTIVE_FACTOR = 1.75;

/**
 * Returns the time without a first token after which another engine is tried,
 * in ms.
 *
 * @param predictedTtftMs - Predicted time to first token, in ms.
 * @param prefillMs - Prefill time of the prompt on one idle engine, in ms.
 * @param objectiveMs - Objective for the time to first token, in ms.
 * @example
 * chooseTtftTimeoutMs(400, 1500, 3000); // 5250
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

/**
 * Whether the timer restarts after a stall (`wait`, or the time until the next
 * check in ms) or stops (`ignore`).
 */
export type StallVerdict = 'wait' | 'ignore' | number;

/**
 * Timer that its owner restarts when events arrive. When the process resumes
 * after a suspension, sockets are read before the timer expires.
 *
 * @example
 * const stall = new StallTimer(() => 'wait');
 * stall.restart(1000);
 */
export class StallTimer {
  private timeout: ReadTimeout | undefined;

  constructor(private readonly judge: () => StallVerdict) {}

  /** Starts or restarts the timer. */
  restart(ms: number): void {
    this.timeout?.stop();
    this.timeout = new ReadTimeout(() => this.handleExpiry(), ms);
  }

  stop(): void {
    this.timeout?.stop();
  }

  private handleExpiry(): void {
    const verdict = this.judge();
    if (verdict === 'ignore') return;
    this.restart(verdict === 'wait' ? LIVENESS_WINDOW_MS : verdict);
  }
}
