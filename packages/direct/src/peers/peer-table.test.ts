import {describe, it} from 'node:test';
import {expect} from 'earl';
import {buildPosition} from '../test/build-target.js';
import {PeerTable} from './peer-table.js';
import type {Heartbeat} from './messages.js';

const SECOND_MS = 1000;

function buildHeartbeat(
  from: string,
  revision: number,
  contactMs = 0,
): Heartbeat {
  return {
    from,
    incarnation: '1',
    configVersion: 1,
    era: 0,
    revision,
    factsAgeMs: 40,
    contactMs,
    peers: ['c'],
    open: [],
    begun: [],
    placements: [],
    slowdowns: [],
    lagMs: 0,
    wantsReply: false,
    wantsNames: false,
    known: 1,
    leaving: [],
    leaves: false,
  };
}

function createHarness() {
  let now = 0;
  const table = new PeerTable('own', () => now);
  const heartbeat = (host: string, changes: Partial<Heartbeat> = {}) => {
    const peer = table.findOrAddPeer(host);
    peer.incarnation = '1';
    return table.recordHeartbeat(peer, {
      ...buildHeartbeat(host, 5),
      ...changes,
    });
  };
  const advance = (ms: number) => (now += ms);
  return {table, heartbeat, advance};
}

describe('peer table', () => {
  it('lists peers with recent heartbeats as alive and adds the hosts that they name', () => {
    const {table, heartbeat} = createHarness();
    expect(heartbeat('a')).toEqual(true);
    expect(heartbeat('a')).toEqual(false);
    expect(table.listAlive().map(({host}) => host)).toEqual(['a']);
    expect([...table.listHosts()].sort()).toEqual(['a', 'c']);
    expect([table.isHeardFrom('a'), table.isHeardFrom('c')]).toEqual([
      true,
      false,
    ]);
  });

  it('measures the share of the peers that are heard, without those that have left', () => {
    const {table, heartbeat, advance} = createHarness();
    expect(table.measureHeardShare()).toEqual(1);
    heartbeat('a');
    // The heartbeat of `a` names `c`, which has not been heard.
    expect(table.measureHeardShare()).toEqual(0.5);
    heartbeat('c', {leaves: true});
    expect(table.measureHeardShare()).toEqual(1);
    advance(10 * SECOND_MS);
    expect(table.measureHeardShare()).toEqual(0);
  });

  it('counts a peer for shared budgets for longer than the peer counts as alive', () => {
    // Guards against a retry budget that grows while a peer is unreachable.
    const {table, heartbeat, advance} = createHarness();
    heartbeat('a');
    advance(10 * SECOND_MS);
    expect(table.listAlive().length).toEqual(0);
    expect(table.countBudgetMembers()).toEqual(2);
    advance(30 * SECOND_MS);
    expect(table.countBudgetMembers()).toEqual(1);
  });

  it('counts silent peers for the retry budget, and no share before one is heard', () => {
    // Guards against gates that are cut off from each other and each spend the
    // retries of all.
    const {table, heartbeat, advance} = createHarness();
    expect(table.countBudgetSharers()).toEqual(1);
    table.findOrAddPeer('b');
    expect(table.countBudgetSharers()).toEqual(Infinity);
    heartbeat('a');
    // The heartbeat of `a` names `c`.
    expect(table.countBudgetSharers()).toEqual(4);
    advance(60 * SECOND_MS);
    table.expireSilent();
    expect(table.countBudgetSharers()).toEqual(4);
  });

  it('reports a peer as lost 4 s after its last heartbeat and removes it another 120 s later', () => {
    // Guards against gates that never find each other again after a restart
    // without seeds.
    const {table, heartbeat, advance} = createHarness();
    heartbeat('a');
    advance(4 * SECOND_MS);
    const silent = table.expireSilent();
    expect(silent.map(({host}) => host)).toEqual(['a']);
    for (const peer of silent) peer.incarnation = undefined;
    expect(table.expireSilent().length).toEqual(0);
    expect(table.listHosts().includes('a')).toEqual(true);
    advance(120 * SECOND_MS);
    table.expireSilent();
    expect(table.listHosts().length).toEqual(0);
  });

  it('accepts a confirmation of facts only from peers that know no newer facts', () => {
    // Guards against a peer with newer facts that confirms outdated ones.
    const {table, heartbeat, advance} = createHarness();
    heartbeat('a', {revision: 5});
    advance(100);
    heartbeat('b', {revision: 9});
    expect(table.readConfirmedAgeMs(buildPosition(5))).toEqual(140);
    expect(table.readConfirmedAgeMs(buildPosition(9))).toEqual(40);
    expect(table.readConfirmedAgeMs(buildPosition(4))).toEqual(Infinity);
  });

  it('finds the newest position only among live peers without an outage of the store', () => {
    // Guards against removals confirmed by a gate that had an outage itself.
    const {table, advance} = createHarness();
    advance(20 * SECOND_MS);
    const outageStartedAt = 10 * SECOND_MS;
    table.recordHeartbeat(
      table.findOrAddPeer('b'),
      buildHeartbeat('b', 9, 5 * SECOND_MS),
    );
    table.recordHeartbeat(table.findOrAddPeer('c'), buildHeartbeat('c', 8));
    expect(table.findPositionWithoutOutage(outageStartedAt)).toEqual(
      buildPosition(0),
    );
    table.recordHeartbeat(
      table.findOrAddPeer('d'),
      buildHeartbeat('d', 7, 15 * SECOND_MS),
    );
    expect(table.findPositionWithoutOutage(outageStartedAt)).toEqual(
      buildPosition(7),
    );
    advance(5 * SECOND_MS);
    expect(table.findPositionWithoutOutage(outageStartedAt)).toEqual(
      buildPosition(0),
    );
  });
});
