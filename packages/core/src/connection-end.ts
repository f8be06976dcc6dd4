/** Tells how the peer of a connection ended it. */
import type {Socket} from 'node:net';

/** Whether a peer closed a connection in order or reset it. */
export type ConnectionEnd = 'closed' | 'reset';

/**
 * Observes the end of a connection; call it before other listeners for the end are
 * added, with a socket that has `allowHalfOpen`.
 *
 * Node.js reports a reset that it finds together with bytes as a regular end (libuv
 * takes a hang-up after a partial read for the end of the stream). A write of no
 * bytes fails on a connection that was reset, and sends nothing on one that was
 * closed.
 *
 * @returns A promise that resolves once the connection has ended in either way; a
 *   connection that this process destroys counts as reset.
 * @example
 * const socket = connect({host, port, allowHalfOpen: true});
 * const end = await observeEnd(socket); // 'closed'
 */
export function observeEnd(socket: Socket): Promise<ConnectionEnd> {
  return new Promise(resolve => {
    const giveUp = () => resolve('reset');
    socket.once('close', giveUp);
    socket.once('end', () => {
      socket.off('close', giveUp);
      // Ended in both directions: a write would be one after the end.
      if (socket.writableEnded) return resolve('closed');
      // The write would wait behind others, which an HTTP client drops at the end. The
      // address of the peer can't be read either once the connection was reset.
      if (socket.writableLength > 0)
        return resolve(socket.remotePort === undefined ? 'reset' : 'closed');
      socket.write('');
      setImmediate(() => resolve(socket.errored === null ? 'closed' : 'reset'));
    });
  });
}
