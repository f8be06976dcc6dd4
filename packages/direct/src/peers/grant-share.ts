/**
 * How much of a bound that holds for all gates together this gate may grant. Each
 * gate counts for one home only: the one that follows from the gates it hears.
 */
import {findDifference} from './member-hash.js';

/**
 * Time for which a gate must have named the same home before it counts, in ms. It
 * exceeds the 3,200 ms for which an earlier home may still count a gate that it
 * no longer hears, and the 1,100 ms for which its grants count.
 */
const SETTLE_MS = 5000;

/** Most changes that are kept of a gate; one that changes more often starts anew. */
const MAX_CHANGES = 16;

/** A gate that another gate began or ceased to hear. */
interface MemberChange {
  readonly host: string;
  readonly at: number;
}

/** Gates that a gate hears, as it last said. */
interface NamedGates {
  /** Hash of the gates; undefined if it says none. */
  readonly members: number | undefined;
  /** Time since which all changes are known, each by one gate. */
  readonly since: number;
  /** Changes within the latest `SETTLE_MS`. */
  readonly changes: readonly MemberChange[];
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
  /**
   * Returns whether this gate stays the home of the target whether or not a gate
   * is live.
   */
  readonly outranks: (host: string) => boolean;
  readonly now: number;
}

/**
 * Measures the share of all gates that take this gate for the home of the same
 * target as it does itself. Two homes never count the same gate at once: a gate
 * that leaves or joins is ignored only if the home of the target is the same with
 * and without it.
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
    const before = this.peers.get(host);
    const isHeard =
      before !== undefined && now - before.heardAt <= this.timeoutMs;
    this.peers.set(host, renew(isHeard ? before : undefined, members, now));
  }

  /** Records the hash of the gates that this gate hears. */
  recordOwn(members: number, now: number): void {
    this.own = renew(this.own, members, now);
  }

  /** Measures the share, from 0 to 1. */
  measure(view: GrantView): number {
    const {alive, known, ownMembers, now} = view;
    this.recordOwn(ownMembers, now);
    this.mostKnown = Math.max(this.mostKnown, known);
    if (this.mostKnown === 1) return 1;
    // Other gates are known but none was heard, so their number is not known.
    if (this.peers.size === 0) return 0;
    const outranks = createLookup(view.outranks);
    const settled = {...view, outranks};
    if (!isSettled(this.own, settled)) return 0;
    const agreeing = alive.filter(host =>
      isSettled(this.peers.get(host), settled),
    );
    return (1 + agreeing.length) / this.mostKnown;
  }
}

function renew(
  before: NamedGates | undefined,
  members: number | undefined,
  now: number,
): NamedGates {
  const fresh = {members, since: now, changes: [], heardAt: now};
  if (before === undefined) return fresh;
  const changes = before.changes.filter(({at}) => now - at < SETTLE_MS);
  if (before.members === members) return {...before, changes, heardAt: now};
  if (before.members === undefined || members === undefined) return fresh;
  const host = findDifference(before.members, members);
  if (host === undefined || changes.length >= MAX_CHANGES) return fresh;
  const {since} = before;
  return {members, since, changes: [...changes, {host, at: now}], heardAt: now};
}

/** Returns whether a gate has named this gate as the home for long enough. */
function isSettled(
  named: NamedGates | undefined,
  {ownMembers, outranks, now}: GrantView,
): boolean {
  if (named?.members === undefined || now - named.since < SETTLE_MS)
    return false;
  if (named.members !== ownMembers) {
    const host = findDifference(named.members, ownMembers);
    if (host === undefined || !outranks(host)) return false;
  }
  return named.changes.every(
    ({host, at}) => now - at >= SETTLE_MS || outranks(host),
  );
}

/** Creates a function that asks another once for each host, as many gates differ by one. */
function createLookup(
  run: (host: string) => boolean,
): (host: string) => boolean {
  const results = new Map<string, boolean>();
  return host => {
    const result = results.get(host) ?? run(host);
    results.set(host, result);
    return result;
  };
}
