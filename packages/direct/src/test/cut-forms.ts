/** Shapes of the answers that tests cut. */
import {LENGTH} from './cut-bed.js';
import type {Form} from './cut-bed.js';

const CLOSE = 'Connection: close';
const CHUNKED = 'Transfer-Encoding: chunked';

const giveBody = (body: string) => body;
const drop = () => '';
const formatChunks = (body: string) =>
  `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
const formatWithTrailer = (body: string) =>
  `${formatChunks(body).slice(0, -2)}x-sum: 1\r\n\r\n`;

/** Forms whose end is marked, so that none may look whole before its last byte. */
export const FRAMED: Readonly<Record<string, Form>> = {
  'a length': {fields: [LENGTH], frame: giveBody},
  'a length, closing': {fields: [CLOSE, LENGTH], frame: giveBody},
  chunks: {fields: [CHUNKED], frame: formatChunks},
  'chunks with a trailer, closing': {
    fields: [CLOSE, CHUNKED],
    frame: formatWithTrailer,
  },
  'HTTP/1.0 with a length': {
    status: 'HTTP/1.0 200 OK',
    fields: [LENGTH],
    frame: giveBody,
  },
  '100 before a length': {
    interim: 'HTTP/1.1 100 Continue\r\n\r\n',
    fields: [LENGTH],
    frame: giveBody,
  },
  'two interim heads before a length': {
    interim:
      'HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n',
    fields: [LENGTH],
    frame: giveBody,
  },
  '103 before chunks': {
    interim: 'HTTP/1.1 103 Early Hints\r\nx-a: 1\r\n\r\n',
    fields: [CHUNKED],
    frame: formatChunks,
  },
  'an empty body': {fields: ['Content-Length: 0'], frame: drop},
  '204': {status: 'HTTP/1.1 204 No Content', fields: [], frame: drop},
  '304': {status: 'HTTP/1.1 304 Not Modified', fields: [LENGTH], frame: drop},
  'a length for HEAD': {fields: [LENGTH], frame: drop, method: 'HEAD'},
  'chunks for HEAD': {fields: [CHUNKED], frame: drop, method: 'HEAD'},
  'neither for HEAD': {fields: [CLOSE], frame: drop, method: 'HEAD'},
};

/** Forms whose end is that of the connection: only their heads show a cut. */
export const UNFRAMED: Readonly<Record<string, Form>> = {
  'neither length nor chunks': {fields: [], frame: giveBody},
  'neither, closing': {fields: [CLOSE], frame: giveBody},
  'neither over HTTP/1.0': {
    status: 'HTTP/1.0 200 OK',
    fields: [],
    frame: giveBody,
  },
  '103 before neither': {
    interim: 'HTTP/1.1 103 Early Hints\r\n\r\n',
    fields: [CLOSE],
    frame: giveBody,
  },
};

/** Form that is never whole: Node.js reads nothing after a head that closes. */
export const INTERIM_CLOSING: Form = {
  interim: 'HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n',
  fields: [CLOSE, LENGTH],
  frame: giveBody,
};

/** Refusal of a target that has not run the request. */
export const NOT_RUN: Form = {
  status: 'HTTP/1.1 503 Busy',
  fields: ['x-test-not-run: 1', 'Content-Length: 0'],
  frame: drop,
};

/** Failure of a target. */
export const FAILURE: Form = {
  status: 'HTTP/1.1 500 Failed',
  fields: [LENGTH],
  frame: giveBody,
};
