import {createServer} from 'node:net';
import {describe, it} from 'node:test';
import {
  createCounters,
  createRpcLink,
  openListener,
  waitMs,
} from '@nutmeggauge/core';
import {expect} from 'earl';
import {AgentConnection} from './agent-connection.js';
import type {RpcLink} from '@nutmeggauge/core';

const LOAD = {
  draining: false,
  queued: 0,
  inFlight: 1,
  pendingByClass: [0, 0, 0, 0],
  pendingDecodeTokens: 12,
};

describe('the connection to an agent', () => {
  it('takes no report that has no figures', async () => {
    // An agent of another version leaves a figure out of its load. The choice
    // among targets failed on it for every request, which ended the gate.
    const links: RpcLink[] = [];
    const server = createServer(socket => links.push(createRpcLink(socket)));
    const port = await openListener(server, {host: '127.0.0.1', port: 0});
    const counters = createCounters();
    const connection = new AgentConnection({
      target: {id: 't', agent: `127.0.0.1:${port}`, zone: 'z'},
      pool: 'chat',
      counters,
      heartbeatStaleMs: 60_000,
      readRecord: () => undefined,
    });
    connection.start();
    const waitUntil = async (check: () => boolean) => {
      const giveUpAt = Date.now() + 5000;
      while (!check()) {
        if (Date.now() > giveUpAt) throw new Error('condition not reached');
        await waitMs(5);
      }
    };
    try {
      await waitUntil(() => links.length > 0);
      const bad = [
        {},
        {...LOAD, pendingByClass: undefined},
        {...LOAD, pendingByClass: [0]},
        {...LOAD, queued: null},
        {...LOAD, pendingDecodeTokens: 'many'},
      ];
      for (const report of bad) links[0].notify('load', report);
      await waitUntil(
        () => counters.read()['rpc.in.load.messages'] === bad.length,
      );
      expect(connection.isUsable).toEqual(false);
      expect(connection.load).toEqual(undefined);
      expect(counters.read()['membership.reports_malformed']).toEqual(
        bad.length,
      );
      links[0].notify('load', LOAD);
      await waitUntil(() => connection.isUsable);
      expect(connection.load).toEqual(LOAD);
    } finally {
      connection.stop();
      for (const link of links) link.close();
      server.close();
    }
  });
});
