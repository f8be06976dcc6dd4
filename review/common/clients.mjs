/**
 * A client that keeps its channel open, and reads answers byte by byte as HTTP/1.1
 * says, so that a record shows what an answer held and what came after it.
 */
import {connect} from 'node:net';
import {sleep} from './harness.mjs';

/** Opens a channel. */
export class Channel {
  received = Buffer.alloc(0);
  endedBy = undefined;

  constructor(host, port) {
    this.socket = connect({host, port, noDelay: true});
    this.socket.on('data', part => (this.received = Buffer.concat([this.received, part])));
    this.socket.on('end', () => (this.endedBy ??= 'closed'));
    this.socket.on('error', ({code}) => (this.endedBy ??= code));
    this.socket.on('close', () => (this.endedBy ??= 'closed'));
  }

  /** Sends a request and reads its answer; resolves when it is whole, the channel has ended, or time is up. */
  async call({method = 'POST', path, headers, body = '', timeoutMs = 12000}) {
    const head = Object.entries({...headers, 'Content-Length': Buffer.byteLength(body)})
      .map(([name, value]) => `${name}: ${value}\r\n`)
      .join('');
    this.received = Buffer.alloc(0);
    this.socket.write(`${method} ${path} HTTP/1.1\r\n${head}\r\n${body}`);
    const giveUpAt = performance.now() + timeoutMs;
    for (;;) {
      const answer = parseAnswer(this.received);
      if (answer?.isWhole || this.endedBy !== undefined || performance.now() > giveUpAt)
        return {...(answer ?? {status: 0, headers: {}, body: '', isWhole: false}), endedBy: this.endedBy};
      await sleep(5);
    }
  }

  /** Returns the bytes that came after the newest whole answer. */
  readSurplus() {
    const answer = parseAnswer(this.received);
    return answer?.isWhole ? this.received.subarray(answer.length).toString() : '';
  }

  close() {
    this.socket.destroy();
  }
}

/** Parses an answer with a length or in chunks. */
function parseAnswer(bytes) {
  const headEnd = bytes.indexOf('\r\n\r\n');
  if (headEnd < 0) return undefined;
  const [first, ...lines] = bytes.subarray(0, headEnd).toString('latin1').split('\r\n');
  const headers = Object.fromEntries(
    lines.map(line => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const status = Number(first.split(' ')[1]);
  const start = headEnd + 4;
  if (headers['content-length'] !== undefined) {
    const length = Number(headers['content-length']);
    const body = bytes.subarray(start, start + length);
    return {status, headers, body: body.toString(), isWhole: body.length === length, length: start + length};
  }
  let at = start;
  let body = '';
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', at);
    if (lineEnd < 0) return {status, headers, body, isWhole: false};
    const size = parseInt(bytes.subarray(at, lineEnd).toString(), 16);
    if (Number.isNaN(size)) return {status, headers, body, isWhole: false};
    if (bytes.length < lineEnd + 2 + size + 2) return {status, headers, body, isWhole: false};
    if (size === 0) return {status, headers, body, isWhole: true, length: lineEnd + 4};
    body += bytes.subarray(lineEnd + 2, lineEnd + 2 + size).toString();
    at = lineEnd + 2 + size + 2;
  }
}
