import {describe, it} from 'node:test';
import {expect} from 'earl';
import {openGateHarness} from '../test/gate-harness.js';
import {callOnWire} from '../test/wire-caller.js';
import {buildWireHead, openWireTarget} from '../test/wire-target.js';
import type {WireScript, WireTarget} from '../test/wire-target.js';

const EVENT_COUNT = 4;

/** Length of the data of each event in the first and in later runs, in bytes. */
const FIRST_DATA_BYTES = 100;

function buildEvent(id: number, dataBytes: number): string {
  return `id: ${id}\ndata: ${'a'.repeat(dataBytes)}\n\n`;
}

function buildEvents(after: number, dataBytes: number): string {
  let text = '';
  for (let id = after + 1; id <= EVENT_COUNT; id++)
    text += buildEvent(id, dataBytes);
  return text;
}

/** Sends a stream with its length; breaks off after the first event if told to. */
function sendStream(dataBytes: number, isBrokenOff: boolean): WireScript {
  return (request, socket) => {
    const after = Number(request.headers['x-test-after'] ?? 0);
    const events = buildEvents(after, dataBytes);
    const length = `Content-Length: ${events.length}`;
    const head = buildWireHead(request, [
      'Content-Type: text/event-stream',
      length,
    ]);
    if (!isBrokenOff) return void socket.end(head + events);
    socket.write(head + buildEvent(1, dataBytes));
    setTimeout(() => socket.resetAndDestroy(), 50);
  };
}

describe('stream whose first engine gives its length', () => {
  for (const laterDataBytes of [10, 100, 1000])
    it(`is whole after another engine resumed it with ${laterDataBytes} bytes an event`, async () => {
      // Guards against the length of one engine over the events of another, which
      // makes a part look whole, or leaves the caller waiting.
      const harness = await openGateHarness();
      const targets: WireTarget[] = [];
      let runs = 0;
      try {
        for (const id of ['t1', 't2']) {
          const target = await openWireTarget(id, 'chat', (request, socket) => {
            const isFirst = runs++ === 0;
            const dataBytes = isFirst ? FIRST_DATA_BYTES : laterDataBytes;
            sendStream(dataBytes, isFirst)(request, socket);
          });
          targets.push(target);
          harness.store.publishTarget(target.entry);
        }
        await harness.waitUntil(
          () =>
            harness.lines.filter(line => line.includes('"target_added"'))
              .length === targets.length,
        );
        const answer = await callOnWire(
          {host: harness.host, port: harness.port},
          {
            method: 'POST',
            path: '/stream/x',
            id: 'q1',
            framing: 'none',
            body: '',
          },
        );
        expect(runs).toEqual(2);
        expect(/\r\ncontent-length:/i.test(answer)).toEqual(false);
        const events = [
          buildEvent(1, FIRST_DATA_BYTES),
          buildEvents(1, laterDataBytes),
        ];
        for (const text of events.join('').split('\n\n'))
          expect(answer.includes(text)).toEqual(true);
        expect(answer.endsWith('0\r\n\r\n')).toEqual(true);
      } finally {
        harness.close();
        for (const target of targets) target.close();
      }
    });
});
