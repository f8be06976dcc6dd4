/**
 * Routing policies. Each policy is a subclass of Router; the gate picks one
 * by name from its settings. Round robin and least-outstanding are the
 * baselines every other policy is measured against.
 */
import type {TargetView} from '../membership/target-link.js';

/** What a router may read of the request it places. */
export interface RouteRequest {
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** True for a prompt that runs in the long lane. */
  readonly isLong: boolean;
  /** Hashes of the prompt's beginnings; see routing/prefix-memory. */
  readonly prefixes: readonly string[];
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

  /** Told of each request sent; a router that remembers sends overrides it. */
  recordSent(target: TargetView, request: RouteRequest): void {
    void target;
    void request;
  }
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
