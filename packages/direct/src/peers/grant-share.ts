/**
 * How much of a bound that holds for all gates together this gate may grant. Each
 * gate counts for one home only: the one that follows from the gates it hears.
 */

/**
 * Time for which a gate must have named the same gates before it counts, in ms. It
 * exceeds the 3,200 ms for which an earlier home may still count a gate that it
 * no longer hears, and the 1,100 ms for which its grants count.
 */
const SETTLE_MS = 5000;

/** Gates that a gate hears, as it last said. */
interface NamedGates {
  /** Hash of the gates; undefined if it says none. */
  readonly members: number | undefined;
  readonly since: number;
  readonly heardAt: number;
}

/** What the share depends on at present. */
export interface GrantView {
  /** Hosts of the live peers. */
  readonly alive: readonly string[];
  /** Number of gates known at present, heard or not, including this one. */
  readonly known: number;
  /** Hash of the live gates that this gate knows. */
  readonly ownMembers: number;
  readonly now: number;
}

/**
 * Measures the share of all gates that take this gate for the home of the same
 * targets as it does itself. Two homes never count the same gate at once.
 *
 * @example
 * share.recordPeer('10.1.0.4', members, known, now);
 * share.measure(view); // 0.9
 */
export class GrantShare {
  private readonly peers = new Map<string, NamedGates>();
  private own: NamedGates | undefined;
  /** Most gates that any gate has known in this run. */
  private mostKnown = 1;

  /** @param timeoutMs - Silence after which a peer counts as lost, in ms. */
  constructor(private readonly timeoutMs: number) {}

  /**
   * Records what a peer says.
   *
   * @param known - Number of gates that the peer knows besides itself.
   */
  recordPeer(
    host: string,
    members: number | undefined,
    known: number,
    now: number,
  ): void {
    this.mostKnown = Math.max(this.mostKnown, known + 1);
    this.peers.set(host, this.renew(this.peers.get(host), members, now));
  }

  /** Records the hash of the gates that this gate hears. */
  recordOwn(members: number, now: number): void {
    const isChanged = this.own?.members !== members;
    const since = isChanged ? now : (this.own?.since ?? now);
    this.own = {members, since, heardAt: now};
  }

  /** Measures the share, from 0 to 1. */
  measure({alive, known, ownMembers, now}: GrantView): number {
    this.recordOwn(ownMembers, now);
    this.mostKnown = Math.max(this.mostKnown, known);
    if (this.mostKnown === 1) return 1;
    // Other gates are known but none was heard, so their number is not known.
    if (this.peers.size === 0) return 0;
    if (!this.isSettled(this.own, ownMembers, now)) return 0;
    const agreeing = alive.filter(host =>
      this.isSettled(this.peers.get(host), ownMembers, now),
    );
    return (1 + agreeing.length) / this.mostKnown;
  }

  private renew(
    before: NamedGates | undefined,
    members: number | undefined,
    now: number,
  ): NamedGates {
    const isContinued =
      before?.members === members &&
      before !== undefined &&
      now - before.heardAt <= this.timeoutMs;
    return {members, since: isContinued ? before.since : now, heardAt: now};
  }

  private isSettled(
    named: NamedGates | undefined,
    members: number,
    now: number,
  ): boolean {
    return named?.members === members && now - named.since >= SETTLE_MS;
  }
}
