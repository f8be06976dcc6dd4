/**
 * Routers that read the agents' load reports.
 */
import {LENGTH_CLASSES, findLengthClass} from '@nutmeggauge/core';
import {PrefixMemory} from './prefix-memory.js';
import {Router} from './router.js';
import type {TargetView} from '../membership/target-link.js';
import type {RouteRequest} from './router.js';

/** Outstanding requests plus the agent's reported queue. */
function readQueueDepth(target: TargetView): number {
  return target.outstanding + (target.load?.queued ?? 0);
}

/**
 * Prompt tokens queued or in prefill at the target in one length class, with
 * this gate's own newest sends.
 */
function readPending(target: TargetView, lengthClass: number): number {
  return (
    (target.load?.pendingByClass[lengthClass] ?? 0) +
    target.unreportedByClass[lengthClass]
  );
}

/** Prompt tokens pending at the target in the classes from `first` to `last`. */
function sumPending(target: TargetView, first: number, last: number): number {
  let sum = 0;
  for (let c = first; c <= last; c++) sum += readPending(target, c);
  return sum;
}

/** Requests at the target: those reported, or this gate's own if they are more. */
function readActive(target: TargetView): number {
  const reported = (target.load?.queued ?? 0) + (target.load?.inFlight ?? 0);
  return Math.max(reported, target.outstanding);
}

/**
 * Picks the candidate with the lowest score, at random among equals, so that
 * gates do not herd.
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

  /** The request's prefill that is left after prefix-cache overlap, in tokens. */
  protected readOwnPrefill(target: TargetView, request: RouteRequest): number {
    const overlap = this.memory.countOverlap(target.id, request.prefixes);
    return Math.max(0, request.promptTokens - overlap);
  }

  protected readTokenLoad(target: TargetView, request: RouteRequest): number {
    return (
      this.readOwnPrefill(target, request) +
      sumPending(target, 0, LENGTH_CLASSES - 1) +
      DECODE_WEIGHT * (target.load?.pendingDecodeTokens ?? 0)
    );
  }
}

/**
 * Cost of a longer prompt under way for a shorter one, in prompt tokens: the
 * rest of the present chunk and a share of the next.
 */
const LONGER_BESIDE_TOKENS = 8192;

/** What each request at a target adds to the steps of the others, in prompt tokens. */
const ACTIVE_REQUEST_TOKENS = 256;

/**
 * Token load by length class: engines prefill shorter prompts first, so longer
 * classes cost no more than the chunk under way. Adds a cost for each request
 * at the target, after the active-request weight of
 * PAPER-kv-aware-routing-ray-20bc.md.
 *
 * @example
 * new ClassLoadRouter().choose(candidates, request);
 */
export class ClassLoadRouter extends TokenLoadRouter {
  override readonly name = 'class-load';

  protected override readTokenLoad(
    target: TargetView,
    request: RouteRequest,
  ): number {
    const own = findLengthClass(request.promptTokens);
    const before = sumPending(target, 0, own);
    const longer = sumPending(target, own + 1, LENGTH_CLASSES - 1);
    return (
      this.readOwnPrefill(target, request) +
      before +
      Math.min(longer, LONGER_BESIDE_TOKENS) +
      ACTIVE_REQUEST_TOKENS * readActive(target)
    );
  }
}
