/**
 * Sends a plan open-loop: each request goes out at its planned time whether
 * or not earlier ones have been answered, so a slow system cannot hide its
 * queue by slowing the callers down.
 */
import {waitMs} from '@nutmeggauge/core';
import {v7 as uuidv7} from 'uuid';
import {sendCompletion, sendOrder} from './client.js';
import {renderPrompt} from './workload.js';
import type {Dispatcher} from 'undici';
import type {CallerResult} from './client.js';
import type {PlannedRequest} from './workload.js';

/** How to run a plan. */
export interface RunOptions {
  readonly gateUrls: readonly string[];
  /** Window of every request, in ms. */
  readonly deadlineMs: number;
  readonly sharedPrefixTokens: number;
  /**
   * Time that a message takes between a caller and a gate, one way, in ms.
   * @default 0
   */
  readonly distanceMs?: number;
  /**
   * False while the balancer sends nothing to this gate.
   * @default always true
   */
  readonly isTaking?: (gateUrl: string) => boolean;
  /**
   * Connections of the callers.
   * @default undici's global ones
   */
  readonly dispatcher?: Dispatcher;
  /** Called after each result, for progress lines. */
  readonly onResult?: (
    result: CallerResult,
    done: number,
    total: number,
  ) => void;
}

/** Keys of one run's orders: a caller makes its key when it first sends. */
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

/** Takes the gates in turn; leaves out those that the balancer leaves out. */
function pickGate(
  {gateUrls, isTaking = () => true}: RunOptions,
  position: number,
): string {
  const inRotation = gateUrls.filter(isTaking);
  const candidates = inRotation.length === 0 ? gateUrls : inRotation;
  return candidates[position % candidates.length];
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
