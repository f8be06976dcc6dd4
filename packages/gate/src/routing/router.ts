/**
 * Routing policies. Each policy is a subclass of Router, which the gate's
 * settings select by name. Round robin and least outstanding are the baselines
 * for comparing the other policies.
 */
import type {TargetView} from '../membership/target-link.js';

/** Data of a request that routers read. */
export interface RouteRequest {
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** True for a prompt of more than SHORT_MAX_TOKENS tokens. */
  readonly isLongPrompt: boolean;
  /** Hashes of the prompt's prefixes; see routing/prefix-memory. */
  readonly prefixes: readonly string[];
}

/**
 * Chooses a target for a request among usable candidates.
 *
 * @example
 * const target = new LeastOutstandingRouter().choose(candidates, request);
 */
export abstract class Router {
  abstract readonly name: string;

  /** Chooses a candidate; returns undefined only when `candidates` is empty. */
  abstract choose<T extends TargetView>(
    candidates: readonly T[],
    request: RouteRequest,
  ): T | undefined;

  /**
   * Records a dispatched request; does nothing unless a policy overrides it.
   */
  recordSent(target: TargetView, request: RouteRequest): void {
    void target;
    void request;
  }
}

/** Chooses the candidates in turn. */
export class RoundRobinRouter extends Router {
  readonly name = 'round-robin';
  private next = 0;

  choose<T extends TargetView>(candidates: readonly T[]): T | undefined {
    if (candidates.length === 0) return undefined;
    return candidates[this.next++ % candidates.length];
  }
}

/** Chooses the candidate with the fewest outstanding requests of this gate. */
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
