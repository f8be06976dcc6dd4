import {describe, it} from 'node:test';
import {expect} from 'earl';
import {answerCompletely, openFakeTarget} from '../test/fake-target.js';
import {ConnectionCheck} from './check-server.js';

describe('connection check', () => {
  it('tells a server that listens from one that has ended', async () => {
    const server = await openFakeTarget('e1', 'chat', answerCompletely);
    const target = server.entry;
    const check = new ConnectionCheck();
    expect(await check.check(target)).toEqual('up');
    server.close();
    expect(await check.check(target)).toEqual('ended');
  });
});
