/**
 * Opening and closing of listeners for HTTP and JSON-RPC servers.
 */
import {PendingReads} from './pending-reads.js';
import type {Server as HttpServer} from 'node:http';
import type {Server} from 'node:net';

/** Address that a process listens on. */
export interface ListenAddress {
  readonly host: string;
  /** TCP port; 0 lets the system pick a free one. */
  readonly port: number;
}

/**
 * Starts listening and resolves with the bound port.
 *
 * @throws The system's error (EADDRINUSE, EACCES) when the address cannot be
 *   bound.
 * @example
 * const port = await openListener(server, {host: '127.0.0.1', port: 0});
 */
export function openListener(
  server: Server,
  address: ListenAddress,
): Promise<number> {
  return startListening(server, ready =>
    server.listen(address.port, address.host, ready),
  );
}

/**
 * Takes over a listener that is open already, with the connections that wait in
 * its backlog; resolves with the bound port.
 *
 * @example
 * await acceptListener(httpServer, earlyServer);
 */
export function acceptListener(
  server: Server,
  listener: Server,
): Promise<number> {
  return startListening(server, ready => server.listen(listener, ready));
}

function startListening(
  server: Server,
  listen: (ready: () => void) => void,
): Promise<number> {
  return new Promise((resolve, reject) => {
    // The error handler stays registered: an open listener emits an error for
    // each connection that it cannot accept.
    server.on('error', reject);
    listen(() => resolve(readPort(server)));
  });
}

/**
 * Returns the port that a server is bound to; 0 while the server is not
 * listening.
 *
 * @example
 * readPort(server); // 8080
 */
export function readPort(server: Server | undefined): number {
  const address = server?.address();
  return typeof address === 'object' && address !== null ? address.port : 0;
}

/** Limit on the wait for pending reads, in ms: callers may keep connecting. */
const MAX_READ_WAIT_MS = 1000;

/**
 * Waits until a server has read all data that has arrived, including data on
 * connections that are not accepted yet. A process that resumes after a
 * suspension runs its timers and signal handlers before it reads its sockets.
 *
 * @example
 * await waitForPendingReads(server);
 * server.close();
 */
export async function waitForPendingReads(server: Server): Promise<void> {
  const reads = new PendingReads(MAX_READ_WAIT_MS);
  reads.observe(server);
  await reads.wait();
  reads.stop(server);
}

/**
 * Makes a server close idle connections only after it has read pending data. A
 * process that resumes after a suspension runs its timers before it reads its
 * sockets, and would otherwise close connections with unread requests.
 *
 * @example
 * closeIdleAfterRead(createServer(serve));
 */
export function closeIdleAfterRead(server: HttpServer): void {
  // With a `timeout` listener, Node no longer closes the socket itself.
  server.on('timeout', socket => {
    const bytesRead = socket.bytesRead;
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) socket.destroy();
    });
  });
}

/**
 * Closes all connections at once and resolves when the server has closed.
 *
 * @example
 * await closeHttpServer(server);
 */
export function closeHttpServer(server: HttpServer): Promise<void> {
  server.closeAllConnections();
  return new Promise(resolve => server.close(() => resolve()));
}
