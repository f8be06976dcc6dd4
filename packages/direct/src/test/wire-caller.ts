/** Raw TCP caller, which chooses how its request body is framed. */
import {connect} from 'node:net';
import type {WireFraming} from './wire-target.js';

/** Request that is sent byte by byte as given. */
export interface WireCall {
  readonly method: string;
  readonly path: string;
  readonly id: string;
  readonly framing: WireFraming;
  readonly body: string;
  /** HTTP version; 1.1 by default. */
  readonly version?: '1.0' | '1.1';
  /** Further header fields. */
  readonly fields?: readonly string[];
}

function formatBody({framing, body}: WireCall): string {
  if (framing !== 'chunked') return body;
  // Two chunks, so that the target doesn't get them as they were sent.
  const half = Math.ceil(body.length / 2);
  const chunks = [body.slice(0, half), body.slice(half)]
    .filter(chunk => chunk.length > 0)
    .map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`);
  return `${chunks.join('')}0\r\n\r\n`;
}

/**
 * Formats the bytes of a request.
 *
 * @example
 * socket.write(formatCall(call), 'latin1');
 */
export function formatCall(call: WireCall): string {
  const framingFields = {
    none: [],
    length: [`Content-Length: ${call.body.length}`],
    chunked: ['Transfer-Encoding: chunked'],
  }[call.framing];
  const fields = call.fields ?? ['Connection: close'];
  const lines = [
    `${call.method} ${call.path} HTTP/${call.version ?? '1.1'}`,
    'Host: site',
    `x-test-id: ${call.id}`,
    'x-test-key: k1',
    'x-test-deadline: 4000',
    'x-test-tokens: 100',
    ...fields,
    ...framingFields,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${formatBody(call)}`;
}

/**
 * Sends a request to a gate; resolves with all bytes of the answer once the
 * connection has ended.
 *
 * @param waitMs - Time for which nothing is read after the first bytes, in ms.
 * @example
 * await callOnWire({host, port}, {method: 'GET', path: '/safe/x', id: 'q1', framing: 'none', body: ''});
 */
export function callOnWire(
  address: {readonly host: string; readonly port: number},
  call: WireCall,
  waitMs = 0,
): Promise<string> {
  return new Promise(resolve => {
    const parts: Buffer[] = [];
    const finish = () => resolve(Buffer.concat(parts).toString('latin1'));
    const socket = connect(address);
    socket.on('data', part => parts.push(part));
    socket.once('error', finish);
    socket.once('close', finish);
    socket.write(formatCall(call), 'latin1');
    if (waitMs === 0) return;
    socket.once('data', () => {
      socket.pause();
      setTimeout(() => socket.resume(), waitMs);
    });
  });
}
