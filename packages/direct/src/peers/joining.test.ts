import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {DatagramNetwork} from '../test/datagram-network.js';
import {startFakeClock} from '../test/fake-clock.js';
import {buildConfig} from '../test/gate-harness.js';
import {createModelGate} from '../test/model-gate.js';
import type {FakeClock} from '../test/fake-clock.js';
import type {ModelGate} from '../test/model-gate.js';

const DELAY_MS = 1;

/** Step of the clock in a test of minutes, in ms. */
const COARSE_STEP_MS = 20;

/** Time after its start within which a gate hears of its peers, in ms. */
const JOIN_MS = 100;

/** Time after which gates no longer contact a silent peer, in ms. */
const FORGET_MS = 130_000;

describe('gates that join', () => {
  let clock: FakeClock;
  let network: DatagramNetwork;
  let gates: ModelGate[];
  let sentTo: Set<string>;
  /** Host whose datagrams are lost. */
  let cutHost: string | undefined;

  beforeEach(() => {
    clock = startFakeClock(1);
    sentTo = new Set();
    cutHost = undefined;
    network = new DatagramNetwork(
      from => (from === cutHost ? undefined : DELAY_MS),
      ({from, to}) => {
        if (from !== cutHost) sentTo.add(to);
      },
    );
    gates = [];
  });

  afterEach(() => {
    for (const {group} of gates) void group.stop();
    clock.stop();
  });

  const startGate = async (host: string, seedHosts: readonly string[]) => {
    const gate = createModelGate({
      host,
      zone: 'az-1',
      incarnation: '1',
      seedHosts,
      transport: network.connect(host),
      config: buildConfig(1),
      targets: [],
      readNow: () => clock.now,
    });
    await gate.group.start();
    gates.push(gate);
    return gate;
  };

  it('hear from a seed that starts a moment later', async () => {
    // Guards against a gate that takes busy engines for idle ones until the
    // next heartbeat, because its only greeting met no listener.
    const gate = await startGate('a', ['b']);
    await clock.advance(300);
    await startGate('b', []);
    await clock.advance(JOIN_MS);
    expect(gate.group.countGates()).toEqual(2);
  });

  it('hear at once from the gates that their seed knows', async () => {
    await startGate('a', ['b']);
    await startGate('b', ['a']);
    await startGate('c', ['b']);
    await clock.advance(JOIN_MS);
    const gate = await startGate('d', ['b']);
    await clock.advance(10 * DELAY_MS);
    expect(gate.group.countGates()).toEqual(4);
  });

  it('tell each other of crashes although they greet each other at once', async () => {
    // Guards against a gate that leaves a request which crashes servers unknown
    // to a peer, because it takes its own greeting for an answer.
    const first = await startGate('a', ['b']);
    const report = {content: 'c1', crashes: [{target: 'i-1', ageMs: 5000}]};
    first.suspects.merge([report]);
    const second = await startGate('b', ['a']);
    await clock.advance(20 * DELAY_MS);
    const known = second.suspects.listAll().map(({content}) => content);
    expect(known).toEqual(['c1']);
  });

  it('do not contact a gate forever that is gone', async () => {
    // Guards against hosts that gates name to each other again and again.
    clock.stop();
    clock = startFakeClock(COARSE_STEP_MS);
    await startGate('a', ['b']);
    await startGate('b', []);
    const cut = await startGate('c', ['a', 'b']);
    await clock.advance(JOIN_MS);
    expect(cut.group.countGates()).toEqual(3);
    cutHost = 'c';
    await clock.advance(FORGET_MS);
    sentTo.clear();
    await clock.advance(1500);
    expect([...sentTo].sort()).toEqual(['a', 'b']);
  });

  it('hear of each other although each knows as many gates as the others', async () => {
    // Guards against gates that compare how many gates they know, not which.
    await startGate('a', ['b']);
    await startGate('b', []);
    await startGate('d', ['c']);
    await startGate('c', ['b']);
    await clock.advance(JOIN_MS + 1000);
    for (const {group} of gates) expect(group.countGates()).toEqual(4);
  });
});
