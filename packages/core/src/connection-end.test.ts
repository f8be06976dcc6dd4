import {connect, createServer} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {observeEnd} from './connection-end.js';
import {openListener} from './listen.js';
import type {Socket} from 'node:net';
import type {ConnectionEnd} from './connection-end.js';

const RUNS = 40;

/** Sizes from one read to several, in bytes. */
const SIZES = [1, 900, 20_000, 400_000];

/** Bytes that a caller is still sending when the connection ends. */
const UNSENT_BYTES = 8 * 1024 * 1024;

interface Peer {
  readonly bytes: number;
  readonly finish: (socket: Socket) => void;
  /** Bytes that are sent to the peer, which reads only the first ones. */
  readonly sentBytes?: number;
}

/** Connects to a peer that writes and then ends the connection. */
async function runPeer({
  bytes,
  finish,
  sentBytes = 1,
}: Peer): Promise<ConnectionEnd> {
  const accepted = new Set<Socket>();
  const server = createServer(socket => {
    accepted.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.pause();
      socket.write(Buffer.alloc(bytes, 'a'), () => finish(socket));
    });
  });
  const port = await openListener(server, {host: '127.0.0.1', port: 0});
  try {
    const socket = connect({host: '127.0.0.1', port, allowHalfOpen: true});
    const ended = observeEnd(socket);
    socket.on('error', () => undefined);
    socket.resume();
    socket.write(Buffer.alloc(sentBytes));
    const end = await ended;
    socket.destroy();
    return end;
  } finally {
    for (const socket of accepted) socket.destroy();
    server.close();
  }
}

async function countEnds(
  peer: Peer,
): Promise<Readonly<Record<string, number>>> {
  const counts: Record<string, number> = {};
  for (let i = 0; i < RUNS; i++) {
    const end = await runPeer(peer);
    counts[end] = (counts[end] ?? 0) + 1;
  }
  return counts;
}

describe('end of a connection', () => {
  for (const bytes of SIZES) {
    it(`is a reset when the peer resets right behind ${bytes} bytes`, async () => {
      // Guards against a reset that Node.js reports as a regular end.
      const finish = (socket: Socket) => void socket.resetAndDestroy();
      expect(await countEnds({bytes, finish})).toEqual({reset: RUNS});
    });

    it(`is a close when the peer closes behind ${bytes} bytes`, async () => {
      const finish = (socket: Socket) => void socket.end();
      expect(await countEnds({bytes, finish})).toEqual({closed: RUNS});
    });
  }

  it('is a reset when the peer resets while bytes wait to be sent to it', async () => {
    // Guards against a test write that waits behind others, and is taken for sent.
    const finish = (socket: Socket) => void socket.resetAndDestroy();
    const peer = {bytes: 900, finish, sentBytes: UNSENT_BYTES};
    expect(await countEnds(peer)).toEqual({reset: RUNS});
  });

  it('is a close when the peer closes its side while bytes wait to be sent to it', async () => {
    const finish = (socket: Socket) => void socket.end();
    const peer = {bytes: 900, finish, sentBytes: UNSENT_BYTES};
    expect(await countEnds(peer)).toEqual({closed: RUNS});
  });

  it('is a close when the peer closes after this process has ended its side', async () => {
    // Guards against a write after the end, which fails and is taken for a reset.
    const server = createServer({allowHalfOpen: true}, accepted => {
      accepted.resume();
      accepted.once('end', () => accepted.end());
    });
    const port = await openListener(server, {host: '127.0.0.1', port: 0});
    const socket = connect({host: '127.0.0.1', port, allowHalfOpen: true});
    socket.on('error', () => undefined);
    const ended = observeEnd(socket);
    socket.resume();
    socket.end('a');
    const end = await ended;
    server.close();
    expect(end).toEqual('closed');
    expect(socket.errored).toEqual(null);
  });

  it('is a reset when this process destroys the connection', async () => {
    const server = createServer(socket => socket.on('error', () => undefined));
    const port = await openListener(server, {host: '127.0.0.1', port: 0});
    const socket = connect({host: '127.0.0.1', port, allowHalfOpen: true});
    const ended = observeEnd(socket);
    socket.destroy();
    expect(await ended).toEqual('reset');
    server.close();
  });
});
