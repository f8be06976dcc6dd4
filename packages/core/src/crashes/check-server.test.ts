import {createServer} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {openListener} from '../listen.js';
import {ConnectionCheck} from './check-server.js';

describe('connection check', () => {
  it('tells a server that listens from one that has ended', async () => {
    const host = '127.0.0.1';
    const server = createServer();
    const port = await openListener(server, {host, port: 0});
    const check = new ConnectionCheck();
    expect(await check.check({host, port})).toEqual('up');
    server.close();
    expect(await check.check({host, port})).toEqual('ended');
  });
});
