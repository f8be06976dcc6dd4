/**
 * A fake agent for tests: it accepts a gate's link, sends heartbeats, and
 * never answers `dispatch`, as an agent that froze mid-request.
 */
import {createServer} from 'node:net';
import {RpcMethod, createRpcLink} from '@nutmeggauge/core';
import type {Server} from 'node:net';

export async function startFrozenAgent(): Promise<{
  server: Server;
  port: number;
  dispatches: () => number;
}> {
  let dispatches = 0;
  const server = createServer(socket => {
    const link = createRpcLink(socket);
    link.handle(RpcMethod.dispatch, () => {
      dispatches++;
      return new Promise(() => {});
    });
    const beat = () =>
      link.notify(RpcMethod.load, {
        agentId: 'frozen',
        zone: 'az-1',
        draining: false,
        queued: 0,
        inFlight: 0,
        pendingPrefillTokens: 0,
        pendingDecodeTokens: 0,
        sentAt: Date.now(),
      });
    beat();
    const timer = setInterval(beat, 100);
    link.onClose(() => clearInterval(timer));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    server,
    port: (server.address() as {port: number}).port,
    dispatches: () => dispatches,
  };
}
