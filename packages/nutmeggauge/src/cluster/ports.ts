/**
 * Free loopback ports for a local cluster, picked before the processes
 * start so that every settings file can name its peers.
 */
import {createServer} from 'node:net';
import {ClusterError} from '@nutmeggauge/core';
import type {Server} from 'node:net';

/**
 * Ports to choose from: above well-known services and below ephemeral ports,
 * which may be taken before their process starts.
 */
const FIRST_PORT = 10_240;
const LAST_PORT = 32_000;

/** Most draws before the search fails. */
const MAX_DRAWS = 200;

/**
 * Finds `count` distinct free TCP ports of a loopback host.
 *
 * @example
 * const [configPort, gatePort] = await findFreePorts(2);
 */
export async function findFreePorts(
  count: number,
  host = '127.0.0.1',
): Promise<number[]> {
  const servers: Server[] = [];
  const ports: number[] = [];
  // Held until all are found, so that no port is found twice.
  for (let draw = 0; ports.length < count; draw++) {
    if (draw > count + MAX_DRAWS)
      throw new ClusterError({info: {count}}, 'no free ports');
    const port =
      FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    const server = createServer();
    if (!(await isFree(server, host, port))) continue;
    servers.push(server);
    ports.push(port);
  }
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}

/** Listens on `port` if nobody else does. */
function isFree(server: Server, host: string, port: number): Promise<boolean> {
  return new Promise(resolve => {
    server.on('error', () => resolve(false));
    server.listen(port, host, () => resolve(true));
  });
}
