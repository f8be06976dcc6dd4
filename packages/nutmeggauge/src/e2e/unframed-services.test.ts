import {afterEach, beforeEach, describe, it} from 'node:test';
import {EngineOrders} from '@nutmeggauge/agent';
import {
  createConfigWatcher,
  createCounters,
  resolveConfigRecord,
} from '@nutmeggauge/core';
import {createMembership} from '@nutmeggauge/gate';
import {expect} from 'earl';
import {waitUntil} from '../test/stack.js';
import {UnframedServer, buildUnframed} from '../test/unframed-server.js';
import type {UnframedAnswer} from '../test/unframed-server.js';

const RECORD = {
  version: 7,
  schemaVersion: 1,
  accounts: [],
  pools: [
    {
      id: 'chat',
      kind: 'engine',
      targets: [
        {id: 'e', agent: '127.0.0.1:9', zone: 'z', desired: {model: 'm1'}},
      ],
    },
  ],
  rules: [],
};

const STATE = '{"setting":{"model":"m0"},"highestFence":12}';
const HOSTS = '{"hosts":[{"id":"e","state":"leaving"}]}';

/** Lists answers of which none is the whole `body` alone. */
function listBroken(body: string): UnframedAnswer[] {
  const cuts = Array.from({length: body.length}, (_, i) =>
    buildUnframed(body.slice(0, i)),
  );
  const second = buildUnframed(body, ['X-Id: 2']);
  return [
    ...cuts.map(cut => ({parts: [cut], end: 'FIN' as const})),
    ...cuts.map(cut => ({parts: [cut], end: 'RST' as const})),
    ...cuts.map(cut => ({parts: [cut + second], end: 'FIN' as const})),
    {parts: [buildUnframed(body) + second], end: 'FIN'},
    {parts: [buildUnframed(body), second], end: 'FIN'},
    {parts: [cuts[body.length - 1], second], end: 'FIN'},
  ];
}

describe('answer without a length that is cut or followed by another', () => {
  let server: UnframedServer;
  let url: string;
  beforeEach(async () => {
    server = new UnframedServer();
    url = `http://127.0.0.1:${await server.start()}`;
  });
  afterEach(() => server.stop());

  it('is not accepted as a configuration', async () => {
    // Guards against a part of a record, or two records, that are taken for one.
    const body = JSON.stringify(RECORD);
    const counters = createCounters();
    const watcher = createConfigWatcher({url, counters});
    for (const answer of listBroken(body)) {
      server.answer = answer;
      expect(await watcher.confirmNewest()).toEqual(false);
    }
    server.answer = {parts: [buildUnframed(body)], end: 'FIN'};
    expect(await watcher.confirmNewest()).toEqual(true);
    expect(watcher.version).toEqual(RECORD.version);
  });

  it('leads to no order to an engine', async () => {
    // Guards against orders that rest on a part of an engine's state.
    const orders = new EngineOrders({
      engineUrl: url,
      targetId: 'e',
      source: {
        current: resolveConfigRecord({...RECORD, version: 20}),
        confirmNewest: () => Promise.resolve(true),
      },
      counters: createCounters(),
    });
    const countOrders = () =>
      server.requests.filter(line => line.startsWith('POST')).length;
    for (const answer of listBroken(STATE)) {
      server.answer = answer;
      await orders.runReconciliation();
    }
    expect(countOrders()).toEqual(0);
    server.answer = {parts: [buildUnframed(STATE)], end: 'FIN'};
    await orders.runReconciliation();
    expect(countOrders()).toEqual(1);
  });

  it('changes no leaving state by a host list', async () => {
    // Guards against a part of a host list that is taken for a shorter one.
    const counters = createCounters();
    const membership = createMembership({
      gateId: 'g',
      counters,
      heartbeatStaleMs: 1000,
      readRecord: () => undefined,
      listCrashes: () => [],
      onCrashes: () => undefined,
      hostListUrl: url,
      hostListPollMs: 1,
    });
    const readCount = (name: string) => counters.read()[name] ?? 0;
    const isLeaving = () => membership.listStarted()[0].leavingByHostList;
    membership.apply(resolveConfigRecord(RECORD));
    membership.start();
    try {
      for (const answer of listBroken(HOSTS)) {
        server.answer = answer;
        const started = readCount('hostlist.reads');
        await waitUntil(() => readCount('hostlist.read_failed') > started);
        expect(isLeaving()).toEqual(false);
      }
      server.answer = {parts: [buildUnframed(HOSTS)], end: 'FIN'};
      await waitUntil(isLeaving);
    } finally {
      membership.stop();
    }
  });
});
