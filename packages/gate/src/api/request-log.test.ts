import {createServer, request} from 'node:http';
import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {closeHttpServer, openListener} from '@nutmeggauge/core';
import {expect} from 'earl';
import {observeEnd} from './request-log.js';
import type {Server} from 'node:http';
import type {LogFields, Logger} from '@nutmeggauge/core';

describe('the line of a request', () => {
  const lines: LogFields[] = [];
  const drop = () => undefined;
  const log: Logger = {
    info: (_event, fields = {}) => void lines.push(fields),
    warn: drop,
    error: drop,
    debug: drop,
  };
  let server: Server;
  let port: number;

  before(async () => {
    server = createServer((req, res) => {
      observeEnd(log, 'r-1', req, res);
      req.on('error', drop);
      req.resume().once('end', () => res.writeHead(503).end('later'));
    });
    port = await openListener(server, {host: '127.0.0.1', port: 0});
  });

  after(() => closeHttpServer(server));

  async function waitForLine(): Promise<LogFields> {
    while (lines.length === 0)
      await new Promise(resolve => setTimeout(resolve, 5));
    return lines.splice(0)[0];
  }

  it('says what its caller was answered', async () => {
    request({port, method: 'POST', agent: false})
      .end('whole')
      .once('response', res => res.resume());
    const {status, isAnswered, isRead} = await waitForLine();
    expect({status, isAnswered, isRead}).toEqual({
      status: 503,
      isAnswered: true,
      isRead: true,
    });
  });

  it('tells a body that broke off from one that was not answered', async () => {
    // Guards against a request whose end no log shows.
    const socket = connect(port, '127.0.0.1', () =>
      socket.write(
        'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf',
      ),
    );
    server.once('request', () => socket.resetAndDestroy());
    const {status, isAnswered, isRead} = await waitForLine();
    expect({status, isAnswered, isRead}).toEqual({
      status: undefined,
      isAnswered: false,
      isRead: false,
    });
  });
});
