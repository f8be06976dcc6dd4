import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {request} from 'undici';
import {GateSettingsSchema} from '@nutmeggauge/gate';
import {
  TEST_AUTH,
  postJson,
  readAdmin,
  startStack,
  stripVersion,
  waitUntil,
} from '../test/stack.js';
import type {Stack} from '../test/stack.js';

describe('administration API of a gate', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1});
  });
  after(async () => {
    await stack.close();
  });

  const adminUrl = () => `http://127.0.0.1:${stack.gate.adminPort}`;

  it('lists the numbers of requests in flight, admitted and refused for each account', async () => {
    const body = {model: 'chat', prompt: 'x', max_tokens: 1};
    await postJson(`${stack.gateUrl}/v1/completions`, body, TEST_AUTH);
    const {accounts} = await readAdmin<{accounts: object[]}>(
      stack.gate,
      'accounts',
    );
    expect(accounts).toEqual([
      {id: 'acct-a', inFlight: 0, admitted: 1, refused: 0},
    ]);
  });

  it('reports whether a configuration record is valid, and the reason if it is not', async () => {
    const validRecord = stack.record;
    const invalidRecord = {
      ...validRecord,
      rules: [{pool: 'ordres', notRepeatable: true}],
    };
    const check = (record: object) =>
      postJson(`${adminUrl()}/v1/record/check`, record);
    expect((await check(validRecord)).body.ok).toEqual(true);
    expect((await check(invalidRecord)).body).toEqual({
      ok: false,
      reason: '(root): rules: no pool ordres',
    });
  });

  it('serves the metrics in the Prometheus text format', async () => {
    const response = await request(`${adminUrl()}/metrics`);
    const text = await response.body.text();
    expect(text).toInclude('nutmeggauge_api_requests_total');
    expect(text).toInclude('nutmeggauge_ttft_ms{quantile="0.95"}');
  });

  it('does not expose targets or metrics on the port for callers', async () => {
    const health = await request(`${stack.gateUrl}/healthz`);
    expect(Object.keys((await health.body.json()) as object)).toEqual([
      'id',
      'draining',
      'configVersion',
    ]);
    const metrics = await request(`${stack.gateUrl}/metrics`);
    expect(metrics.statusCode).toEqual(405);
  });

  it('rejects settings without a token when the listen address is not loopback', () => {
    const settings = {
      id: 'g',
      zone: 'az-1',
      listen: {port: 0},
      configService: {url: 'http://127.0.0.1:1'},
    };
    const isValid = (host: string) => {
      const admin = {listen: {host, port: 0}};
      return GateSettingsSchema.safeParse({...settings, admin}).success;
    };
    expect(isValid('10.0.0.1')).toEqual(false);
    expect(isValid('127.example.org')).toEqual(false);
    expect(isValid('127.0.56.60')).toEqual(true);
  });
});

describe('gate that reads configuration records of two schema versions', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1});
  });
  after(async () => {
    await stack.close();
  });

  it('applies the newest record whose schema version it supports', async () => {
    // Guards against a gate that misses the newest record of its own schema
    // version when records of a later schema version are published around it.
    const {config, gate} = stack;
    const nextRecord = stripVersion(stack.record);
    config.publish({...nextRecord, schemaVersion: 2});
    const version = config.publish(nextRecord);
    config.publish({...nextRecord, schemaVersion: 2});
    await waitUntil(async () => {
      const {record} = await readAdmin<{record: {version: number}}>(
        gate,
        'status',
      );
      return record.version === version;
    });
  });
});
