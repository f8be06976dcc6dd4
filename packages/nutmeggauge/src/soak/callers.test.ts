import {createServer} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {openListener} from '@nutmeggauge/core';
import {expect} from 'earl';
import {Caller} from './callers.js';
import type {Server, Socket} from 'node:net';

const RUNS = 40;

const UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

describe('caller of the soak', () => {
  let server: Server;
  let port: number;
  let finish: (socket: Socket) => void;
  const caller = new Caller('c', 15_000);

  beforeEach(async () => {
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.on('data', () => finish(socket));
    });
    port = await openListener(server, {host: '127.0.0.1', port: 0});
  });

  afterEach(() => {
    caller.close();
    server.close();
  });

  async function countWhole(runs = RUNS): Promise<number> {
    let whole = 0;
    for (let i = 0; i < runs; i++) {
      const record = await caller.call({gate: 0, port}, 'safe', 'key-1');
      expect(record.status).toEqual(200);
      if (record.isWhole) whole++;
    }
    return whole;
  }

  it('takes no answer without a length for whole that is reset at once or late', async () => {
    // Guards against a reset that Node.js reports as a regular end.
    for (const delayMs of [0, 20]) {
      finish = socket => {
        socket.write(`${UNFRAMED_HEAD}body`);
        if (delayMs === 0) socket.resetAndDestroy();
        else setTimeout(() => socket.resetAndDestroy(), delayMs);
      };
      expect(await countWhole()).toEqual(0);
    }
  });

  it('takes an answer without a length for whole that is closed', async () => {
    finish = socket => void socket.end(`${UNFRAMED_HEAD}body`);
    expect(await countWhole()).toEqual(RUNS);
  });

  it('uses no idle connection again that the gate has closed', async () => {
    // Guards against half-open connections that the agent keeps as idle ones.
    finish = socket => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na');
      setTimeout(() => socket.end(), 10);
    };
    for (let i = 0; i < 5; i++) {
      expect(await countWhole(1)).toEqual(1);
      await new Promise(resolve => setTimeout(resolve, 50));
    }
  });
});
