import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  answerNotRun,
  buildSignedHead,
  formatEvents,
} from '../test/fake-target.js';
import {buildConfig, openGateHarness} from '../test/gate-harness.js';
import type {TargetScript} from '../test/fake-target.js';
import type {ReceivedResponse, GateHarness} from '../test/gate-harness.js';

/** Number of events in a complete stream. */
const EVENT_COUNT = 6;

/** Pause of the first engine, in ms: longer than the stall timeout. */
const PAUSE_MS = 1800;

/** Route timeout, in ms. */
const TIMEOUT_MS = 5000;

/** Scripts of backup engines that do not resume the stream. */
const BACKUP_SCRIPTS: Readonly<Record<string, TargetScript>> = {
  'is overloaded': answerNotRun,
  'reports a faulty helper': (req, res) => {
    res.setHeader('x-test-fault', '127.0.0.1:1');
    answerNotRun(req, res);
  },
  'refuses with 421': (_req, res) => res.writeHead(421).end(),
  'resets the connection': req => req.socket.resetAndDestroy(),
  'closes the connection during the first event': (req, res) => {
    res.writeHead(200, buildSignedHead(req));
    res.write('id: ');
    setTimeout(() => res.destroy(), 100);
  },
  'never responds': () => undefined,
};

function streamWithPauseAfter(sent: number): TargetScript {
  return (req, res) => {
    res.writeHead(200, buildSignedHead(req));
    res.write(formatEvents(1, sent));
    setTimeout(() => res.end(formatEvents(sent + 1, EVENT_COUNT)), PAUSE_MS);
  };
}

async function openTwoEngines(
  first: TargetScript,
  second: TargetScript,
): Promise<GateHarness> {
  const base = buildConfig(1);
  const routes = base.routes.map(route => ({...route, timeoutMs: TIMEOUT_MS}));
  const harness = await openGateHarness({config: {...base, routes}});
  let arrivals = 0;
  const script: TargetScript = (req, res) =>
    ++arrivals === 1 ? first(req, res) : second(req, res);
  await harness.addTarget('e0', 'chat', script);
  await harness.addTarget('e1', 'chat', script);
  await harness.waitUntil(
    () =>
      harness.lines.filter(line => line.includes('"target_added"')).length ===
      2,
  );
  return harness;
}

async function callPausedStream(
  sent: number,
  second: TargetScript,
): Promise<ReceivedResponse> {
  const harness = await openTwoEngines(streamWithPauseAfter(sent), second);
  try {
    return await harness.call('/stream/x', {tokens: 1000});
  } finally {
    harness.close();
  }
}

describe('stream whose engine pauses', () => {
  for (const [name, second] of Object.entries(BACKUP_SCRIPTS))
    it(`is complete if the backup engine ${name}, wherever the pause occurs`, async () => {
      // Guards against a stream that is truncated when its stalled engine is
      // cancelled and the backup engine refuses.
      const sentCounts = Array.from({length: EVENT_COUNT}, (_, sent) => sent);
      const answers = await Promise.all(
        sentCounts.map(sent => callPausedStream(sent, second)),
      );
      for (const {isWhole, body} of answers) {
        expect(isWhole).toEqual(true);
        expect(body).toEqual(formatEvents(1, EVENT_COUNT));
      }
    });
});
