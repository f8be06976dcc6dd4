import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import {Writable} from 'node:stream';
import {afterEach, describe, it} from 'node:test';
import {RpcClosedError} from '@nutmeggauge/core';
import {expect} from 'earl';
import {DecodeError, FactsBusyError} from '../errors.js';
import {createFleetState} from '../fleet/fleet-state.js';
import {createDecisionLog} from '../observe/decision-log.js';
import {buildTarget} from '../test/build-target.js';
import {buildConfig} from '../test/gate-world.js';
import {fetchSharedFacts, openFactsServer} from './facts-exchange.js';
import {createFactsFetcher} from './facts-fetcher.js';
import type {AddressInfo, Server} from 'node:net';

/** Gates that may be sent a configuration at the same time. */
const MOST_AT_ONCE = 2;

/** Silence after which the tested gate takes an asker for gone, in ms. */
const IDLE_MS = 300;

const NOTHING = {configVersion: 0, revision: 0};

function createLog() {
  const output = new Writable({write: (_chunk, _encoding, done) => done()});
  return createDecisionLog({proc: 'g', output, readWallMs: Date.now});
}

async function waitThenThrow(limitMs: number): Promise<never> {
  await new Promise(resolve => setTimeout(resolve, limitMs));
  throw new Error(`not within ${limitMs} ms`);
}

describe('gates that hear the same news', () => {
  /** Returns when a gate asks for the first and the second time, in ms. */
  async function recordAsks(random: () => number): Promise<readonly number[]> {
    let now = 0;
    const asks: number[] = [];
    const state = createFleetState(() => now);
    const fetcher = createFactsFetcher({
      isStoreSilent: () => false,
      state,
      listAhead: () => (asks.length < 2 ? ['a'] : []),
      fetch: () => {
        asks.push(now);
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
    return asks;
  }

  it('ask at different times, and again at different times', async () => {
    // 22 gates heard of a configuration in the same beat, and asked for it in
    // the same millisecond: 20 of them for nothing, and again so.
    const soon = await recordAsks(() => 0);
    const late = await recordAsks(() => 0.999);
    expect(soon[0]).toEqual(400);
    expect(late[0]).toBeGreaterThan(790);
    expect(late[0]).toBeLessThanOrEqual(800);
    expect(late[1] - late[0] - (soon[1] - soon[0])).toBeGreaterThan(100);
  });
});

describe('askers and gates that have gone silent', () => {
  const open: Array<{destroy(): void}> = [];
  const servers: Server[] = [];

  afterEach(() => {
    for (const socket of open.splice(0)) socket.destroy();
    for (const server of servers.splice(0)) server.close();
  });

  async function openGate(): Promise<string> {
    const state = createFleetState(() => 0);
    state.applyChange({kind: 'config', config: buildConfig(7)}, 0);
    state.applyChange({kind: 'target', target: buildTarget('t', 3)}, 3);
    const server = await openFactsServer({
      address: {host: '127.0.0.1', port: 0},
      state,
      log: createLog(),
      readNow: () => 0,
      idleMs: IDLE_MS,
    });
    servers.push(server);
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  /** Opens a gate whose places are taken by askers that say nothing more. */
  async function openTakenGate(): Promise<string> {
    const address = await openGate();
    const [host, port] = address.split(':');
    for (let i = 0; i < MOST_AT_ONCE; i++) {
      const socket = connect(Number(port), host);
      socket.on('error', () => undefined);
      open.push(socket);
      socket.write('{"jsonrpc":"2.0","id":1,"method":"read-facts"}\n');
      await once(socket, 'data');
      socket.pause();
    }
    return address;
  }

  it('keep no place at the gate that they asked', async () => {
    // Two hosts freeze while they are being sent the configuration. Their
    // connections stay open, and nobody else was served by that gate again.
    const address = await openTakenGate();
    await new Promise(resolve => setTimeout(resolve, 3 * IDLE_MS));
    const facts = await fetchSharedFacts(address, NOTHING);
    expect(facts.config?.version).toEqual(7);
  });

  it('are not those that have what they asked for', async () => {
    // An asker that kept its connection kept its place until the gate took it
    // for gone: two configurations in a second, and 20 gates wait.
    const address = await openGate();
    for (let i = 0; i <= MOST_AT_ONCE; i++) {
      const facts = await fetchSharedFacts(address, NOTHING);
      expect(facts.config?.version).toEqual(7);
    }
  });

  it('are told apart from a gate that serves others', async () => {
    // Taken for a failure, a gate that is only busy is asked no more. The
    // asker has its list of targets and lacks the configuration alone.
    const known = {configVersion: 0, revision: 1000};
    const asking = fetchSharedFacts(await openTakenGate(), known);
    await expect(asking).toBeRejectedWith(FactsBusyError);
  });

  it('keep no gate from its list of targets', async () => {
    // A server has left, and a gate that has the configuration asks for the
    // list. It is a few kilobytes, and callers are sent to that server until
    // it is there.
    const known = {configVersion: 7, revision: 0};
    const facts = await fetchSharedFacts(await openTakenGate(), known);
    expect(facts.config === undefined).toEqual(true);
    expect(facts.targets.map(({id}) => id)).toEqual(['t']);
  });

  it('are given up after a second of silence', async () => {
    // The asked host freezes: its system takes the connection and the
    // question, and no answer comes. Another gate could have answered.
    const server = createServer(socket => open.push(socket));
    servers.push(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const asking = fetchSharedFacts(`127.0.0.1:${port}`, NOTHING);
    await expect(Promise.race([asking, waitThenThrow(2500)])).toBeRejectedWith(
      RpcClosedError,
    );
  });
});

describe('facts of a gate of another version', () => {
  it('are refused as they arrive when a figure was lost', async () => {
    // JSON made null of an infinite figure. Applied, it counted as zero, and
    // the gate's heap filled with passes that read nothing.
    const server = createServer(socket => {
      const facts = {revision: 3, targets: [], held: [['t', null]]};
      const answer = {jsonrpc: '2.0', id: 1, result: facts};
      socket.on('error', () => undefined);
      socket.end(JSON.stringify(answer) + '\n');
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const asking = fetchSharedFacts(`127.0.0.1:${port}`, NOTHING);
    await expect(asking).toBeRejectedWith(DecodeError);
    server.close();
  });
});

describe('facts of a gate that is ahead by a configuration alone', () => {
  it('take away no target, however old its entry', () => {
    // The answer lists no targets, as the asker's are newer. Taken for an
    // empty list, it removed every target that had not changed lately.
    const ahead = createFleetState(() => 0);
    ahead.applyChange({kind: 'config', config: buildConfig(7)}, 0);
    ahead.applyChange({kind: 'target', target: buildTarget('b', 9)}, 9);
    const behind = createFleetState(() => 0);
    behind.applyChange({kind: 'target', target: buildTarget('old', 2)}, 2);
    behind.applyChange({kind: 'target', target: buildTarget('new', 12)}, 12);
    const known = {configVersion: 0, revision: behind.revision};
    behind.applyShared(ahead.describeShared(known));
    expect(behind.config?.version).toEqual(7);
    expect(behind.targetCount).toEqual(2);
    expect(behind.revision).toEqual(12);
  });
});
