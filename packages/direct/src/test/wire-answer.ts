/** Reads the answers of a gate by their framing alone, as a strict caller does. */
import {connect} from 'node:net';
import {observeEnd} from '@nutmeggauge/core';
import {formatCall} from './wire-caller.js';
import type {ConnectionEnd} from '@nutmeggauge/core';
import type {WireCall} from './wire-caller.js';

const HEAD_END = '\r\n\r\n';

/** Answer as its framing delimits it. */
export interface WireAnswer {
  /** Absent if the head is incomplete. */
  readonly status: number | undefined;
  readonly body: string;
  /** Whether the answer looks complete. */
  readonly isWhole: boolean;
  /** Whether its head says where the body ends. */
  readonly isFramed: boolean;
}

const NO_ANSWER: WireAnswer = {
  status: undefined,
  body: '',
  isWhole: false,
  isFramed: false,
};

function parseChunkedBody(text: string): Pick<WireAnswer, 'body' | 'isWhole'> {
  let body = '';
  let left = text;
  for (;;) {
    const match = /^([0-9a-fA-F]+)\r\n/.exec(left);
    if (match === null) return {body, isWhole: false};
    const size = Number.parseInt(match[1], 16);
    left = left.slice(match[0].length);
    if (size === 0)
      return {
        body,
        isWhole: left.startsWith('\r\n') || left.includes(HEAD_END),
      };
    body += left.slice(0, size);
    if (left.slice(size, size + 2) !== '\r\n') return {body, isWhole: false};
    left = left.slice(size + 2);
  }
}

/**
 * Parses the first final answer in bytes from a gate.
 *
 * @param method - Method of the request.
 * @param end - How the connection ended; `open` if it hasn't.
 * @example
 * parseWireAnswer('HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na', 'GET', 'open').isWhole; // true
 */
export function parseWireAnswer(
  text: string,
  method: string,
  end: ConnectionEnd | 'open',
): WireAnswer {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) return NO_ANSWER;
  const head = text.slice(0, headEnd);
  const rest = text.slice(headEnd + HEAD_END.length);
  const status = Number(head.split(' ')[1]);
  if (status < 200) return parseWireAnswer(rest, method, end);
  if (method === 'HEAD' || status === 204 || status === 304)
    return {status, body: '', isWhole: true, isFramed: true};
  if (/^transfer-encoding: *chunked/im.test(head))
    return {status, ...parseChunkedBody(rest), isFramed: true};
  const length = /^content-length: *(\d+)/im.exec(head)?.[1];
  if (length === undefined)
    return {status, body: rest, isWhole: end === 'closed', isFramed: false};
  const body = rest.slice(0, Number(length));
  const isWhole = body.length === Number(length);
  return {status, body, isWhole, isFramed: true};
}

/**
 * Sends requests on one connection, each after the answer to the one before it;
 * resolves with the answer to the last one.
 *
 * @example
 * await askOnWire({host, port}, [firstCall, secondCall]);
 */
export function askOnWire(
  address: {readonly host: string; readonly port: number},
  calls: readonly WireCall[],
): Promise<WireAnswer> {
  return new Promise(resolve => {
    let text = '';
    const left = [...calls];
    let call = left.shift();
    const socket = connect({...address, allowHalfOpen: true});
    const ended = observeEnd(socket);
    const sendCall = () => {
      if (call !== undefined) socket.write(formatCall(call), 'latin1');
    };
    socket.on('data', part => {
      text += part.toString('latin1');
      if (left.length === 0 || call === undefined) return;
      if (!parseWireAnswer(text, call.method, 'open').isWhole) return;
      text = '';
      call = left.shift();
      sendCall();
    });
    socket.on('error', () => undefined);
    void ended.then(end => {
      socket.destroy();
      const isLast = left.length === 0 && call !== undefined;
      resolve(
        isLast ? parseWireAnswer(text, call?.method ?? '', end) : NO_ANSWER,
      );
    });
    sendCall();
  });
}
