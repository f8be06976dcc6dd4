/**
 * Open-loop load generator: sends each request at its planned time whether or
 * not earlier requests have been answered. A slow system therefore cannot hide
 * its queueing delay by slowing the callers down.
 */
import {waitMs} from '@nutmeggauge/core';
import {v7 as uuidv7} from 'uuid';
import {sendCompletion, sendOrder} from './client.js';
import {renderPrompt} from './workload.js';
import type {Dispatcher} from 'undici';
import type {CallerResult} from './client.js';
import type {PlannedRequest} from './workload.js';

/** Options for running a plan. */
export interface RunOptions {
  readonly gateUrls: readonly string[];
  /** Time from sending a request to its deadline, in ms. */
  readonly deadlineMs: number;
  readonly sharedPrefixTokens: number;
  /**
   * One-way network latency between callers and gates, in ms.
   * @default 0
   */
  readonly distanceMs?: number;
  /**
   * Returns false while the load balancer has this gate out of rotation.
   * @default every gate is in rotation
   */
  readonly isInRotation?: (gateUrl: string) => boolean;
  /**
   * HTTP connection pool of the callers.
   * @default undici's global dispatcher
   */
  readonly dispatcher?: Dispatcher;
  /** Callback after each result, used to report progress. */
  readonly onResult?: (
    result: CallerResult,
    done: number,
    total: number,
  ) => void;
}

/**
 * Idempotency keys of the orders of one run. The first send of an order
 * generates its key; repeated sends reuse the key.
 */
class IdempotencyKeys {
  private readonly byName = new Map<string, string>();

  resolve(name: string): string {
    const held = this.byName.get(name);
    if (held !== undefined) return held;
    const key = uuidv7();
    this.byName.set(name, key);
    return key;
  }
}

/**
 * Picks a gate round-robin among those in rotation, or among all gates if none
 * is in rotation.
 */
function pickGate(
  {gateUrls, isInRotation = () => true}: RunOptions,
  position: number,
): string {
  const inRotation = gateUrls.filter(isInRotation);
  const candidates = inRotation.length === 0 ? gateUrls : inRotation;
  return candidates[position % candidates.length];
}

/**
 * Sends every planned request and resolves with the results in plan order.
 *
 * @example
 * const results = await runPlan(plan, {gateUrls, deadlineMs: 30_000, sharedPrefixTokens: 2000});
 */
export async function runPlan(
  plan: readonly PlannedRequest[],
  options: RunOptions,
): Promise<CallerResult[]> {
  const startedAt = performance.now();
  const keys = new IdempotencyKeys();
  let done = 0;
  const pendingResults = plan.map(async (planned, position) => {
    await waitMs(Math.max(0, planned.atMs - (performance.now() - startedAt)));
    const caller = {
      gateUrl: pickGate(options, position),
      key: planned.key,
      deadlineMs: options.deadlineMs,
      distanceMs: options.distanceMs ?? 0,
      dispatcher: options.dispatcher,
    };
    const result =
      planned.kind === 'order'
        ? await sendOrder(
            caller,
            planned.index,
            keys.resolve(planned.orderName),
          )
        : await sendCompletion(
            caller,
            planned.index,
            renderPrompt(planned, options.sharedPrefixTokens),
            planned.maxNewTokens,
          );
    options.onResult?.(result, ++done, plan.length);
    return result;
  });
  return Promise.all(pendingResults);
}
