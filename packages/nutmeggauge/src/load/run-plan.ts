/**
 * Runs a plan open-loop: each request is sent at its planned time whatever
 * the earlier ones are doing, and the run is bounded in count and time.
 */
import {waitMs} from '@nutmeggauge/core';
import {renderPrompt} from './workload.js';
import {sendCompletion, sendOrder} from './client.js';
import type {CallerResult} from './client.js';
import type {PlannedRequest} from './workload.js';

/** How to run a plan. */
export interface RunOptions {
  readonly gateUrls: readonly string[];
  readonly deadlineMs: number;
  readonly sharedPrefixTokens: number;
  /** Called after each result, for progress lines. */
  readonly onResult?: (
    result: CallerResult,
    done: number,
    total: number,
  ) => void;
}

/**
 * Sends every planned request and resolves with all results, in plan order.
 *
 * @example
 * const results = await runPlan(plan, {gateUrls, deadlineMs: 30_000, sharedPrefixTokens: 2000});
 */
export async function runPlan(
  plan: readonly PlannedRequest[],
  options: RunOptions,
): Promise<CallerResult[]> {
  const startedAt = performance.now();
  let done = 0;
  const sends = plan.map(async (planned, position) => {
    await waitMs(Math.max(0, planned.atMs - (performance.now() - startedAt)));
    const gateUrl = options.gateUrls[position % options.gateUrls.length];
    const result =
      planned.kind === 'order'
        ? await sendOrder(
            gateUrl,
            planned.key,
            planned.index,
            planned.idempotencyKey,
          )
        : await sendCompletion(
            gateUrl,
            planned.key,
            planned.index,
            renderPrompt(
              planned.promptTokens,
              planned.index,
              planned.shared,
              options.sharedPrefixTokens,
            ),
            planned.maxNewTokens,
            options.deadlineMs,
          );
    options.onResult?.(result, ++done, plan.length);
    return result;
  });
  return Promise.all(sends);
}
