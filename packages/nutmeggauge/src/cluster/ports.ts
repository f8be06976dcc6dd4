/**
 * Free loopback ports for a local cluster, chosen before its processes start
 * so that every settings file can contain the addresses of the other processes.
 */
import {createServer} from 'node:net';
import {ClusterError} from '@nutmeggauge/core';
import type {Server} from 'node:net';

/**
 * Range of the ports to choose from: above the ports of common services and
 * below the ephemeral ports, which the system may assign to outgoing
 * connections before the process starts.
 */
const FIRST_PORT = 10_240;
const LAST_PORT = 32_000;

/** Maximum number of attempts beyond the number of ports to find. */
const MAX_EXTRA_ATTEMPTS = 200;

/**
 * Finds `count` distinct free TCP ports of a loopback host.
 *
 * @throws ClusterError when too few random ports are free.
 * @example
 * const [configPort, gatePort] = await findFreePorts(2);
 */
export async function findFreePorts(
  count: number,
  host = '127.0.0.1',
): Promise<number[]> {
  const servers: Server[] = [];
  const ports: number[] = [];
  // Servers occupy the ports found so far, so that no port is found twice.
  for (let attemptIndex = 0; ports.length < count; attemptIndex++) {
    if (attemptIndex > count + MAX_EXTRA_ATTEMPTS)
      throw new ClusterError({info: {count}}, 'not enough free TCP ports');
    const port =
      FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    const server = createServer();
    if (!(await tryListen(server, host, port))) continue;
    servers.push(server);
    ports.push(port);
  }
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}

/** Listens on `port`; resolves with false if that fails. */
function tryListen(
  server: Server,
  host: string,
  port: number,
): Promise<boolean> {
  return new Promise(resolve => {
    server.on('error', () => resolve(false));
    server.listen(port, host, () => resolve(true));
  });
}
