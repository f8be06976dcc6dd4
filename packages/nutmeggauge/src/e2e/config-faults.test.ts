import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {request} from 'undici';
import {
  TEST_KEY,
  postJson,
  startStack,
  stripVersion,
  waitUntil,
} from '../test/stack.js';

import type {Stack} from '../test/stack.js';

const auth = {authorization: `Bearer ${TEST_KEY}`};
const readVersion = async (stack: Stack) =>
  (
    (await (await request(`${stack.gateUrl}/healthz`)).body.json()) as {
      configVersion: number;
    }
  ).configVersion;

describe('configuration service outages', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1});
  });
  after(async () => {
    await stack.close();
  });

  it('keeps serving on the last good record while the service is down', async () => {
    // The configuration service goes down for a long stretch. Gates keep
    // the record they accepted in memory and go on admitting requests.
    stack.config.setMode('down');
    const res = await postJson(
      `${stack.gateUrl}/v1/completions`,
      {model: 'chat', prompt: 'x', max_tokens: 2},
      auth,
    );
    stack.config.setMode('up');
    expect(res.status).toEqual(200);
  });

  it('never reverts to the older record a stale replica serves', async () => {
    // An operator adds a key (record v2); then a lagging replica serves v1
    // for a long stretch. The gate must keep v2: the new key keeps working.
    const base = stripVersion(stack.record);
    const accounts = [
      ...(base.accounts as object[]),
      {id: 'acct-new', keys: ['new-key-0003'], pools: ['chat']},
    ];
    const v2 = stack.config.publish({...base, accounts});
    await waitUntil(async () => (await readVersion(stack)) === v2);
    stack.config.setMode('stale');
    await waitUntil(() => stack.config.calls() > 3);
    const res = await postJson(
      `${stack.gateUrl}/v1/completions`,
      {model: 'chat', prompt: 'x', max_tokens: 2},
      {authorization: 'Bearer new-key-0003'},
    );
    stack.config.setMode('up');
    expect(await readVersion(stack)).toEqual(v2);
    expect(res.status).toEqual(200);
  });
});
