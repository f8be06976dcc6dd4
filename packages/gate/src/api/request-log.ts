/**
 * Log events of a caller's request, from its connection to its answer:
 * `connection_opened`, `request_arrived`, `request_read`, `request_sent` (by
 * the dispatcher), `request_ended`, `connection_closed`.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Logger} from '@nutmeggauge/core';

/** Maximum logged length of a caller's own request id, in characters. */
const MAX_CALLER_REQUEST_ID_LENGTH = 64;

/**
 * Logs when each connection opens and closes. Bytes of a connection that no
 * `request_ended` event counts were received but reached no request handler.
 *
 * @example
 * observeConnections(log, server);
 */
export function observeConnections(log: Logger, server: Server): void {
  server.on('connection', (socket: Socket) => {
    const openedAt = performance.now();
    const callerPort = socket.remotePort;
    let code: string | undefined;
    log.info('connection_opened', {callerPort});
    socket.once('error', (error: NodeJS.ErrnoException) => (code = error.code));
    socket.once('close', () =>
      log.info('connection_closed', {
        callerPort,
        code,
        hasCallerEnded: socket.readableEnded,
        bytes: socket.bytesRead,
        ms: Math.round(performance.now() - openedAt),
      }),
    );
  });
}

/**
 * Logs `request_arrived` at once, `request_read` after the body, and
 * `request_ended` after the answer or when the connection closes.
 *
 * @example
 * observeRequest(log, 'gate-1-7-a1b2c3', req, res);
 */
export function observeRequest(
  log: Logger,
  requestId: string,
  req: IncomingMessage,
  res: ServerResponse,
): void {
  const startedAt = performance.now();
  const bytesBefore = req.socket.bytesRead;
  log.info('request_arrived', {
    requestId,
    callerRequestId: readCallerRequestId(req),
    callerPort: req.socket.remotePort,
  });
  req.once('end', () =>
    log.info('request_read', {
      requestId,
      ms: Math.round(performance.now() - startedAt),
    }),
  );
  res.once('close', () =>
    log.info('request_ended', {
      requestId,
      status: res.headersSent ? res.statusCode : undefined,
      // False if the connection closed before the answer was sent completely.
      isAnswered: res.writableFinished,
      isRead: req.complete,
      bytes: req.socket.bytesRead - bytesBefore,
      callerPort: req.socket.remotePort,
      ms: Math.round(performance.now() - startedAt),
    }),
  );
}

/** Reads the caller's own request id from its `X-Request-Id` header. */
function readCallerRequestId({headers}: IncomingMessage): string | undefined {
  const id = headers['x-request-id'];
  return typeof id === 'string'
    ? id.slice(0, MAX_CALLER_REQUEST_ID_LENGTH)
    : undefined;
}
