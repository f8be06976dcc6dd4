/**
 * One log line for each caller's request: whether it was read, and whether it
 * was answered.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Logger} from '@nutmeggauge/core';

/**
 * Logs `request_ended` after the answer, or when the connection is closed.
 *
 * @example
 * observeEnd(log, 'gate-1-7-a1b2c3', req, res);
 */
export function observeEnd(
  log: Logger,
  requestId: string,
  req: IncomingMessage,
  res: ServerResponse,
): void {
  const startedAt = performance.now();
  const bytesBefore = req.socket.bytesRead;
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
