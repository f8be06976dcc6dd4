/**
 * Routing policies. Each policy is a subclass of Router; the gate picks one
 * by name from its settings. Round robin and least-outstanding are the
 * baselines every other policy is measured against.
 */
import {createHash} from 'node:crypto';
import type {TargetView} from '../membership/agent-connection.js';

/** What a router may read of the request it places. */
export interface RouteRequest {
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Set for requests that must reach the same agent on every copy. */
  readonly affinityKey?: string;
}

/**
 * Chooses one target among usable candidates.
 *
 * @example
 * const target = new LeastOutstandingRouter().choose(candidates, request);
 */
export abstract class Router {
  abstract readonly name: string;

  /** Picks a candidate; undefined only when `candidates` is empty. */
  abstract choose<T extends TargetView>(
    candidates: readonly T[],
    request: RouteRequest,
  ): T | undefined;
}

/** Takes candidates in turn. */
export class RoundRobinRouter extends Router {
  readonly name = 'round-robin';
  private next = 0;

  choose<T extends TargetView>(candidates: readonly T[]): T | undefined {
    if (candidates.length === 0) return undefined;
    return candidates[this.next++ % candidates.length];
  }
}

/** Takes the candidate with the fewest requests outstanding from this gate. */
export class LeastOutstandingRouter extends Router {
  readonly name = 'least-outstanding';

  choose<T extends TargetView>(candidates: readonly T[]): T | undefined {
    let best: T | undefined;
    for (const candidate of candidates) {
      if (best === undefined || candidate.outstanding < best.outstanding)
        best = candidate;
    }
    return best;
  }
}

/**
 * Picks the candidate with the highest rendezvous hash of `key`: every gate
 * with the same candidates picks the same one, without talking to the others.
 *
 * @example
 * chooseByRendezvous(candidates, 'acct:order-17');
 */
export function chooseByRendezvous<T extends TargetView>(
  candidates: readonly T[],
  key: string,
): T | undefined {
  let best: T | undefined;
  let bestScore = '';
  for (const candidate of candidates) {
    const score = createHash('sha1')
      .update(`${key}|${candidate.id}`)
      .digest('hex');
    if (best === undefined || score > bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}
