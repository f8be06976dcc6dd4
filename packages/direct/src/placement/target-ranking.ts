/** Order in which one gate prefers targets that are otherwise equal. */
import {createHash} from 'node:crypto';
import type {Target} from '../types.js';

/** Number of bytes of a hash that form a rank. */
const RANK_BYTES = 6;

/**
 * Ranks targets by a hash of the gate and the target. Gates that know nothing of
 * each other's placements see the same loads; a common order would send all of
 * them to the same engine.
 *
 * @example
 * new TargetRanking('10.1.0.4').rank(targets);
 */
export class TargetRanking {
  private readonly ranks = new Map<string, number>();
  /** Latest list and its order; most choices are among the same targets. */
  private listed: readonly Target[] = [];
  private ranked: readonly Target[] = [];

  constructor(private readonly gate: string) {}

  /** Sorts targets in the order of this gate. */
  rank(targets: readonly Target[]): readonly Target[] {
    if (isSameList(targets, this.listed)) return this.ranked;
    this.listed = targets;
    this.ranked = targets
      .map(target => ({target, rank: this.findRank(target.id)}))
      .sort((a, b) => a.rank - b.rank)
      .map(({target}) => target);
    return this.ranked;
  }

  /** Forgets a target that was removed. */
  drop(target: string): void {
    this.ranks.delete(target);
    this.listed = [];
    this.ranked = [];
  }

  private findRank(id: string): number {
    let rank = this.ranks.get(id);
    if (rank === undefined) {
      const hash = createHash('sha1').update(`${this.gate}|${id}`).digest();
      rank = hash.readUIntBE(0, RANK_BYTES);
      this.ranks.set(id, rank);
    }
    return rank;
  }
}

function isSameList(
  targets: readonly Target[],
  others: readonly Target[],
): boolean {
  return (
    targets.length === others.length &&
    targets.every((target, i) => target === others[i])
  );
}
