import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {answerCompletely, answerNotRun} from '../test/fake-target.js';
import {ENGINE, openGateHarness} from '../test/gate-harness.js';
import {StopBed, listWrongOutcomes, runStopBed} from '../test/stop-bed.js';
import {answerStream, holdAnswer, runLater} from '../test/stop-scripts.js';
import type {ReservationOutcome} from '../ports.js';
import type {TargetScript} from '../test/fake-target.js';

/** Grace period of the gate under test, in ms. */
const GRACE_MS = 2000;

/** Objective by which a stream may wait for longer than the grace period, in ms. */
const OBJECTIVE_MS = 20_000;

/** Prompt that needs KV cache of helpers, in tokens. */
const LONG_PROMPT_TOKENS = 330_000;

/** Time of a late event, so that no target can answer within the grace, in ms. */
const LATE_MS = 1400;

/** Objective of a call that is predicted to end soon, in ms. */
const SHORT_MS = 150;

/** Output tokens that take an engine some hundred ms. */
const OUTPUT_TOKENS = 300;

/** Plan of a prompt whose engines are not free yet. */
const PLANNED = {
  startMs: 60,
  endMs: 100,
  engines: 1,
  isInTime: true,
  isBehind: false,
  ahead: 0,
};

/** Turns requests away and asks for rest. */
function askForRest(restS: number): TargetScript {
  return (req, res) => {
    res.setHeader('x-test-rest', String(restS));
    answerNotRun(req, res);
  };
}

/** Most of each test is a wait. */
const SIDE_BY_SIDE = {concurrency: 8};

const KINDS = [
  {path: '/unsafe/x', answer: answerCompletely},
  {path: '/unsafe2/x', answer: answerCompletely},
  {path: '/safe/x', answer: answerCompletely},
  {path: '/stream/x', answer: answerStream},
] as const;

