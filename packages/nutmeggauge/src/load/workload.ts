/**
 * Generates a seeded, open-loop plan of requests: arrival times, prompt
 * lengths from 1k to 1M tokens (a share of them over 100k), shared prefixes,
 * client accounts, and non-idempotent order calls, some of them sent twice
 * like a caller's retry.
 */
import {CHARS_PER_TOKEN} from '@nutmeggauge/core';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';

/** Parameters of a generated workload. */
export interface WorkloadSpec {
  readonly seed: number;
  /** Number of completion requests in the plan. */
  readonly requests: number;
  /** Mean arrival rate per second (Poisson process). */
  readonly ratePerSecond: number;
  /** Share of prompts longer than `longThresholdTokens`, 0 to 1. */
  readonly longShare: number;
  readonly minPromptTokens: number;
  readonly maxPromptTokens: number;
  readonly longThresholdTokens: number;
  /**
   * Length of the system prompt that `sharedPrefixShare` of the requests start
   * with, in tokens.
   */
  readonly sharedPrefixTokens: number;
  /** Share of requests that start with the shared prefix, 0 to 1. */
  readonly sharedPrefixShare: number;
  /** Number of tokens that each completion request generates. */
  readonly maxNewTokens: number;
  /** API keys that completion requests are distributed over. */
  readonly keys: readonly string[];
  /** API keys of client accounts that may place orders. */
  readonly orderKeys: readonly string[];
  /** Number of non-idempotent orders in the plan, without repeats. */
  readonly orders: number;
  /**
   * Number of orders that the caller sends a second time with the same
   * Idempotency-Key.
   */
  readonly repeatedOrders: number;
  /**
   * Delay between the first send of an order and its repeat, in ms.
   * @default 50
   */
  readonly repeatAfterMs?: number;
  /**
   * Drops prompts longer than this many tokens from the plan, which gives the
   * baseline latency of short prompts without competing long prompts.
   * @default no prompt is dropped
   */
  readonly onlyUpToTokens?: number;
}

/** One planned request: a streamed completion or an order call. */
export type PlannedRequest =
  | {
      readonly kind: 'generate';
      readonly index: number;
      readonly atMs: number;
      readonly key: string;
      readonly promptTokens: number;
      readonly hasSharedPrefix: boolean;
      readonly maxNewTokens: number;
    }
  | {
      readonly kind: 'order';
      readonly index: number;
      readonly atMs: number;
      readonly key: string;
      /**
       * Name of the order; requests with the same name carry the same
       * Idempotency-Key.
       */
      readonly orderName: string;
    };

/**
 * Generates the plan of `spec`, in order of arrival; the same seed gives the
 * same plan.
 *
 * @example
 * planWorkload({...DEMO_WORKLOAD, seed: 7}).length;
 */
export function planWorkload(spec: WorkloadSpec): PlannedRequest[] {
  const rng = xoroshiro128plus(spec.seed);
  const draw = () => uniformFloat64(rng);
  const plan: PlannedRequest[] = [];
  let atMs = 0;
  const longInterval = Math.max(1, Math.round(1 / spec.longShare));
  for (let index = 0; index < spec.requests; index++) {
    atMs += (-Math.log(1 - draw()) / spec.ratePerSecond) * 1000;
    // Long prompts come at a fixed interval, so that the share also holds in
    // plans of few requests.
    const long = index % longInterval === longInterval - 1;
    const low = long ? spec.longThresholdTokens : spec.minPromptTokens;
    const high = long ? spec.maxPromptTokens : spec.longThresholdTokens;
    const promptTokens = Math.round(
      Math.exp(Math.log(low) + draw() * (Math.log(high) - Math.log(low))),
    );
    plan.push({
      kind: 'generate',
      index,
      atMs,
      key: spec.keys[Math.floor(draw() * spec.keys.length)],
      promptTokens,
      hasSharedPrefix: draw() < spec.sharedPrefixShare,
      maxNewTokens: spec.maxNewTokens,
    });
  }
  const durationMs = Math.max(atMs, 1);
  for (let orderIndex = 0; orderIndex < spec.orders; orderIndex++) {
    const at = draw() * durationMs;
    const order = {
      kind: 'order',
      index: spec.requests + orderIndex,
      key: spec.orderKeys[orderIndex % spec.orderKeys.length],
      orderName: `order-${orderIndex}`,
    } as const;
    plan.push({...order, atMs: at});
    if (orderIndex < spec.repeatedOrders)
      plan.push({
        ...order,
        index: spec.requests + spec.orders + orderIndex,
        atMs: at + (spec.repeatAfterMs ?? 50),
      });
  }
  const longest = spec.onlyUpToTokens ?? Infinity;
  return plan
    .filter(p => p.kind === 'order' || p.promptTokens <= longest)
    .sort((a, b) => a.atMs - b.atMs);
}

/**
 * Builds the prompt text of a planned completion. Prompts with a shared prefix
 * begin with the same `sharedPrefixTokens` tokens; all other prompts differ
 * from each other from the first KV-cache block on.
 *
 * @example
 * renderPrompt(planned, 2000).length; // 4 characters per token
 */
export function renderPrompt(
  planned: Extract<PlannedRequest, {kind: 'generate'}>,
  sharedPrefixTokens: number,
): string {
  const {promptTokens, index, hasSharedPrefix} = planned;
  const length = promptTokens * CHARS_PER_TOKEN;
  const prefix = hasSharedPrefix
    ? 'sys '.repeat(Math.min(promptTokens, sharedPrefixTokens))
    : '';
  return (prefix + `q${index} `).padEnd(length, 'word').slice(0, length);
}

/** Prompt-length buckets for reporting TTFT; `upTo` is in tokens, inclusive. */
export const LENGTH_BUCKETS = [
  {name: '1k-8k', upTo: 8_000},
  {name: '8k-32k', upTo: 32_000},
  {name: '32k-100k', upTo: 100_000},
  {name: '100k-1M', upTo: Infinity},
] as const;

/**
 * Returns the name of the bucket for a prompt length.
 *
 * @example
 * resolveBucket(50_000); // '32k-100k'
 */
export function resolveBucket(promptTokens: number): string {
  return (
    LENGTH_BUCKETS.find(bucket => promptTokens <= bucket.upTo) ??
    LENGTH_BUCKETS[3]
  ).name;
}
