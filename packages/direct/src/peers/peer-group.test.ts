import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {Writable} from 'node:stream';
import {buildLoopbackHost, createSuspectRequests} from '@nutmeggauge/core';
import {expect} from 'earl';
import {NO_POSITION} from '../fleet/fact-position.js';
import {createFleetState} from '../fleet/fleet-state.js';
import {createDecisionLog} from '../observe/decision-log.js';
import {createIdleSlowdowns} from '../test/fake-reports.js';
import {ENGINE, buildConfig} from '../test/gate-harness.js';
import {createIdleLimits} from '../test/idle-limits.js';
import {createQuietTurns} from '../test/quiet-turns.js';
import {createLoadTracker} from '../placement/load-tracker.js';
import {UdpTransport} from './datagram-transport.js';
import {RpcFactsExchange} from './facts-exchange.js';
import {PeerGroup} from './peer-group.js';
import type {FleetState} from '../fleet/fleet-state.js';
import type {LoadTracker} from '../placement/load-tracker.js';
import type {Placement} from '../placement/placement.js';
import type {Heartbeat} from './messages.js';

const PORT = 23_000;

interface Member {
  readonly group: PeerGroup;
  readonly tracker: LoadTracker;
  readonly state: FleetState;
  /**
   * Time for which the store has answered the gate without an outage, in ms.
   */
  contactMs: number;
}

function buildMember(host: string, seedHosts: readonly string[]): Member {
  const readNow = () => performance.now();
  const output = new Writable({write: (_chunk, _encoding, done) => done()});
  const tracker = createLoadTracker(() => ENGINE);
  const state = createFleetState(readNow);
  const log = createDecisionLog({proc: host, output, readWallMs: Date.now});
  const address = {host, port: PORT};
  const member = {contactMs: 0, tracker, state};
  const group = new PeerGroup({
    host,
    zone: 'az-1',
    transport: new UdpTransport(address, error => {
      throw error;
    }),
    facts: new RpcFactsExchange({address, state, log, readNow}),
    incarnation: String(Math.random()),
    seedHosts,
    state,
    tracker,
    slowdowns: createIdleSlowdowns(log, readNow),
    suspects: createSuspectRequests(),
    readLagMs: () => 0,
    limits: createIdleLimits(log, readNow).requests,
    answerPermit: ({number}) => ({number, waitMs: 0}),
    onPermitAnswer: () => undefined,
    onTargetEnd: () => undefined,
    turns: createQuietTurns(),
    log,
    readNow,
    readStoreAgeMs: () => 0,
    readContactMs: () => member.contactMs,
  });
  return Object.assign(member, {group});
}

function buildPlacement(member: Member, number: number): Placement {
  return {
    key: `${member.group.owner}#${number}`,
    decoder: 'e1',
    shards: [
      {target: 'e1', prefillMs: 400},
      {target: 'e2', prefillMs: 400},
    ],
    promptTokens: 100_000,
    kvTokens: 101_000,
    reserved: [],
    objectiveMs: 3000,
    itlObjectiveMs: 1000,
    value: 11,
    predictedTtftMs: 500,
    placedAt: performance.now(),
  };
}

async function waitUntil(check: () => boolean): Promise<void> {
  const giveUpAt = performance.now() + 4000;
  while (!check()) {
    if (performance.now() > giveUpAt)
      throw new Error('condition not met within 4,000 ms');
    await new Promise(resolve => setTimeout(resolve, 10));
  }
}

