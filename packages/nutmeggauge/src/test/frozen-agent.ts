/**
 * A fake agent for tests that accepts a gate's connection and sends heartbeats
 * but never answers `dispatch`, like an agent that freezes during a request.
 */
import {createServer} from 'node:net';
import {RpcMethod, createRpcLink, openListener} from '@nutmeggauge/core';
import type {RpcLink} from '@nutmeggauge/core';

export async function startFrozenAgent(): Promise<{
  port: number;
  dispatches: () => number;
  close: () => void;
}> {
  let dispatches = 0;
  const links = new Set<RpcLink>();
  const server = createServer(socket => {
    const link = createRpcLink(socket);
    links.add(link);
    link.handle(RpcMethod.dispatch, () => {
      dispatches++;
      return new Promise(() => {});
    });
    const sendHeartbeat = () =>
      link.notify(RpcMethod.load, {
        draining: false,
        queued: 0,
        inFlight: 0,
        pendingByClass: [0, 0, 0, 0],
        pendingDecodeTokens: 0,
      });
    sendHeartbeat();
    const timer = setInterval(sendHeartbeat, 100);
    link.onClose(() => clearInterval(timer));
  });
  const port = await openListener(server, {host: '127.0.0.1', port: 0});
  return {
    port,
    dispatches: () => dispatches,
    close: () => {
      server.close();
      for (const link of links) link.close();
    },
  };
}
