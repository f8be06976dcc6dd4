import {createServer, request} from 'node:http';
import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {closeHttpServer, openListener} from '@nutmeggauge/core';
import {expect} from 'earl';
import {observeConnections, observeRequest} from './request-log.js';
import type {Server} from 'node:http';
import type {LogFields, Logger} from '@nutmeggauge/core';

describe('the log events of a caller request', () => {
  const events: string[] = [];
  /** Fields of each `request_ended` event. */
  const requestEndedFields: LogFields[] = [];
  const doNothing = () => undefined;
  const log: Logger = {
    info: (event, fields = {}) => {
      events.push(event);
      if (event === 'request_ended') requestEndedFields.push(fields);
    },
    warn: doNothing,
    error: doNothing,
    debug: doNothing,
  };
  let server: Server;
  let port: number;

  before(async () => {
    server = createServer((req, res) => {
      observeRequest(log, 'r-1', req, res);
      req.on('error', doNothing);
      req.resume().once('end', () => res.writeHead(503).end('later'));
    });
    observeConnections(log, server);
    port = await openListener(server, {host: '127.0.0.1', port: 0});
  });

  after(() => closeHttpServer(server));

  async function waitForRequestEnded(): Promise<LogFields> {
    while (requestEndedFields.length === 0)
      await new Promise(resolve => setTimeout(resolve, 5));
    return requestEndedFields.splice(0)[0];
  }

  it('are logged for connection, arrival, body, answer and disconnection in this order', async () => {
    // Guards against a lost request whose progress no log event shows.
    request({port, method: 'POST', headers: {connection: 'close'}})
      .end('whole')
      .once('response', res => res.resume());
    await waitForRequestEnded();
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

  it('include the status of the answer in request_ended', async () => {
    request({port, method: 'POST', agent: false})
      .end('whole')
      .once('response', res => res.resume());
    const {status, isAnswered, isRead} = await waitForRequestEnded();
    expect({status, isAnswered, isRead}).toEqual({
      status: 503,
      isAnswered: true,
      isRead: true,
    });
  });

  it('mark an aborted body in request_ended with isRead false and no status', async () => {
    // Guards against a request that ends without a log event because its caller
    // disconnects while sending the body.
    const socket = connect(port, '127.0.0.1', () =>
      socket.write(
        'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf',
      ),
    );
    server.once('request', () => socket.resetAndDestroy());
    const {status, isAnswered, isRead} = await waitForRequestEnded();
    expect({status, isAnswered, isRead}).toEqual({
      status: undefined,
      isAnswered: false,
      isRead: false,
    });
  });
});