describe(
  'gate that stops while requests are in one of its waits',
  SIDE_BY_SIDE,
  () => {
    it('answers a request that waits for the first configuration', async () => {
      // Guards against requests of a start that are cut by a stop.
      const harness = await openGateHarness({config: 'none', stopGraceMs: 600});
      const bed = new StopBed(harness, []);
      try {
        for (const {path} of KINDS) bed.send(path, path);
        await sleep(50);
        await bed.stop();
        const outcomes = await bed.readOutcomes();
        expect(listWrongOutcomes(outcomes)).toEqual([]);
        expect(bed.listActions('/safe/x').at(-1)).toEqual('refused in startup');
      } finally {
        harness.close();
      }
    });

    it('sends no prompt whose KV cache is reserved after its refusal', async () => {
      // Guards against prompts that are sent once a reservation is answered late.
      const chat = [holdAnswer, holdAnswer, holdAnswer];
      await runStopBed(
        {graceMs: GRACE_MS, scripts: {orders: [], chat}},
        async bed => {
          const {reservations} = bed.harness;
          const reserve = reservations.reserve.bind(reservations);
          let grant: () => void = () => undefined;
          const granted = new Promise<void>(resolve => (grant = resolve));
          reservations.reserve = async (
            ...args
          ): Promise<ReservationOutcome> => {
            await granted;
            return reserve(...args);
          };
          bed.send('/stream/x', 'q1', {tokens: LONG_PROMPT_TOKENS});
          await bed.harness.waitUntil(() =>
            bed.harness.lines.some(line => line.includes('"stream_placed"')),
          );
          await bed.harness.gate.drain();
          grant();
          const outcomes = await bed.readOutcomes();
          bed.harness.gate.close();
          expect(bed.listActions('q1').at(-1)).toEqual('refused in connect');
          expect(outcomes.map(({status}) => status)).toEqual([503]);
          expect(listWrongOutcomes(outcomes)).toEqual([]);
          expect(reservations.held.size).toEqual(0);
        },
      );
    });

    it('answers prompts that are planned over many engines', async () => {
      // Guards against planned prompts that are cut by a stop.
      const chat = Array.from({length: 34}, () => holdAnswer);
      await runStopBed(
        {
          graceMs: GRACE_MS,
          scripts: {orders: [], chat},
          objectiveMs: {stream: OBJECTIVE_MS},
        },
        async bed => {
          for (let i = 0; i < 60; i++)
            bed.send('/stream/x', `q${i}`, {tokens: 250_000});
          await sleep(400);
          await bed.stop();
          const outcomes = await bed.readOutcomes();
          expect(listWrongOutcomes(outcomes)).toEqual([]);
          const waiting = outcomes.filter(({received}) => received === 0);
          expect(waiting.length > 0).toEqual(true);
          const [action] = bed.listActions(waiting[0].id).slice(-1);
          expect(action.startsWith('refused in')).toEqual(true);
        },
      );
    });

    for (const isPlanned of [false, true])
      it(`answers ${isPlanned ? 'planned' : 'deferred'} prompts and sends none of them late`, async () => {
        // Guards against deferred prompts that are cut by a stop or sent after it.
        await runStopBed(
          {graceMs: GRACE_MS, scripts: {orders: [], chat: [holdAnswer]}},
          async bed => {
            const {prompts} = bed.harness.gate['context'];
            const place = prompts.place.bind(prompts);
            prompts.place = () => ({
              waitMs: 60,
              predictedTtftMs: 100,
              planned: isPlanned ? PLANNED : undefined,
            });
            bed.send('/stream/x', 'q1');
            await bed.waitForPlace('q1', 'deferred');
            await bed.harness.gate.drain();
            prompts.place = place;
            const outcomes = await bed.readOutcomes();
            bed.harness.gate.close();
            expect(bed.listActions('q1')).toEqual([
              'kept in deferred',
              'refused in deferred',
            ]);
            expect(listWrongOutcomes(outcomes)).toEqual([]);
          },
        );
      });

    for (const {path} of KINDS)
      it(`sends no request on ${path} whose permit comes after its refusal`, async () => {
        // Guards against requests that are sent once a permit is answered late.
        const scripts = {orders: [holdAnswer], chat: [holdAnswer]};
        await runStopBed({graceMs: GRACE_MS, scripts}, async bed => {
          const {access} = bed.harness.gate['context'];
          let grant: () => void = () => undefined;
          access.claim = () =>
            new Promise(resolve => (grant = () => resolve(true)));
          bed.send(path, 'q1');
          await bed.waitForPlace('q1', 'permit');
          await bed.harness.gate.drain();
          grant();
          const outcomes = await bed.readOutcomes();
          bed.harness.gate.close();
          expect(bed.listActions('q1').at(-1)).toEqual('refused in permit');
          expect(outcomes.map(({status}) => status)).toEqual([503]);
          expect(listWrongOutcomes(outcomes)).toEqual([]);
        });
      });

    for (const {path} of KINDS)
      it(`refuses a request on ${path} whose permit comes too late to end it`, async () => {
        // Guards against requests that are sent shortly before the end, so that
        // their outcome stays open.
        const scripts = {orders: [holdAnswer], chat: [holdAnswer]};
        // Below the interval of the looks at requests that wait.
        const objectiveMs = {unsafe: SHORT_MS, safe: SHORT_MS};
        const options = {graceMs: GRACE_MS, scripts, objectiveMs};
        await runStopBed(options, async bed => {
          const {access} = bed.harness.gate['context'];
          let grant: () => void = () => undefined;
          access.claim = () =>
            new Promise(resolve => (grant = () => resolve(true)));
          bed.send(path, 'q1', {maxOutputTokens: OUTPUT_TOKENS});
          await bed.waitForPlace('q1', 'permit');
          const stopped = bed.stop();
          await sleep(LATE_MS);
          grant();
          await stopped;
          const outcomes = await bed.readOutcomes();
          expect(
            outcomes.map(({status, received}) => [status, received]),
          ).toEqual([[503, 0]]);
        });
      });

    it('answers streams that wait for engines that rest', async () => {
      // Guards against streams that are cut while all their engines rest.
      const chat = [askForRest(10)];
      await runStopBed(
        {
          graceMs: GRACE_MS,
          scripts: {orders: [], chat},
          objectiveMs: {stream: OBJECTIVE_MS},
        },
        async bed => {
          bed.send('/stream/x', 'first');
          const {rests} = bed.harness.gate['context'];
          await bed.harness.waitUntil(() => rests.size === chat.length);
          for (let i = 0; i < 3; i++) bed.send('/stream/x', `q${i}`);
          await bed.waitForPlace('q2', 'queue');
          await bed.stop();
          const outcomes = await bed.readOutcomes();
          // Those that the engines have turned away have not run.
          expect(outcomes.map(({status}) => status)).toEqual(
            outcomes.map(() => 503),
          );
          expect(outcomes.every(({isWhole}) => isWhole)).toEqual(true);
          expect(bed.listActions('q0').at(-1)).toEqual('refused in queue');
        },
      );
    });

    it('answers streams and calls that wait for cold targets', async () => {
      // Guards against requests that are cut while no cold target may take them.
      const coldStart = {durationMs: 20_000, requestsPerSecond: 2};
      await runStopBed(
        {
          graceMs: GRACE_MS,
          scripts: {
            orders: [runLater(50, answerCompletely)],
            chat: [runLater(50, answerStream)],
          },
          objectiveMs: {stream: OBJECTIVE_MS},
          coldBounds: {overage: 1.5, slack: 2},
          config: {
            services: [
              {name: 'orders', engine: undefined, coldStart},
              {name: 'chat', engine: ENGINE, coldStart},
            ],
          },
        },
        async bed => {
          for (const {path} of KINDS)
            for (let i = 0; i < 15; i++) bed.send(path, `${path}${i}`);
          await sleep(100);
          await bed.stop();
          const outcomes = await bed.readOutcomes();
          expect(listWrongOutcomes(outcomes)).toEqual([]);
          expect(outcomes.some(({status}) => status === 200)).toEqual(true);
          expect(outcomes.every(({received}) => received <= 1)).toEqual(true);
        },
      );
    });
  },
);
