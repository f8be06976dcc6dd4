import {createServer} from 'node:net';
import {describe, it} from 'node:test';
import {
  TargetUnreachableError,
  createCounters,
  createRpcLink,
  freezeProcess,
  openListener,
  waitMs,
} from '@nutmeggauge/core';
import {expect} from 'earl';
import {AgentConnection} from './agent-connection.js';
import type {RpcLink} from '@nutmeggauge/core';

/** Timeout for an agent's ack, and a longer suspension of the gate, in ms. */
const ACK_TIMEOUT_MS = 200;
const SUSPENSION_MS = 500;

const LOAD = {
  draining: false,
  queued: 0,
  inFlight: 1,
  pendingByClass: [0, 0, 0, 0],
  pendingDecodeTokens: 12,
};

describe('AgentConnection', () => {
  it('ignores and counts load reports with a missing or invalid field', async () => {
    // Guards against a gate crash on a load report with a missing field.
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
      listCrashes: () => [],
      onCrashes: () => undefined,
    });
    connection.start();
    const waitUntil = async (check: () => boolean) => {
      const timeoutAt = Date.now() + 5000;
      while (!check()) {
        if (Date.now() > timeoutAt)
          throw new Error('condition not met within 5 s');
        await waitMs(5);
      }
    };
    try {
      await waitUntil(() => links.length > 0);
      const malformedReports = [
        {},
        {...LOAD, pendingByClass: undefined},
        {...LOAD, pendingByClass: [0]},
        {...LOAD, queued: null},
        {...LOAD, pendingDecodeTokens: 'many'},
      ];
      for (const report of malformedReports) links[0].notify('load', report);
      await waitUntil(
        () =>
          counters.read()['rpc.in.load.messages'] === malformedReports.length,
      );
      expect(connection.isUsable).toEqual(false);
      expect(connection.load).toEqual(undefined);
      expect(counters.read()['membership.reports_malformed']).toEqual(
        malformedReports.length,
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

  it('accepts an ack that arrived in time when a suspended gate reads it after the timeout', async () => {
    // Guards against an ack timeout that fires when the gate resumes from a
    // suspension, before the gate reads the ack that arrived meanwhile.
    const server = createServer(socket => {
      const link = createRpcLink(socket);
      link.handle('dispatch', params => {
        const {requestId} = params as {requestId: string};
        link.notify('accepted', {requestId});
        freezeProcess(SUSPENSION_MS);
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
      listCrashes: () => [],
      onCrashes: () => undefined,
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
      answerTimeoutMs: 30_000,
      ackTimeoutMs: ACK_TIMEOUT_MS,
      promptTokens: 1,
    };
    const dispatch = () =>
      connection.dispatch(request, () => undefined, bounds);
    try {
      // Retries until the link is open, because dispatch fails until then.
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
