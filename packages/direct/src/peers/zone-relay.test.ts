import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ZoneRelay} from './zone-relay.js';
import type {RelayPeer} from './zone-relay.js';

const DATAGRAM = Buffer.from('["b","10.1.0.4/17.5#7"]');

/** Silence after which a peer relays nothing, in ms. */
const TOO_SILENT_MS = 1400;

function buildPeer(host: string, zone?: string, silentMs = 100): RelayPeer {
  return {host, zone, silentMs};
}

/** Gates whose datagrams to each other arrive at once. */
class RelayFleet {
  readonly received = new Map<string, number>();
  /** Number of datagrams from one zone to another. */
  betweenZones = 0;
  private readonly relays = new Map<string, ZoneRelay>();

  constructor(private readonly peers: readonly RelayPeer[]) {
    for (const {host, zone} of peers)
      this.relays.set(
        host,
        new ZoneRelay({
          zone: zone ?? '',
          listPeers: () => peers.filter(peer => peer.host !== host),
          send: (to, bytes) => this.forward(host, to, bytes),
        }),
      );
  }

  broadcast(host: string, number: number): void {
    this.relays.get(host)?.broadcast(DATAGRAM, number);
  }

  private forward(from: string, to: string, bytes: Buffer): void {
    if (this.findZone(from) !== this.findZone(to)) this.betweenZones++;
    this.received.set(to, (this.received.get(to) ?? 0) + 1);
    expect(this.relays.get(to)?.receive(bytes)).toEqual(DATAGRAM);
  }

  private findZone(host: string): string | undefined {
    return this.peers.find(peer => peer.host === host)?.zone;
  }
}

function listSent(
  peers: readonly RelayPeer[],
  number: number,
): ReadonlyArray<readonly [string, string]> {
  const sent: Array<readonly [string, string]> = [];
  new ZoneRelay({
    zone: 'a',
    listPeers: () => peers,
    send: (host, bytes) => sent.push([host, String(bytes)]),
  }).broadcast(DATAGRAM, number);
  return sent;
}

describe('zone relay', () => {
  it('hands each datagram once to each gate, and once to each other zone', () => {
    const zones = fc.array(fc.constantFrom('a', 'b', 'c', 'd'), {
      minLength: 2,
      maxLength: 40,
    });
    fc.assert(
      fc.property(zones, fc.nat(), (gateZones, number) => {
        const fleet = new RelayFleet(
          gateZones.map((zone, i) => buildPeer(`g${i}`, zone)),
        );
        fleet.broadcast('g0', number);
        expect([...fleet.received.values()]).toEqual(
          Array.from({length: gateZones.length - 1}, () => 1),
        );
        expect(fleet.betweenZones).toEqual(new Set(gateZones).size - 1);
      }),
    );
  });

  it('takes the same way for the same number, and others for other numbers', () => {
    const peers = ['b1', 'b2', 'b3'].map(host => buildPeer(host, 'b'));
    const relays = [0, 1, 2, 3].map(number => listSent(peers, number)[0][0]);
    expect(relays).toEqual(['b1', 'b2', 'b3', 'b1']);
  });

  it('passes over a silent peer', () => {
    // Guards against placements that a zone misses for as long as a peer that
    // has ended counts as live.
    const peers = [
      buildPeer('b1', 'b', TOO_SILENT_MS),
      buildPeer('b2', 'b'),
      buildPeer('b3', 'b', TOO_SILENT_MS),
    ];
    for (const number of [0, 1, 2])
      expect(listSent(peers, number)[0][0]).toEqual('b2');
  });

  it('sends to each gate of a zone in which all are silent', () => {
    const peers = ['b1', 'b2'].map(host => buildPeer(host, 'b', TOO_SILENT_MS));
    expect(listSent(peers, 0)).toEqual([
      ['b1', String(DATAGRAM)],
      ['b2', String(DATAGRAM)],
    ]);
  });

  it('sends to each gate that has not named its zone', () => {
    // Guards against gates of an earlier version that nobody relays to.
    const peers = ['x1', 'x2'].map(host => buildPeer(host));
    expect(listSent(peers, 0).map(([host]) => host)).toEqual(['x1', 'x2']);
  });
});
