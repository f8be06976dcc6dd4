import {createServer, request} from 'node:http';
import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {closeHttpServer, openListener} from '@nutmeggauge/core';
import {expect} from 'earl';
import {observeConnections, observeRequest} from './request-log.js';
import type {Server} from 'node:http';
import type {LogFields, Logger} from '@nutmeggauge/core';

describe('the lines of a request', () => {
  const events: string[] = [];
  /** Fields of the lines `request_ended`. */
  const lines: LogFields[] = [];
  const drop = () => undefined;
  const log: Logger = {
    info: (event, fields = {}) => {
      events.push(event);
      if (event === 'request_ended') lines.push(fields);
    },
    warn: drop,
    error: drop,
    debug: drop,
  };
  let server: Server;
  let port: number;

  before(async () => {
    server = createServer((req, res) => {
      observeRequest(log, 'r-1', req, res);
      req.on('error', drop);
      req.resume().once('end', () => res.writeHead(503).end('later'));
    });
    observeConnections(log, server);
    port = await openListener(server, {host: '127.0.0.1', port: 0});
  });

  after(() => closeHttpServer(server));

  async function waitForLine(): Promise<LogFields> {
    while (lines.length === 0)
      await new Promise(resolve => setTimeout(resolve, 5));
    return lines.splice(0)[0];
  }

  it('follow it from its connection to its answer', async () => {
    // Guards against a lost request of which no log says how far it came.
    request({port, method: 'POST', headers: {connection: 'close'}})
      .end('whole')
      .once('response', res => res.resume());
    await waitForLine();
    while (!events.includes('connection_closed'))
      await new Promise(resolve => setTimeout(resolve, 5));
    expect(events.splice(0)).toEqual([
      'connection_opened',
      'request_arrived',
      'request_read',
      'request_ended',
      'connection_closed',
    ]);
  });

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
