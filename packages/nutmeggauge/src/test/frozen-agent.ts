/**
 * A fake agent for tests: it accepts a gate's link, sends heartbeats, and
 * never answers `dispatch`, as an agent that froze mid-request.
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
    const beat = () =>
      link.notify(RpcMethod.load, {
        draining: false,
        queued: 0,
        inFlight: 0,
        pendingByClass: [0, 0, 0, 0],
        pendingDecodeTokens: 0,
      });
    beat();
    const timer = setInterval(beat, 100);
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
