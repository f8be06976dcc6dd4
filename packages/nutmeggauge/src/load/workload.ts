/**
 * A seeded, open-loop plan of requests: arrival times, prompt lengths from
 * 1k to 1M tokens (a share of them over 100k), shared prefixes, accounts,
 * and not-repeatable order calls, some sent twice as a caller's retry.
 */
import {CHARS_PER_TOKEN} from '@nutmeggauge/core';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';

/** What to generate. */
export interface WorkloadSpec {
  readonly seed: number;
  /** Completions in the plan. */
  readonly requests: number;
  /** Mean arrivals a second (Poisson). */
  readonly ratePerSecond: number;
  /** Share of prompts over `longThresholdTokens`. */
  readonly longShare: number;
  readonly minPromptTokens: number;
  readonly maxPromptTokens: number;
  readonly longThresholdTokens: number;
  /** Tokens of the system prompt that a share of requests start with. */
  readonly sharedPrefixTokens: number;
  /** Share of requests that start with the shared prefix. */
  readonly sharedPrefixShare: number;
  /** Tokens each request asks to generate. */
  readonly maxNewTokens: number;
  /** API keys to spread requests over. */
  readonly keys: readonly string[];
  /** API keys of accounts that may place orders. */
  readonly orderKeys: readonly string[];
  /** Not-repeatable order calls in the plan. */
  readonly orders: number;
  /** Of these, how many the caller sends a second time with the same key. */
  readonly repeatedOrders: number;
  /**
   * How long after the first try a repeat is sent, in ms.
   * @default 50
   */
  readonly repeatAfterMs?: number;
  /**
   * Leaves out the longer prompts of the same plan: what short ones see alone.
   * @default every length is sent
   */
  readonly onlyUpToTokens?: number;
}

/** One planned request. */
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
      /** Orders of the same name carry the same Idempotency-Key. */
      readonly orderName: string;
    };

/**
 * Builds the plan of `spec`; the same seed gives the same plan.
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
    // Every `longEvery`-th request is long, so short plans still hold the share.
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
  for (let o = 0; o < spec.orders; o++) {
    const at = draw() * durationMs;
    const order = {
      kind: 'order',
      index: spec.requests + o,
      key: spec.orderKeys[o % spec.orderKeys.length],
      orderName: `order-${o}`,
    } as const;
    plan.push({...order, atMs: at});
    if (o < spec.repeatedOrders)
      plan.push({
        ...order,
        index: spec.requests + spec.orders + o,
        atMs: at + (spec.repeatAfterMs ?? 50),
      });
  }
  const longest = spec.onlyUpToTokens ?? Infinity;
  return plan
    .filter(p => p.kind === 'order' || p.promptTokens <= longest)
    .sort((a, b) => a.atMs - b.atMs);
}

/**
 * Builds the prompt text of a planned completion; shared prompts begin with
 * the same `sharedPrefixTokens`, the rest differs from the first block on.
 *
 * @example
 * renderPrompt(planned, 2000).length; // 4 characters a token
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

/** Prompt-length buckets that TTFT is reported by. */
export const LENGTH_BUCKETS = [
  {name: '1k-8k', upTo: 8_000},
  {name: '8k-32k', upTo: 32_000},
  {name: '32k-100k', upTo: 100_000},
  {name: '100k-1M', upTo: Infinity},
] as const;

/**
 * Names the bucket of a prompt length.
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
