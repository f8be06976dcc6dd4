/**
 * Routing policies that use the load reports of agents.
 */
import {LENGTH_CLASS_COUNT, findLengthClass} from '@nutmeggauge/core';
import {PrefixMemory} from './prefix-memory.js';
import {Router} from './router.js';
import type {TargetView} from '../membership/target-link.js';
import type {RouteRequest} from './router.js';

/**
 * Returns the gate's outstanding requests plus the queue length that the agent
 * reported.
 */
function countQueuedRequests(target: TargetView): number {
  return target.outstanding + (target.load?.queued ?? 0);
}

/**
 * Returns the prompt tokens of one length class that are queued or in prefill
 * at the target, plus those that this gate sent since the last load report.
 */
function countPendingTokens(target: TargetView, lengthClass: number): number {
  return (
    (target.load?.pendingByClass[lengthClass] ?? 0) +
    target.unreportedByClass[lengthClass]
  );
}

/**
 * Returns the prompt tokens pending at the target in length classes `first` to
 * `last`.
 */
function sumPendingTokens(
  target: TargetView,
  first: number,
  last: number,
): number {
  let sum = 0;
  for (let lengthClass = first; lengthClass <= last; lengthClass++)
    sum += countPendingTokens(target, lengthClass);
  return sum;
}

/**
 * Returns the greater of the reported requests and this gate's outstanding
 * requests.
 */
function countActiveRequests(target: TargetView): number {
  const reported = (target.load?.queued ?? 0) + (target.load?.inFlight ?? 0);
  return Math.max(reported, target.outstanding);
}

/**
 * Picks the candidate with the lowest score. Ties are broken at random, so that
 * gates do not all choose the same target.
 *
 * @example
 * pickLowest(candidates, c => c.outstanding, Math.random);
 */
export function pickLowest<T>(
  candidates: readonly T[],
  score: (candidate: T) => number,
  random: () => number,
): T | undefined {
  let best: T[] = [];
  let bestScore = Infinity;
  for (const candidate of candidates) {
    const value = score(candidate);
    if (value > bestScore) continue;
    if (value < bestScore) best = [];
    best.push(candidate);
    bestScore = value;
  }
  return best[Math.floor(random() * best.length)];
}

/**
 * Samples two candidates at random and chooses the one with fewer requests.
 *
 * @example
 * new PowerOfTwoRouter().choose(candidates, request);
 */
export class PowerOfTwoRouter extends Router {
  readonly name = 'power-of-two';

  constructor(private readonly random: () => number = Math.random) {
    super();
  }

  choose<T extends TargetView>(candidates: readonly T[]): T | undefined {
    if (candidates.length <= 1) return candidates[0];
    const first = Math.floor(this.random() * candidates.length);
    let second = Math.floor(this.random() * (candidates.length - 1));
    if (second >= first) second++;
    const a = candidates[first];
    const b = candidates[second];
    return countQueuedRequests(a) <= countQueuedRequests(b) ? a : b;
  }
}

/** Cost of one token still to be generated, in prompt tokens. */
const DECODE_WEIGHT = 1;

/**
 * Chooses the target with the lowest token load: the request's prompt tokens
 * that are not in the target's prefix cache, plus the target's pending prefill
 * and decode tokens. Follows Ray's KV-cache-aware routing
 * (PAPER-kv-aware-routing-ray-20bc.md).
 *
 * @example
 * new TokenLoadRouter().choose(candidates, request);
 */
export class TokenLoadRouter extends Router {
  readonly name: string = 'token-load';
  private readonly memory = new PrefixMemory();

  constructor(protected readonly random: () => number = Math.random) {
    super();
  }

  choose<T extends TargetView>(
    candidates: readonly T[],
    request: RouteRequest,
  ): T | undefined {
    return pickLowest(
      candidates,
      candidate => this.estimateLoad(candidate, request),
      this.random,
    );
  }

  override recordSent(target: TargetView, request: RouteRequest): void {
    this.memory.record(target.id, request.prefixes);
  }

  /**
   * Estimates the request's prompt tokens that are not in the target's prefix
   * cache.
   */
  protected estimatePrefillTokens(
    target: TargetView,
    request: RouteRequest,
  ): number {
    const overlap = this.memory.countOverlap(target.id, request.prefixes);
    return Math.max(0, request.promptTokens - overlap);
  }

  protected estimateLoad(target: TargetView, request: RouteRequest): number {
    return (
      this.estimatePrefillTokens(target, request) +
      sumPendingTokens(target, 0, LENGTH_CLASS_COUNT - 1) +
      DECODE_WEIGHT * (target.load?.pendingDecodeTokens ?? 0)
    );
  }
}

/**
 * Maximum cost of longer pending prompts for a shorter request, in prompt
 * tokens: the rest of the current prefill chunk and a share of the next.
 */
const LONGER_PROMPT_COST_TOKENS = 8192;

/**
 * Cost of each request at a target, in prompt tokens, because it lengthens the
 * engine steps of the other requests.
 */
const ACTIVE_REQUEST_COST_TOKENS = 256;

/**
 * Chooses the target with the lowest token load by length class. Engines
 * prefill shorter prompts first, so pending prompts of longer classes cost at
 * most about one prefill chunk. Each request at the target adds a cost, like
 * the active-request weight in PAPER-kv-aware-routing-ray-20bc.md.
 *
 * @example
 * new ClassLoadRouter().choose(candidates, request);
 */
export class ClassLoadRouter extends TokenLoadRouter {
  override readonly name = 'class-load';

  protected override estimateLoad(
    target: TargetView,
    request: RouteRequest,
  ): number {
    const ownClass = findLengthClass(request.promptTokens);
    const before = sumPendingTokens(target, 0, ownClass);
    const longerTokens = sumPendingTokens(
      target,
      ownClass + 1,
      LENGTH_CLASS_COUNT - 1,
    );
    return (
      this.estimatePrefillTokens(target, request) +
      before +
      Math.min(longerTokens, LONGER_PROMPT_COST_TOKENS) +
      ACTIVE_REQUEST_COST_TOKENS * countActiveRequests(target)
    );
  }
}
