import {describe, it} from 'node:test';
import {expect} from 'earl';
import {GrantShare} from './grant-share.js';
import {hashHosts} from './member-hash.js';

const TIMEOUT_MS = 3200;
const ALL: readonly string[] = ['a', 'b', 'c', 'd', 'e'];
const PEERS: readonly string[] = ['b', 'c', 'd'];

/** Time until gates that name the same gates agree, in ms. */
const SETTLED_MS = 6000;

/** Gate `a` among five, with heartbeats of its peers each second. */
class HomeGate {
  now = 0;
  readonly share = new GrantShare(TIMEOUT_MS);
  /** Gates that outrank this one for the target. */
  outranking: readonly string[] = [];

  /** Lets all gates name some gates for a while; returns the share at its end. */
  runFor(ms: number, members: readonly string[], own = members): number {
    const endsAt = this.now + ms;
    let share = this.measure(own);
    while (this.now < endsAt) {
      this.now += 1000;
      for (const peer of PEERS)
        this.share.recordPeer(peer, hashHosts(members), 4, this.now);
      share = this.measure(own);
    }
    return share;
  }

  measure(members: readonly string[]): number {
    return this.share.measure({
      alive: PEERS,
      known: 5,
      ownMembers: hashHosts(members),
      outranks: host => host !== 'a' && !this.outranking.includes(host),
      now: this.now,
    });
  }
}

/** Creates a gate whose peers agree with it. */
function startSettled(): HomeGate {
  const gate = new HomeGate();
  expect(gate.runFor(SETTLED_MS, ALL)).toEqual(0.8);
  return gate;
}

const WITHOUT_E = ['a', 'b', 'c', 'd'];

describe('share of a bound that a home may grant', () => {
  it('stays when a gate leaves and joins that is not the home in either case', () => {
    // Guards against cold targets that get next to nothing in a rolling upgrade.
    const gate = startSettled();
    expect(gate.measure(WITHOUT_E)).toEqual(0.8);
    expect(gate.runFor(1000, WITHOUT_E)).toEqual(0.8);
    expect(gate.runFor(1000, ALL)).toEqual(0.8);
    expect(gate.runFor(1000, ALL, WITHOUT_E)).toEqual(0.8);
  });

  it('is none for 5 s after the earlier home of the target was lost', () => {
    // Guards against a gate that counts for the lost home and the next one.
    const gate = startSettled();
    gate.outranking = ['e'];
    expect(gate.runFor(4000, WITHOUT_E)).toEqual(0);
    expect(gate.runFor(2000, WITHOUT_E)).toEqual(0.8);
  });

  it('leaves out peers that still name a gate that would be the home', () => {
    // Guards against peers that are counted while they ask another home.
    const gate = startSettled();
    gate.outranking = ['e'];
    gate.runFor(SETTLED_MS, ALL, WITHOUT_E);
    expect(gate.measure(WITHOUT_E)).toEqual(0.2);
  });

  it('leaves out peers for 5 s that change by several gates at once', () => {
    // Guards against a partition in which a peer had another home in between.
    const gate = startSettled();
    gate.runFor(1000, ['a', 'b', 'c'], ALL);
    expect(gate.runFor(4000, ALL)).toEqual(0.2);
    expect(gate.runFor(2000, ALL)).toEqual(0.8);
  });

  it('leaves out peers for 5 s that cease to name this gate', () => {
    // Guards against a peer that had another home because it lost this one.
    const gate = startSettled();
    gate.runFor(1000, ['b', 'c', 'd', 'e'], ALL);
    expect(gate.runFor(4000, ALL)).toEqual(0.2);
    expect(gate.runFor(2000, ALL)).toEqual(0.8);
  });
});
