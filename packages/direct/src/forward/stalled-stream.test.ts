import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  answerNotRun,
  buildSignedHead,
  formatEvents,
} from '../test/fake-target.js';
import {buildConfig, openGateWorld} from '../test/gate-world.js';
import type {TargetScript} from '../test/fake-target.js';
import type {CallerAnswer, GateWorld} from '../test/gate-world.js';

/** Events of a stream. */
const EVENTS = 6;

/** Pause of the first engine, in ms: longer than a stall. */
const PAUSE_MS = 1800;

/** Route timeout, in ms. */
const TIMEOUT_MS = 5000;

/** Second engines that do not take the stream over. */
const SECOND_ENGINES: Readonly<Record<string, TargetScript>> = {
  'is full': answerNotRun,
  'has a full helper': (req, res) => {
    res.setHeader('x-test-fault', '127.0.0.1:1');
    answerNotRun(req, res);
  },
  'is another one by now': (_req, res) => res.writeHead(421).end(),
  'resets the connection': req => req.socket.resetAndDestroy(),
  'sends its head and breaks off': (req, res) => {
    res.writeHead(200, buildSignedHead(req));
    res.write('id: ');
    setTimeout(() => res.destroy(), 100);
  },
  'goes silent': () => undefined,
};

function streamWithPauseAfter(sent: number): TargetScript {
  return (req, res) => {
    res.writeHead(200, buildSignedHead(req));
    res.write(formatEvents(1, sent));
    setTimeout(() => res.end(formatEvents(sent + 1, EVENTS)), PAUSE_MS);
  };
}

async function openTwoEngines(
  first: TargetScript,
  second: TargetScript,
): Promise<GateWorld> {
  const base = buildConfig(1);
  const routes = base.routes.map(route => ({...route, timeoutMs: TIMEOUT_MS}));
  const world = await openGateWorld({config: {...base, routes}});
  let arrivals = 0;
  const script: TargetScript = (req, res) =>
    ++arrivals === 1 ? first(req, res) : second(req, res);
  await world.addTarget('e0', 'chat', script);
  await world.addTarget('e1', 'chat', script);
  await world.waitUntil(
    () =>
      world.lines.filter(line => line.includes('"target_added"')).length === 2,
  );
  return world;
}

async function callStalled(
  sent: number,
  second: TargetScript,
): Promise<CallerAnswer> {
  const world = await openTwoEngines(streamWithPauseAfter(sent), second);
  try {
    return await world.call('/stream/x', {tokens: 1000});
  } finally {
    world.close();
  }
}

describe('stream whose engine pauses', () => {
  for (const [name, second] of Object.entries(SECOND_ENGINES))
    it(`is whole though the second engine ${name}, at any pause`, async () => {
      // Guards against a begun stream that is cut for an engine that refuses.
      const moments = Array.from({length: EVENTS}, (_, sent) => sent);
      const answers = await Promise.all(
        moments.map(sent => callStalled(sent, second)),
      );
      for (const {isWhole, body} of answers) {
        expect(isWhole).toEqual(true);
        expect(body).toEqual(formatEvents(1, EVENTS));
      }
    });
});
