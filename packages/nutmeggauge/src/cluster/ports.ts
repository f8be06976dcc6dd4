/**
 * Free loopback ports for a local cluster, picked before the processes
 * start so that every settings file can name its peers.
 */
import {createServer} from 'node:net';

/**
 * Finds `count` distinct free TCP ports on 127.0.0.1.
 *
 * @example
 * const [configPort, gatePort] = await findFreePorts(2);
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({length: count}, () => {
      const server = createServer();
      return new Promise<ReturnType<typeof createServer>>(resolve =>
        server.listen(0, '127.0.0.1', () => resolve(server)),
      );
    }),
  );
  const ports = servers.map(server => {
    const address = server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  });
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}