describe('peer group', () => {
  const hosts = [0, 1, 2].map(buildLoopbackHost);
  let firstMember: Member;
  let secondMember: Member;

  beforeEach(async () => {
    firstMember = buildMember(hosts[0], [hosts[2]]);
    secondMember = buildMember(hosts[1], [hosts[0], hosts[2]]);
    await firstMember.group.start();
    await secondMember.group.start();
    await waitUntil(() => firstMember.group.countGates() === 2);
    await waitUntil(() => secondMember.group.countGates() === 2);
  });

  afterEach(async () => {
    await firstMember.group.stop();
    await secondMember.group.stop();
  });

  const hasRemoteLoad = (member: Member) =>
    member.tracker.describe('e2', performance.now()).backlogMs > 0;

  it('discovers the other gates when one seed is down', () => {
    expect(firstMember.group.countGates()).toEqual(2);
  });

  it('counts the placement of a peer as load until the peer announces its end', async () => {
    // Guards against two gates that place long prompts on the same idle engine.
    const placement = buildPlacement(firstMember, 1);
    firstMember.tracker.add(placement);
    firstMember.group.announcePlaced(placement);
    await waitUntil(() => hasRemoteLoad(secondMember));
    firstMember.tracker.remove(placement.key, performance.now());
    firstMember.group.announceEnded(placement.key);
    await waitUntil(() => !hasRemoteLoad(secondMember));
  });

  it('removes a placement that has ended even when the end was not announced', async () => {
    const placement = buildPlacement(firstMember, 1);
    firstMember.tracker.add(placement);
    firstMember.group.announcePlaced(placement);
    await waitUntil(() => hasRemoteLoad(secondMember));
    firstMember.tracker.remove(placement.key, performance.now());
    await waitUntil(
      () => secondMember.tracker.describe('e1', performance.now()).active === 0,
    );
  });

  it('sends open placements to a gate that joins', async () => {
    // Guards against a restarted gate that treats busy engines as idle.
    const placement = buildPlacement(firstMember, 1);
    firstMember.tracker.add(placement);
    const thirdMember = buildMember(hosts[2], [hosts[0]]);
    await thirdMember.group.start();
    try {
      await waitUntil(
        () =>
          thirdMember.tracker.describe('e1', performance.now()).active === 1,
      );
    } finally {
      await thirdMember.group.stop();
    }
  });

  it('learns of a placement whose announcement was lost from the next heartbeat', async () => {
    // Guards against an engine that counts as idle until the end of a stream
    // that was placed while two gates could not reach each other.
    firstMember.tracker.add(buildPlacement(firstMember, 1));
    await waitUntil(
      () => secondMember.tracker.describe('e1', performance.now()).active === 1,
    );
  });

  it('propagates a configuration to gates that cannot reach the store', async () => {
    // Guards against outdated routes at gates that cannot reach the store.
    const thirdMember = buildMember(hosts[2], [hosts[0]]);
    await thirdMember.group.start();
    try {
      const config = buildConfig(7);
      firstMember.state.applyChange({kind: 'config', config});
      const hasNewConfig = (member: Member) =>
        member.state.config?.version === 7;
      await waitUntil(
        () => hasNewConfig(secondMember) && hasNewConfig(thirdMember),
      );
    } finally {
      await thirdMember.group.stop();
    }
  });

  it('announces a configuration received from a peer before the next regular heartbeat', async () => {
    // Guards against a configuration that many gates lack and only one gate
    // serves.
    const listener = createSocket('udp4');
    listener.bind(PORT, hosts[2]);
    await once(listener, 'listening');
    const waitForHeartbeat = async (version: number) => {
      for (;;) {
        const [bytes] = (await once(listener, 'message')) as [Buffer];
        const {params} = JSON.parse(String(bytes)) as {params: Heartbeat};
        if (params.from !== hosts[1]) continue;
        if (params.configVersion === version) return performance.now();
      }
    };
    try {
      const before = await waitForHeartbeat(0);
      const config = buildConfig(7);
      secondMember.state.applyShared({
        position: NO_POSITION,
        config,
        targets: [],
        held: [],
        doubts: [],
      });
      // The next regular heartbeat is due after 1,000 ms.
      expect((await waitForHeartbeat(7)) - before).toBeLessThan(700);
    } finally {
      listener.close();
    }
  });
});
