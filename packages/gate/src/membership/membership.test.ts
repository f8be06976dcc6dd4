import {createServer} from 'node:http';
import {describe, it} from 'node:test';
import {
  closeHttpServer,
  createCounters,
  openListener,
  resolveConfigRecord,
  waitMs,
} from '@nutmeggauge/core';
import {expect} from 'earl';
import {createMembership} from './membership.js';

const RECORD = resolveConfigRecord({
  version: 1,
  schemaVersion: 1,
  accounts: [],
  pools: [
    {
      id: 'chat',
      kind: 'engine',
      targets: [{id: 'e1', agent: '127.0.0.1:9', zone: 'z'}],
    },
  ],
});

describe('the host list', () => {
  it('changes nothing when it fails with an answer', async () => {
    // Guards against an error answer that reads as an empty host list.
    const leaving = {hosts: [{id: 'e1', state: 'leaving'}]};
    const bad: ReadonlyArray<readonly [number, unknown]> = [
      [503, {error: 'down'}],
      [200, {error: 'down'}],
      [200, {hosts: [{id: 'e1'}]}],
      [200, null],
    ];
    let answers: ReadonlyArray<readonly [number, unknown]> = [[200, leaving]];
    let asked = 0;
    const server = createServer((_req, res) => {
      const [status, body] = answers[asked % answers.length];
      asked++;
      res.writeHead(status);
      res.end(JSON.stringify(body));
    });
    const port = await openListener(server, {host: '127.0.0.1', port: 0});
    const counters = createCounters();
    const membership = createMembership({
      gateId: 'g',
      counters,
      heartbeatStaleMs: 1000,
      readRecord: () => RECORD,
      hostListUrl: `http://127.0.0.1:${port}`,
      hostListPollMs: 10,
    });
    const waitUntil = async (check: () => boolean) => {
      const giveUpAt = Date.now() + 5000;
      while (!check()) {
        if (Date.now() > giveUpAt) throw new Error('condition not reached');
        await waitMs(5);
      }
    };
    const isLeaving = () => membership.listAll()[0].leavingByHostList;
    try {
      membership.apply(RECORD);
      membership.start();
      await waitUntil(isLeaving);
      asked = 0;
      answers = bad;
      const seen = new Set<boolean>();
      await waitUntil(() => {
        seen.add(isLeaving());
        return asked > 3 * bad.length;
      });
      expect([...seen]).toEqual([true]);
      expect((counters.read()['hostlist.read_failed'] ?? 0) > 0).toEqual(true);
    } finally {
      membership.stop();
      await closeHttpServer(server);
    }
  });
});
