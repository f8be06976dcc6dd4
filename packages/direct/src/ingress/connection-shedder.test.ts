import {createServer} from 'node:http';
import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {createCounters, openListener} from '@nutmeggauge/core';
import {expect} from 'earl';
import {ConnectionShedder} from './connection-shedder.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: site\r\nConnection: close\r\n\r\n';

/** Opens a connection, sends a request and returns what comes back. */
function sendRequest(port: number): Promise<string> {
  return new Promise(resolve => {
    const socket = connect({port, host: '127.0.0.1'});
    let text = '';
    socket.on('connect', () => socket.write(REQUEST));
    socket.on('data', chunk => (text += String(chunk)));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(text));
  });
}

async function runWithShedder(
  peerLags: readonly number[],
  test: (
    shedder: ConnectionShedder,
    ask: () => Promise<string>,
    clock: {now: number},
  ) => Promise<void>,
): Promise<void> {
  const clock = {now: 1000};
  const server = createServer((_req, res) => res.end('served'));
  const port = await openListener(server, {host: '127.0.0.1', port: 0});
  const shedder = new ConnectionShedder({
    readNow: () => clock.now,
    listPeerLags: () => peerLags,
    counters: createCounters(),
  });
  shedder.observe(server);
  try {
    await test(shedder, () => sendRequest(port), clock);
  } finally {
    server.close();
    server.closeAllConnections();
  }
}

/** Makes the gate late for longer than its peers need to tell their delays. */
function recordLongLag(
  shedder: ConnectionShedder,
  clock: {now: number},
  lagMs: number,
): void {
  for (let i = 0; i <= 4; i++) {
    clock.now += 300;
    shedder.recordLag(lagMs);
  }
}

describe('gate that gets most new connections', () => {
  it('closes new ones unread while it is behind and others are not', () =>
    // Guards against requests that are read late, or refused, by one gate while
    // the others have nothing to do.
    runWithShedder([0, 5, 200], async (shedder, ask, clock) => {
      expect(await ask()).toEqual(expect.includes('served'));
      recordLongLag(shedder, clock, 150);
      expect(await ask()).toEqual('');
      shedder.recordLag(10);
      expect(await ask()).toEqual(expect.includes('served'));
    }));

  it('takes them if others are behind as well', () =>
    // Guards against callers that find no gate when all are busy.
    runWithShedder([120, 300, 5], async (shedder, ask, clock) => {
      recordLongLag(shedder, clock, 500);
      expect(await ask()).toEqual(expect.includes('served'));
    }));

  it('takes them if it knows no other gate', () =>
    runWithShedder([], async (shedder, ask, clock) => {
      recordLongLag(shedder, clock, 500);
      expect(await ask()).toEqual(expect.includes('served'));
    }));

  it('goes on shedding until it has caught up', () =>
    // Guards against a gate that takes and closes connections in turn.
    runWithShedder([0], async (shedder, _ask, clock) => {
      recordLongLag(shedder, clock, 150);
      shedder.recordLag(60);
      expect(shedder.isShedding).toEqual(true);
      shedder.recordLag(30);
      expect(shedder.isShedding).toEqual(false);
    }));

  it('takes them after a single pause, however long', () =>
    // Guards against a gate that closes connections because it was suspended.
    runWithShedder([0], async (shedder, ask) => {
      shedder.recordLag(5000);
      expect(await ask()).toEqual(expect.includes('served'));
    }));

  it('tells its largest delay of the last second', () =>
    runWithShedder([0], async shedder => {
      shedder.recordLag(80);
      shedder.recordLag(20);
      expect(shedder.readLagMs()).toEqual(80);
    }));

  it('takes connections when its process has been suspended twice', () =>
    // Guards against requests that are cut when a suspended gate goes on, although
    // it is not behind.
    runWithShedder([0, 0], async (shedder, ask, clock) => {
      shedder.recordLag(520);
      clock.now += 1340;
      shedder.recordLag(1300);
      expect(await ask()).toInclude('served');
    }));
});
