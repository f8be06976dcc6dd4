/**
 * Routers that read the agents' load reports.
 */
import {PrefixMemory} from './prefix-memory.js';
import {Router} from './router.js';
import type {TargetView} from '../membership/target-link.js';
import type {RouteRequest} from './router.js';

/** Outstanding requests plus the agent's reported queue. */
function readQueueDepth(target: TargetView): number {
  return target.outstanding + (target.load?.queued ?? 0);
}

/** Prompt tokens queued or in prefill at the target, with this gate's own newest sends. */
function readPendingPrefill(target: TargetView): number {
  return (target.load?.pendingPrefillTokens ?? 0) + target.unreportedTokens;
}

/** Long prompts queued or in flight at the target. */
function readLongRequests(target: TargetView): number {
  return (target.load?.longRequests ?? 0) + target.unreportedLong;
}

/**
 * Picks the candidate with the lowest score, at random among equals: gates
 * that all took the first of equals would herd onto one target.
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
 * Samples two candidates at random and takes the less loaded one.
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
    return readQueueDepth(a) <= readQueueDepth(b) ? a : b;
  }
}

/** Prompt tokens that one token still to be generated weighs as much as. */
const DECODE_WEIGHT = 1;

/**
 * Token load, after the KV-aware routing note
 * (PAPER-kv-aware-routing-ray-20bc.md): the request's prefill that is left
 * after prefix-cache overlap, plus the target's pending prefill and decode
 * work, lowest first.
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
      candidate => this.readTokenLoad(candidate, request),
      this.random,
    );
  }

  override recordSent(target: TargetView, request: RouteRequest): void {
    this.memory.record(target.id, request.prefixes);
  }

  protected readTokenLoad(target: TargetView, request: RouteRequest): number {
    const overlap = this.memory.countOverlap(target.id, request.prefixes);
    return (
      Math.max(0, request.promptTokens - overlap) +
      readPendingPrefill(target) +
      DECODE_WEIGHT * (target.load?.pendingDecodeTokens ?? 0)
    );
  }
}

/** Pending prefill at which a long prompt may go to any target, in tokens. */
const LONG_SPILL_TOKENS = 3_000_000;

/** Pending prefill of the best other target at which a short prompt may join long ones. */
const SHORT_SPILL_TOKENS = 200_000;

/**
 * Keeps long prompts to a part of the pool and short ones off it, each by
 * token load. An engine reads prompts in chunks between its token steps, so
 * a short prompt beside a long one waits for the chunk under way even when
 * it has priority; only keeping the two on different engines avoids that.
 * Every gate finds the same part (membership/long-part) without talking to
 * the others; when one part is overloaded, both spill into the other.
 *
 * @example
 * new LengthSplitRouter().choose(candidates, request);
 */
export class LengthSplitRouter extends TokenLoadRouter {
  override readonly name = 'length-split';

  override choose<T extends TargetView>(
    candidates: readonly T[],
    request: RouteRequest,
  ): T | undefined {
    if (candidates.length < 2) return super.choose(candidates, request);
    const longPart = candidates.filter(target => target.servesLong);
    const shortPart = candidates.filter(target => !target.servesLong);
    if (request.isLong) {
      const best = super.choose(longPart, request);
      if (best !== undefined && readPendingPrefill(best) <= LONG_SPILL_TOKENS)
        return best;
      return super.choose(candidates, request);
    }
    const best = super.choose(shortPart, request);
    if (best !== undefined && readPendingPrefill(best) <= SHORT_SPILL_TOKENS)
      return best;
    const quiet = longPart.filter(target => readLongRequests(target) === 0);
    return super.choose([...shortPart, ...quiet], request);
  }
}
