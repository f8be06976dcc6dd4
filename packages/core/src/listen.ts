/**
 * Opening and closing of listeners, the same for HTTP and json-rpc servers.
 */
import type {Server as HttpServer} from 'node:http';
import type {Server} from 'node:net';

/** Where a process listens. */
export interface ListenAddress {
  readonly host: string;
  /** 0 lets the system pick a free port. */
  readonly port: number;
}

/**
 * Listens and resolves with the bound port.
 *
 * @throws The system's error (EADDRINUSE, EACCES) when the address is taken.
 * @example
 * const port = await openListener(server, {host: '127.0.0.1', port: 0});
 */
export function openListener(
  server: Server,
  address: ListenAddress,
): Promise<number> {
  return new Promise((resolve, reject) => {
    // Stays registered: an open listener raises an error for each connection
    // that it cannot accept.
    server.on('error', reject);
    server.listen(address.port, address.host, () => resolve(readPort(server)));
  });
}

/**
 * Reads the port a server is bound to; 0 while it does not listen.
 *
 * @example
 * readPort(server); // 8080
 */
export function readPort(server: Server | undefined): number {
  const address = server?.address();
  return typeof address === 'object' && address !== null ? address.port : 0;
}

/**
 * Rounds of the event loop without a new connection after which all that has
 * arrived is read: the first may have begun, the last reads the requests of the
 * connection before. Node accepts one connection a round.
 */
const QUIET_ROUNDS = 3;

/** Longest wait for reading, in ms: callers may go on connecting. */
const READING_LIMIT_MS = 1000;

/**
 * Waits until all that has arrived at a server is read, connections that wait
 * to be accepted included: a resumed process runs its timers and signal
 * handlers before it reads.
 *
 * @example
 * await waitForReading(server);
 * server.close();
 */
export async function waitForReading(server: Server): Promise<void> {
  const giveUpAt = performance.now() + READING_LIMIT_MS;
  let quietRounds = 0;
  const markBusy = () => (quietRounds = 0);
  server.on('connection', markBusy);
  while (quietRounds < QUIET_ROUNDS && performance.now() < giveUpAt) {
    quietRounds++;
    await new Promise(resolve => setImmediate(resolve));
  }
  server.off('connection', markBusy);
}

/**
 * Closes idle connections only after pending data has been read: a resumed
 * process runs its timers before it reads.
 *
 * @example
 * closeIdleWhenRead(createServer(serve));
 */
export function closeIdleWhenRead(server: HttpServer): void {
  // With a listener, Node leaves closing to it.
  server.on('timeout', socket => {
    const bytesRead = socket.bytesRead;
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) socket.destroy();
    });
  });
}

/**
 * Cuts every connection and resolves once the server has closed.
 *
 * @example
 * await closeHttpServer(server);
 */
export function closeHttpServer(server: HttpServer): Promise<void> {
  server.closeAllConnections();
  return new Promise(resolve => server.close(() => resolve()));
}
