import {connect, createServer} from 'node:net';
import {once} from 'node:events';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {observeEnd, openListener, waitMs} from '@nutmeggauge/core';
import {expect} from 'earl';
import {FaultyLink} from './faulty-link.js';
import type {Server, Socket} from 'node:net';
import type {ConnectionEnd} from '@nutmeggauge/core';

/** Time in which bytes cross the link, in ms. */
const SETTLE_MS = 50;

describe('faulty TCP link', () => {
  let target: Server;
  let accepted: Promise<Socket>;
  let link: FaultyLink;
  let port: number;

  beforeEach(async () => {
    target = createServer();
    accepted = once(target, 'connection').then(([socket]) => socket as Socket);
    link = new FaultyLink(
      await openListener(target, {host: '127.0.0.1', port: 0}),
    );
    port = await link.start();
  });

  afterEach(() => {
    link.stop();
    target.close();
  });

  it('forwards bytes in both directions, and the end behind them', async () => {
    const caller = connect(port, '127.0.0.1');
    caller.write('ask');
    const served = await accepted;
    expect(String((await once(served, 'data'))[0])).toEqual('ask');
    served.end('answer');
    const ended = once(caller, 'end');
    expect(String((await once(caller, 'data'))[0])).toEqual('answer');
    await ended;
  });

  it('resets open connections, instead of closing them, when it drops connections', async () => {
    const caller = connect(port, '127.0.0.1');
    await accepted.then(served => served.on('error', () => undefined));
    const failed = once(caller, 'error');
    link.dropConnections();
    const [error] = (await failed) as [NodeJS.ErrnoException];
    expect(error.code).toEqual('ECONNRESET');
  });

  it('forwards a reset behind bytes as a reset', async () => {
    // Guards against a reset that becomes a close, so that a cut answer looks whole.
    const ends: ConnectionEnd[] = [];
    target.on('connection', served => {
      served.on('error', () => undefined);
      served.once('data', () => {
        served.write(Buffer.alloc(20_000, 'a'));
        served.resetAndDestroy();
      });
    });
    for (let i = 0; i < 40; i++) {
      const caller = connect({port, host: '127.0.0.1', allowHalfOpen: true});
      const ended = observeEnd(caller);
      caller.on('error', () => undefined);
      caller.resume();
      caller.write('ask');
      ends.push(await ended);
      caller.destroy();
    }
    expect(ends).toEqual(Array<ConnectionEnd>(40).fill('reset'));
  });

  it('forwards no byte behind bytes that it has dropped', async () => {
    // Guards against streams that lack events in the middle, which TCP does not allow.
    for (const mode of ['silent', 'cut-to-caller'] as const) {
      const connected = once(target, 'connection');
      const caller = connect(port, '127.0.0.1');
      const [served] = (await connected) as [Socket];
      let text = '';
      caller.on('data', bytes => (text += String(bytes)));
      caller.on('error', () => undefined);
      served.on('error', () => undefined);
      served.write('one,');
      await once(caller, 'data');
      link.mode = mode;
      served.write('two,');
      await waitMs(SETTLE_MS);
      link.mode = 'pass';
      served.write('three');
      await waitMs(SETTLE_MS);
      expect(text).toEqual('one,');
      link.dropConnections();
    }
  });

  it('keeps the order of bytes when a delay ends', async () => {
    // Guards against events of a stream that change places, which TCP does not allow.
    const caller = connect(port, '127.0.0.1');
    const served = await accepted;
    let text = '';
    caller.on('data', bytes => (text += String(bytes)));
    link.mode = 'delay';
    served.write('one,');
    await waitMs(SETTLE_MS);
    link.mode = 'pass';
    served.end('two');
    await once(caller, 'end');
    expect(text).toEqual('one,two');
  });

  it('forwards no reset while it is silent, and closes both sockets when stopped', async () => {
    // Guards against sockets to the target that a silent link leaves open after
    // the caller's reset and that keep the process alive.
    const caller = connect(port, '127.0.0.1');
    const served = await accepted;
    served.on('error', () => undefined);
    link.mode = 'silent';
    caller.resetAndDestroy();
    await once(caller, 'close');
    await new Promise(resolve => setTimeout(resolve, 50));
    expect(served.destroyed).toEqual(false);
    const ended = new Promise(resolve => served.once('close', resolve));
    link.stop();
    await ended;
  });
});
