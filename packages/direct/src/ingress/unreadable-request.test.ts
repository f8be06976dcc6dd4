import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {answerCompletely} from '../test/fake-target.js';
import {openGateHarness} from '../test/gate-harness.js';
import type {GateHarness} from '../test/gate-harness.js';

/** Method that no parser knows. */
const UNKNOWN_METHOD = 'FROBNICATE';

/** Sends bytes on one connection; resolves with all that the gate answers. */
function send({host, port}: GateHarness, bytes: string): Promise<string> {
  return new Promise(resolve => {
    let text = '';
    const socket = connect(port, host, () => socket.write(bytes));
    socket.on('data', part => (text += String(part)));
    socket.once('error', error => resolve(`${text}${error.message}`));
    socket.once('close', () => resolve(text));
  });
}

function renderHead(method: string, field: string): string {
  const lines = [`${method} /safe/x HTTP/1.1`, 'Host: site', field];
  return `${lines.join('\r\n')}\r\nx-test-key: k1\r\nx-test-id: q1\r\n\r\n`;
}

describe('requests that the parser of the gate cannot read', () => {
  const cases = [
    [renderHead(UNKNOWN_METHOD, 'x-a: 1'), '400', 'unknown_method'],
    [renderHead('CONNECT', 'x-a: 1'), '400', 'unknown_method'],
    [renderHead('GET', 'x-a'), '400', 'malformed_request'],
    [renderHead('GET', `x: ${'a'.repeat(70_000)}`), '431', 'head_too_large'],
  ];
  for (const [bytes, status, reason] of cases)
    it(`get ${status} ${reason}: ${bytes.slice(0, bytes.indexOf(' '))}`, async () => {
      // Guards against an error without a body, a log line or a counter.
      const harness = await openGateHarness();
      try {
        let reached = 0;
        await harness.addTarget('t', 'orders', (req, res) => {
          reached++;
          answerCompletely(req, res);
        });
        await harness.waitUntil(async () => (await harness.askReady()) === 200);
        const text = await send(harness, bytes);
        const [head, body] = text.split('\r\n\r\n');
        expect(head.split(' ')[1]).toEqual(status);
        expect(head.includes(`Content-Length: ${body.length}`)).toEqual(true);
        expect(JSON.parse(body)).toEqual({error: {reason}});
        expect(reached).toEqual(0);
        const lines = harness.lines.filter(line => line.includes(reason));
        expect(lines.length).toEqual(1);
        expect(lines[0].includes('"request_refused"')).toEqual(true);
        const counted = await harness.readGauge(`ingress_${reason}_total`);
        expect(counted).toEqual(1);
        expect((await harness.call('/safe/x')).status).toEqual(200);
      } finally {
        harness.close();
      }
    });
});
