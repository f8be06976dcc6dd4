import {once} from 'node:events';
import {connect} from 'node:net';
import {PassThrough} from 'node:stream';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {NO_POSITION} from '../fleet/fact-position.js';
import {createFleetState} from '../fleet/fleet-state.js';
import {createDecisionLog} from '../observe/decision-log.js';
import {buildLargeConfig} from '../test/gate-harness.js';
import {openFactsServer} from './facts-exchange.js';
import type {AddressInfo, Server, Socket} from 'node:net';
import type {SharedFacts} from '../fleet/fleet-types.js';

/** Number of routes that makes a configuration larger than socket buffers. */
const ROUTE_COUNT = 30_000;

/** Number of peers that ask at the same time. */
const CLIENT_COUNT = 6;

/** Maximum number of peers that are sent a configuration at the same time. */
const MAX_CONCURRENT_TRANSFERS = 2;

/**
 * Idle timeout longer than any test, in ms; clients stop reading on purpose.
 */
const TEST_IDLE_MS = 60_000;

describe('facts server', () => {
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
    state.applyChange({
      kind: 'config',
      config: buildLargeConfig(7, ROUTE_COUNT),
    });
  });

  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy();
    server.close();
  });

  async function openClient(): Promise<Socket> {
    const {port} = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    socket.setEncoding('utf8');
    socket.on('error', () => undefined);
    sockets.push(socket);
    await once(socket, 'connect');
    return socket;
  }

  /** Asks for facts, and stops reading after the first bytes of the answer. */
  async function askAndPause(known: object): Promise<string> {
    const socket = await openClient();
    const params = JSON.stringify(known);
    socket.write(
      `{"jsonrpc":"2.0","id":1,"method":"read-facts","params":${params}}\n`,
    );
    const [chunk] = (await once(socket, 'data')) as [string];
    socket.pause();
    return chunk;
  }

  async function askForFacts(known: object): Promise<SharedFacts> {
    let text = await askAndPause(known);
    const socket = sockets[sockets.length - 1];
    socket.on('data', (chunk: string) => (text += chunk));
    socket.resume();
    while (!text.endsWith('\n')) await once(socket, 'data');
    return (JSON.parse(text) as {result: SharedFacts}).result;
  }

  /** Waits until the gate has logged `count` failed connections. */
  async function waitForResets(count: number): Promise<void> {
    let log = '';
    for (;;) {
      log += String(output.read() ?? '');
      if (log.split('"isCut":true').length > count) return;
      await once(output, 'readable');
    }
  }

  it('keeps serving after peers reset their connections during a transfer', async () => {
    // Guards against an uncaught error, which ends the gate, when peers reset
    // connections that the gate is writing to.
    const unhandled: string[] = [];
    const record = ({message}: Error) => unhandled.push(message);
    process.on('uncaughtException', record);
    for (let i = 0; i < MAX_CONCURRENT_TRANSFERS; i++) await askAndPause({});
    for (const socket of sockets) socket.resetAndDestroy();
    await waitForResets(MAX_CONCURRENT_TRANSFERS);
    process.off('uncaughtException', record);
    expect(unhandled).toEqual([]);
    expect((await askForFacts({})).config?.version).toEqual(7);
  });

  it('sends a configuration to two peers at a time and refuses others as busy', async () => {
    // Guards against a link that is saturated by concurrent transfers to all
    // peers.
    const answers: string[] = [];
    for (let i = 0; i < CLIENT_COUNT; i++) answers.push(await askAndPause({}));
    const served = answers.filter(answer => answer.includes('"result"'));
    const refused = answers.filter(answer => answer.includes('"error"'));
    expect(served.length).toEqual(MAX_CONCURRENT_TRANSFERS);
    expect(refused.length).toEqual(CLIENT_COUNT - MAX_CONCURRENT_TRANSFERS);
  });

  it('serves the next peer after a peer has closed its connection', async () => {
    // Guards against closed connections that still count as transfers.
    for (let i = 0; i < CLIENT_COUNT; i++) {
      expect((await askForFacts({})).config?.version).toEqual(7);
      sockets[i].destroy();
      await once(sockets[i], 'close');
    }
  });

  it('releases the slot of a connection that closes before its answer is sent', async () => {
    // Guards against a slot that is never released because a malformed line
    // closes the connection while the answer is prepared.
    for (let i = 0; i < MAX_CONCURRENT_TRANSFERS; i++) {
      const socket = await openClient();
      socket.write('{"jsonrpc":"2.0","id":1,"method":"read-facts"}\n{{\n');
      socket.resume();
      await once(socket, 'close');
    }
    expect((await askForFacts({})).config?.version).toEqual(7);
  });

  it('omits the configuration when the peer already has the same version', async () => {
    // Guards against sending the configuration to a peer that lacks only a
    // target.
    const facts = await askForFacts({configVersion: 7, position: NO_POSITION});
    expect(facts.config === undefined).toEqual(true);
  });
});
