/** Starts an HTTP request on an open connection. */
import {request as sendRequest} from 'node:http';
import {ExchangeError} from '../errors.js';
import {buildFramedHeaders} from './request-body.js';
import type {ClientRequest} from 'node:http';
import type {Socket} from 'node:net';
import type {ExchangeOptions} from './exchange-options.js';

/**
 * Starts a request on a connection. Returns an error if Node.js rejects the
 * head, for example because a header value contains invalid characters.
 *
 * @example
 * const opened = openRequest(options, socket);
 */
export function openRequest(
  {method, path, buildHeaders, body}: ExchangeOptions,
  socket: Socket,
): ClientRequest | ExchangeError {
  try {
    const request = sendRequest({
      method,
      path,
      headers: buildFramedHeaders(buildHeaders(), body),
      setHost: false,
      createConnection: () => socket,
    });
    // Otherwise Node.js adds chunks to a POST without a body.
    request.useChunkedEncodingByDefault = false;
    return request;
  } catch (cause) {
    return new ExchangeError('unwritable', false, cause as Error);
  }
}
