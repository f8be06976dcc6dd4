import {createServer} from 'node:net';
import {describe, it} from 'node:test';
import {
  TargetUnreachableError,
  createCounters,
  createRpcLink,
  openListener,
  waitMs,
} from '@nutmeggauge/core';
import {expect} from 'earl';
import {AgentConnection} from './agent-connection.js';
import type {RpcLink} from '@nutmeggauge/core';

/** Timeout of an agent's receipt, and a longer suspension, in ms. */
const ACCEPT_MS = 200;
const FROZEN_MS = 500;

const LOAD = {
  draining: false,
  queued: 0,
  inFlight: 1,
  pendingByClass: [0, 0, 0, 0],
  pendingDecodeTokens: 12,
};

describe('the connection to an agent', () => {
  it('takes no report that has no figures', async () => {
    // Guards against a load report without a figure, which ended the gate.
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

  it('takes no agent for silent whose receipt waits to be read', async () => {
    // Guards against a receipt that arrived in time during a suspension of the
    // gate.
    const server = createServer(socket => {
      const link = createRpcLink(socket);
      link.handle('dispatch', params => {
        const {requestId} = params as {requestId: string};
        link.notify('accepted', {requestId});
        // Blocks like a stopped process: no reads, no timers.
        const lock = new Int32Array(new SharedArrayBuffer(4));
        Atomics.wait(lock, 0, 0, FROZEN_MS);
        return {status: 'not-run', reason: 'test'};
      });
    });
    const port = await openListener(server, {host: '127.0.0.1', port: 0});
    const connection = new AgentConnection({
      target: {id: 't', agent: `127.0.0.1:${port}`, zone: 'z'},
      pool: 'chat',
      counters: createCounters(),
      heartbeatStaleMs: 60_000,
      readRecord: () => undefined,
    });
    connection.start();
    const request = {
      requestId: 'r',
      account: 'a',
      pool: 'chat',
      kind: 'generate',
      deadlineAt: Date.now() + 30_000,
      recordVersion: 1,
      notRepeatable: false,
      keyed: false,
      attempt: 1,
    } as const;
    const bounds = {
      answerMs: 30_000,
      acceptMs: ACCEPT_MS,
      promptTokens: 1,
    };
    const dispatch = () =>
      connection.dispatch(request, () => undefined, bounds);
    try {
      // Waits for the link before anything is sent.
      for (let isOpen = false; !isOpen; await waitMs(5))
        isOpen = await dispatch().then(
          outcome => {
            expect(outcome).toEqual({status: 'not-run', reason: 'test'});
            return true;
          },
          error => {
            if (error instanceof TargetUnreachableError) return false;
            throw error;
          },
        );
    } finally {
      connection.stop();
      server.close();
    }
  });
});
