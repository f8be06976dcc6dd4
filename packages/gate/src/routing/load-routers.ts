/**
 * Routers that read the agents' load reports.
 */
import {Router} from './router.js';
import type {TargetView} from '../membership/agent-connection.js';
import type {RouteRequest} from './router.js';

/** Outstanding requests plus the agent's reported queue. */
function readQueueDepth(target: TargetView): number {
  return target.outstanding + (target.load?.queued ?? 0);
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

/**
 * Token load (after the KV-aware routing note, PAPER-kv-aware-routing-ray-20bc):
 * the request's own prefill plus the target's pending prefill and decode
 * work, lowest first. Prefix-cache overlap is not yet credited.
 *
 * @example
 * new TokenLoadRouter().choose(candidates, request);
 */
export class TokenLoadRouter extends Router {
  readonly name = 'token-load';

  constructor(private readonly decodeWeight = 1) {
    super();
  }

  choose<T extends TargetView>(
    candidates: readonly T[],
    request: RouteRequest,
  ): T | undefined {
    let best: T | undefined;
    let bestScore = Infinity;
    for (const candidate of candidates) {
      const load = candidate.load;
      const score =
        request.promptTokens +
        (load?.pendingPrefillTokens ?? 0) +
        this.decodeWeight * (load?.pendingDecodeTokens ?? 0) +
        candidate.outstanding;
      if (score < bestScore) {
        best = candidate;
        bestScore = score;
      }
    }
    return best;
  }
}
