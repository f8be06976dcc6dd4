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

describe('Membership with a host list', () => {
  it('keeps the last leaving state when the host list answers with an error or an invalid body', async () => {
    // Guards against reading an error answer as an empty host list, which would
    // clear the leaving state of every host.
    const leaving = {hosts: [{id: 'e1', state: 'leaving'}]};
    const invalidAnswers: ReadonlyArray<readonly [number, unknown]> = [
      [503, {error: 'down'}],
      [200, {error: 'down'}],
      [200, {hosts: [{id: 'e1'}]}],
      [200, null],
    ];
    let answers: ReadonlyArray<readonly [number, unknown]> = [[200, leaving]];
    let requestCount = 0;
    const server = createServer((_req, res) => {
      const [status, body] = answers[requestCount % answers.length];
      requestCount++;
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
      listCrashes: () => [],
      onCrashes: () => undefined,
      hostListUrl: `http://127.0.0.1:${port}`,
      hostListPollMs: 10,
    });
    const waitUntil = async (check: () => boolean) => {
      const timeoutAt = Date.now() + 5000;
      while (!check()) {
        if (Date.now() > timeoutAt)
          throw new Error('condition not met within 5 s');
        await waitMs(5);
      }
    };
    const isLeaving = () => membership.listStarted()[0].leavingByHostList;
    try {
      membership.apply(RECORD);
      membership.start();
      await waitUntil(isLeaving);
      requestCount = 0;
      answers = invalidAnswers;
      const observedStates = new Set<boolean>();
      await waitUntil(() => {
        observedStates.add(isLeaving());
        return requestCount > 3 * invalidAnswers.length;
      });
      expect([...observedStates]).toEqual([true]);
      expect((counters.read()['hostlist.read_failed'] ?? 0) > 0).toEqual(true);
    } finally {
      membership.stop();
      await closeHttpServer(server);
    }
  });
});
