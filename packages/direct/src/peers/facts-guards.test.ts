import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import {Writable} from 'node:stream';
import {afterEach, describe, it} from 'node:test';
import {RpcClosedError} from '@nutmeggauge/core';
import {expect} from 'earl';
import {DecodeError, FactsBusyError} from '../errors.js';
import {NO_POSITION} from '../fleet/fact-position.js';
import {createFleetState} from '../fleet/fleet-state.js';
import {createDecisionLog} from '../observe/decision-log.js';
import {buildPosition, buildTarget} from '../test/build-target.js';
import {buildConfig} from '../test/gate-harness.js';
import {fetchSharedFacts, openFactsServer} from './facts-exchange.js';
import {createFactsFetcher} from './facts-fetcher.js';
import type {AddressInfo, Server} from 'node:net';

/** Maximum number of peers that are sent a configuration at the same time. */
const MAX_CONCURRENT_TRANSFERS = 2;

/** Idle timeout of the tested gate, in ms. */
const IDLE_TIMEOUT_MS = 300;

const NO_FACTS_KNOWN = {configVersion: 0, position: NO_POSITION};

function createLog() {
  const output = new Writable({write: (_chunk, _encoding, done) => done()});
  return createDecisionLog({proc: 'g', output, readWallMs: Date.now});
}

async function waitThenThrow(limitMs: number): Promise<never> {
  await new Promise(resolve => setTimeout(resolve, limitMs));
  throw new Error(`no result within ${limitMs} ms`);
}

describe('jitter of the facts fetcher', () => {
  /** Records the times of the first and second request of a gate, in ms. */
  async function recordRequests(
    random: () => number,
  ): Promise<readonly number[]> {
    let now = 0;
    const requests: number[] = [];
    const state = createFleetState(() => now);
    const fetcher = createFactsFetcher({
      isStoreSilent: () => false,
      state,
      listUpdateSources: () => (requests.length < 2 ? ['a'] : []),
      fetch: () => {
        requests.push(now);
        return Promise.reject(new FactsBusyError('busy'));
      },
      log: createLog(),
      readNow: () => now,
      random,
      wait: ms => {
        now += ms;
        return Promise.resolve();
      },
    });
    fetcher.schedule();
    await new Promise(resolve => setImmediate(resolve));
    return requests;
  }

  it('spreads the first requests of gates and their retries over time', async () => {
    // Guards against gates that all ask a peer at the same time.
    const early = await recordRequests(() => 0);
    const late = await recordRequests(() => 0.999);
    expect(early[0]).toEqual(400);
    expect(late[0]).toBeGreaterThan(790);
    expect(late[0]).toBeLessThanOrEqual(800);
    expect(late[1] - late[0] - (early[1] - early[0])).toBeGreaterThan(100);
  });
});

describe('facts exchange with unresponsive or busy peers', () => {
  const open: Array<{destroy(): void}> = [];
  const servers: Server[] = [];

  afterEach(() => {
    for (const socket of open.splice(0)) socket.destroy();
    for (const server of servers.splice(0)) server.close();
  });

  async function openGate(): Promise<string> {
    const state = createFleetState(() => 0);
    state.applyChange({kind: 'config', config: buildConfig(7)});
    state.applyChange({kind: 'target', target: buildTarget('t', 3)});
    const server = await openFactsServer({
      address: {host: '127.0.0.1', port: 0},
      state,
      log: createLog(),
      readNow: () => 0,
      idleMs: IDLE_TIMEOUT_MS,
    });
    servers.push(server);
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  /** Opens a gate whose slots are all taken by peers that stop reading. */
  async function openBusyGate(): Promise<string> {
    const address = await openGate();
    const [host, port] = address.split(':');
    for (let i = 0; i < MAX_CONCURRENT_TRANSFERS; i++) {
      const socket = connect(Number(port), host);
      socket.on('error', () => undefined);
      open.push(socket);
      socket.write('{"jsonrpc":"2.0","id":1,"method":"read-facts"}\n');
      await once(socket, 'data');
      socket.pause();
    }
    return address;
  }

  it('releases the slots of stalled peers after the idle timeout', async () => {
    // Guards against suspended peers that occupy their slots forever.
    const address = await openBusyGate();
    await new Promise(resolve => setTimeout(resolve, 3 * IDLE_TIMEOUT_MS));
    const facts = await fetchSharedFacts(address, NO_FACTS_KNOWN);
    expect(facts.config?.version).toEqual(7);
  });

  it('releases the slot of a peer once its transfer is complete', async () => {
    // Guards against a peer that occupies its slot after the answer.
    const address = await openGate();
    for (let i = 0; i <= MAX_CONCURRENT_TRANSFERS; i++) {
      const facts = await fetchSharedFacts(address, NO_FACTS_KNOWN);
      expect(facts.config?.version).toEqual(7);
    }
  });

  it('fails with FactsBusyError when all slots of the peer are taken', async () => {
    // Guards against treating a busy peer as a failed one.
    const known = {configVersion: 0, position: buildPosition(1000)};
    const waiting = fetchSharedFacts(await openBusyGate(), known);
    await expect(waiting).toBeRejectedWith(FactsBusyError);
  });

  it('sends the list of targets even when all slots are taken', async () => {
    // Guards against a busy gate that withholds the small list of targets.
    const known = {configVersion: 7, position: NO_POSITION};
    const facts = await fetchSharedFacts(await openBusyGate(), known);
    expect(facts.config === undefined).toEqual(true);
    expect(facts.targets.map(({id}) => id)).toEqual(['t']);
  });

  it('fails with RpcClosedError when the peer sends nothing for 1,000 ms', async () => {
    // Guards against a suspended peer that delays the fetch forever.
    const server = createServer(socket => open.push(socket));
    servers.push(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const waiting = fetchSharedFacts(`127.0.0.1:${port}`, NO_FACTS_KNOWN);
    await expect(Promise.race([waiting, waitThenThrow(2500)])).toBeRejectedWith(
      RpcClosedError,
    );
  });
});

describe('facts from a gate of another version', () => {
  it('are rejected with DecodeError when a number is null', async () => {
    // Guards against non-finite numbers, which JSON turns into null.
    const server = createServer(socket => {
      const facts = {
        position: buildPosition(3),
        targets: [],
        doubts: [],
        held: [['t', null]],
      };
      const answer = {jsonrpc: '2.0', id: 1, result: facts};
      socket.on('error', () => undefined);
      socket.end(JSON.stringify(answer) + '\n');
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const waiting = fetchSharedFacts(`127.0.0.1:${port}`, NO_FACTS_KNOWN);
    await expect(waiting).toBeRejectedWith(DecodeError);
    server.close();
  });
});

describe('facts from a gate that has only a newer configuration', () => {
  it('remove neither older nor newer targets of the receiving gate', () => {
    // Guards against an answer without targets that removes all known targets.
    const newerState = createFleetState(() => 0);
    newerState.applyChange({kind: 'config', config: buildConfig(7)});
    newerState.applyChange({kind: 'target', target: buildTarget('b', 9)});
    const ownState = createFleetState(() => 0);
    ownState.applyChange({kind: 'target', target: buildTarget('old', 2)});
    ownState.applyChange({kind: 'target', target: buildTarget('new', 12)});
    const known = {configVersion: 0, position: ownState.position};
    ownState.applyShared(newerState.describeShared(known));
    expect(ownState.config?.version).toEqual(7);
    expect(ownState.targetCount).toEqual(2);
    expect(ownState.position.revision).toEqual(12);
  });
});
