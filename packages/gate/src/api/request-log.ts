/**
 * Log lines that follow a caller's request from its connection to its answer:
 * `connection_opened`, `request_arrived`, `request_read`, `request_sent` (by
 * the dispatcher), `request_ended`, `connection_closed`.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Logger} from '@nutmeggauge/core';

/** Longest id of a caller's own that is logged, in characters. */
const MAX_CALLER_ID_LENGTH = 64;

/**
 * Logs each connection's start and end. Bytes that no request accounts for were
 * read and never handed on.
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
 * Logs `request_arrived` now, `request_read` after the body, and
 * `request_ended` after the answer or when the connection is closed.
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
    callerRequestId: readCallerId(req),
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
      // False if the caller's connection closed before the end.
      isAnswered: res.writableFinished,
      isRead: req.complete,
      bytes: req.socket.bytesRead - bytesBefore,
      callerPort: req.socket.remotePort,
      ms: Math.round(performance.now() - startedAt),
    }),
  );
}

/** The caller's own id, as its `X-Request-Id` says. */
function readCallerId({headers}: IncomingMessage): string | undefined {
  const id = headers['x-request-id'];
  return typeof id === 'string' ? id.slice(0, MAX_CALLER_ID_LENGTH) : undefined;
}
