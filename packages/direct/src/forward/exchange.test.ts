import {Readable} from 'node:stream';
import {text} from 'node:stream/consumers';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  buildSignedHead,
  formatEvents,
  openFakeTarget,
} from '../test/fake-target.js';
import {openExchange} from './exchange.js';
import type {ExchangeError} from '../errors.js';

describe('exchange', () => {
  it('that this gate cancels within a body is not taken for one that its target broke off', async () => {
    // Guards against a server that is checked for a crash, or suspended, because
    // another attempt was faster.
    const server = await openFakeTarget('e1', 'chat', (req, res) => {
      res.writeHead(200, buildSignedHead(req));
      res.write(formatEvents(1, 1));
    });
    try {
      const exchange = openExchange({
        target: server.entry,
        method: 'GET',
        path: '/',
        buildHeaders: () => ['host', 'site', 'x-test-id', 'q1'],
        body: {bytes: Buffer.alloc(0), framing: 'none'},
      });
      const head = await exchange.head;
      const read = text(Readable.from(exchange.readBody(head)));
      exchange.cancel();
      const error = await read.catch((reason: ExchangeError) => reason);
      expect((error as ExchangeError).fault).toEqual('cancelled');
      expect((error as ExchangeError).isConnectionEnd).toEqual(false);
    } finally {
      server.close();
    }
  });
});
