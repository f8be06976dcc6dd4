import {once} from 'node:events';
import {connect} from 'node:net';
import {PassThrough} from 'node:stream';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {createFleetState} from '../fleet/fleet-state.js';
import {createDecisionLog} from '../observe/decision-log.js';
import {buildLargeConfig} from '../test/gate-world.js';
import {openFactsServer} from './facts-exchange.js';
import type {AddressInfo, Server, Socket} from 'node:net';
import type {SharedFacts} from '../fleet/fleet-state.js';

/** Routes of the large configuration: 8 MB, more than sockets hold back. */
const ROUTE_COUNT = 30_000;

/** Gates that ask at once. */
const ASKERS = 6;

/** Gates that may be sent facts at the same time. */
const MOST_AT_ONCE = 2;

/** Longer than any test, in ms: askers pause on purpose. */
const TEST_IDLE_MS = 60_000;

describe('handing facts to other gates', () => {
  const sockets: Socket[] = [];
  let output: PassThrough;
  let server: Server;

  beforeEach(async () => {
    const readNow = () => performance.now();
    const state = createFleetState(readNow);
    output = new PassThrough();
    server = await openFactsServer({
      address: {host: '127.0.0.1', port: 0},
      state,
      log: createDecisionLog({proc: 'g', output, readWallMs: Date.now}),
      readNow,
      idleMs: TEST_IDLE_MS,
    });
    state.applyChange(
      {kind: 'config', config: buildLargeConfig(7, ROUTE_COUNT)},
      0,
    );
  });

  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy();
    server.close();
  });

  async function openAsker(): Promise<Socket> {
    const {port} = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    socket.setEncoding('utf8');
    socket.on('error', () => undefined);
    sockets.push(socket);
    await once(socket, 'connect');
    return socket;
  }

  /** Asks, and takes the first bytes of the answer only. */
  async function askAndPause(known: object): Promise<string> {
    const socket = await openAsker();
    const params = JSON.stringify(known);
    socket.write(
      `{"jsonrpc":"2.0","id":1,"method":"read-facts","params":${params}}\n`,
    );
    const [chunk] = (await once(socket, 'data')) as [string];
    socket.pause();
    return chunk;
  }

  async function askWhole(known: object): Promise<SharedFacts> {
    let text = await askAndPause(known);
    const socket = sockets[sockets.length - 1];
    socket.on('data', (chunk: string) => (text += chunk));
    socket.resume();
    while (!text.endsWith('\n')) await once(socket, 'data');
    return (JSON.parse(text) as {result: SharedFacts}).result;
  }

  /** Waits until the gate has seen that many askers hang up. */
  async function waitForCuts(count: number): Promise<void> {
    let log = '';
    for (;;) {
      log += String(output.read() ?? '');
      if (log.split('"isCut":true').length > count) return;
      await once(output, 'readable');
    }
  }

  it('goes on when those that asked hang up in the middle', async () => {
    // The configuration grows by many routes and the store is slow: all other
    // gates ask the one that is ahead, its link cannot carry so much, and all
    // give up at the same moment, closing with bytes unread. The resets were
    // raised on the reader of lines, where nobody listened: the gate ended
    // with status 1, and the streams that it was forwarding were cut.
    const unheard: string[] = [];
    const record = ({message}: Error) => unheard.push(message);
    process.on('uncaughtException', record);
    for (let i = 0; i < MOST_AT_ONCE; i++) await askAndPause({});
    for (const socket of sockets) socket.resetAndDestroy();
    await waitForCuts(MOST_AT_ONCE);
    process.off('uncaughtException', record);
    expect(unheard).toEqual([]);
    expect((await askWhole({})).config?.version).toEqual(7);
  });

  it('serves two at a time and sends the others elsewhere', async () => {
    // 22 gates ask the first one that has the new configuration. It sent
    // 22 copies of a megabyte at once: callers' streams through it were late
    // by 200 ms, none of the copies was whole in time, and all were in vain.
    const answers: string[] = [];
    for (let i = 0; i < ASKERS; i++) answers.push(await askAndPause({}));
    const served = answers.filter(answer => answer.includes('"result"'));
    const refused = answers.filter(answer => answer.includes('"error"'));
    expect(served.length).toEqual(MOST_AT_ONCE);
    expect(refused.length).toEqual(ASKERS - MOST_AT_ONCE);
  });

  it('serves the next one when one has what it asked for', async () => {
    // A gate that counted only up would refuse all others for good.
    for (let i = 0; i < ASKERS; i++) {
      expect((await askWhole({})).config?.version).toEqual(7);
      sockets[i].destroy();
      await once(sockets[i], 'close');
    }
  });

  it('keeps no place for an asker that was gone before its answer', async () => {
    // The bytes behind the question are no message, so the link closes while
    // the answer is being made. Two such askers, and nobody was served again.
    for (let i = 0; i < MOST_AT_ONCE; i++) {
      const socket = await openAsker();
      socket.write('{"jsonrpc":"2.0","id":1,"method":"read-facts"}\n{{\n');
      socket.resume();
      await once(socket, 'close');
    }
    expect((await askWhole({})).config?.version).toEqual(7);
  });

  it('leaves out the configuration that the asker has', async () => {
    // Servers are replaced, and a gate that is behind by one of them asks
    // another: for a list of 60 targets it got a megabyte of routes again.
    const facts = await askWhole({configVersion: 7, revision: 0});
    expect(facts.config === undefined).toEqual(true);
  });
});
