import {describe, it} from 'node:test';
import {expect} from 'earl';
import {buildPosition} from '../test/build-target.js';
import {openFakeTarget} from '../test/fake-target.js';
import {OpenExchanges} from './open-exchanges.js';
import type {Target} from '../types.js';

/** Opens an exchange with a target that never responds. */
async function openUnanswered(exchanges: OpenExchanges, revision: number) {
  let arrive = () => undefined as void;
  const arrived = new Promise<void>(resolve => (arrive = resolve));
  const server = await openFakeTarget('e1', 'chat', () => arrive());
  const target: Target = {...server.entry, position: buildPosition(revision)};
  const exchange = exchanges.open({
    target,
    method: 'GET',
    path: '/',
    buildHeaders: () => ['host', 'site', 'x-test-id', 'q1'],
    body: {bytes: Buffer.alloc(0), framing: 'none'},
  });
  let fault: string | undefined;
  const ended = exchange.head.catch((error: {fault: string}) => {
    fault = error.fault;
  });
  await arrived;
  const readFault = async () => {
    await new Promise(resolve => setTimeout(resolve, 20));
    return fault;
  };
  return {target, server, exchange, ended, readFault};
}

describe('open exchanges', () => {
  it('fail with a reset when a new server takes over the address of their target', async () => {
    // Guards against waiting for a server that lost power and was replaced at
    // its address.
    const exchanges = new OpenExchanges();
    const {target, server, ended, readFault} = await openUnanswered(
      exchanges,
      5,
    );
    exchanges.endReplaced({
      ...target,
      id: 'e9',
      name: 'e9',
      position: buildPosition(8),
    });
    await ended;
    expect(await readFault()).toEqual('reset');
    server.close();
  });

  it('continue after an update of an older entry, another address or the same target', async () => {
    const exchanges = new OpenExchanges();
    const {target, server, exchange, readFault} = await openUnanswered(
      exchanges,
      5,
    );
    exchanges.endReplaced({
      ...target,
      id: 'e0',
      name: 'e0',
      position: buildPosition(4),
    });
    exchanges.endReplaced({
      ...target,
      id: 'e9',
      host: '127.0.0.9',
      position: buildPosition(8),
    });
    exchanges.endReplaced({...target, position: buildPosition(8)});
    // The same name with a start that was not known before.
    exchanges.endReplaced({
      ...target,
      id: 'e1@7',
      bornAt: 7,
      position: buildPosition(9),
    });
    expect(await readFault()).toEqual(undefined);
    exchange.cancel();
    server.close();
  });
});
