import {describe, it} from 'node:test';
import {expect} from 'earl';
import {DatagramNetwork} from '../test/datagram-network.js';
import {startFakeClock} from '../test/fake-clock.js';
import {buildConfig} from '../test/gate-harness.js';
import {createModelGate} from '../test/model-gate.js';
import type {ModelGate} from '../test/model-gate.js';
import type {Placement} from '../placement/placement.js';

const GATES = 9;

const ZONES = ['a', 'b', 'c'];

/** Time until gates have heard of each other, in ms. */
const JOIN_MS = 1200;

/** One heartbeat interval and the answers to it, in ms. */
const HEARTBEAT_MS = 1100;

/** Time for which peers of a dead gate are watched, in ms. */
const WATCH_MS = 8000;

function buildPlacement(gate: ModelGate, number: number): Placement {
  return {
    key: `${gate.group.owner}#${number}`,
    decoder: 'e1',
    shards: [{target: 'e1', prefillMs: 30}],
    promptTokens: 5000,
    kvTokens: 5400,
    reserved: [],
    objectiveMs: 300,
    itlObjectiveMs: 250,
    value: 1.5,
    predictedTtftMs: 90,
    placedAt: performance.now(),
  };
}

/** Starts gates in three zones; the last of them dies with `kill`. */
async function openFleet() {
  const clock = startFakeClock(5);
  const hosts = Array.from({length: GATES}, (_, i) => `10.1.0.${i + 1}`);
  const dead = hosts[GATES - 1];
  let isDead = false;
  const network = new DatagramNetwork((from, to) =>
    isDead && (from === dead || to === dead) ? undefined : 1,
  );
  const gates: ModelGate[] = [];
  for (const [i, host] of hosts.entries()) {
    const gate = createModelGate({
      host,
      zone: ZONES[i % ZONES.length],
      incarnation: '1',
      seedHosts: [hosts[0]],
      transport: network.connect(host),
      config: buildConfig(1),
      targets: [],
      readNow: () => clock.now,
    });
    await gate.group.start();
    gates.push(gate);
  }
  await clock.advance(JOIN_MS);
  const close = () => {
    for (const {group} of gates) void group.stop();
    clock.stop();
  };
  return {clock, live: gates.slice(0, -1), kill: () => (isDead = true), close};
}

describe('gates beside one that has just died', () => {
  it('know all placements of the others after a heartbeat', async () => {
    // Guards against engines that a zone takes for idle because the gate that
    // was to relay their placements is dead.
    const {clock, live, kill, close} = await openFleet();
    try {
      kill();
      const keys: string[] = [];
      for (const gate of live)
        for (let number = 1; number <= GATES; number++) {
          const placement = buildPlacement(gate, number);
          gate.tracker.add(placement);
          gate.group.announcePlaced(placement);
          keys.push(placement.key);
        }
      await clock.advance(HEARTBEAT_MS);
      for (const {tracker} of live)
        expect(keys.filter(key => !tracker.isTracked(key))).toEqual([]);
    } finally {
      close();
    }
  });

  it('do not take each other for lost', async () => {
    // Guards against the streams of a live gate that vanish from the load of
    // engines because its heartbeats went through a dead gate.
    const {clock, live, kill, close} = await openFleet();
    try {
      kill();
      const fewest = {gates: GATES};
      for (let ms = 0; ms < WATCH_MS; ms += HEARTBEAT_MS / 4) {
        await clock.advance(HEARTBEAT_MS / 4);
        for (const {group} of live)
          fewest.gates = Math.min(fewest.gates, group.listGates().length);
      }
      expect(fewest.gates).toEqual(live.length);
    } finally {
      close();
    }
  });
});
