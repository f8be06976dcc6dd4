import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  answerCompletely,
  answerNotRun,
  buildSignedHead,
  formatEvents,
} from '../test/fake-target.js';
import {runStopBed} from '../test/stop-bed.js';
import {holdAnswer, runLater} from '../test/stop-scripts.js';
import type {TargetScript} from '../test/fake-target.js';

/** Grace period of the gate under test, in ms. */
const GRACE_MS = 2000;

/** Objective by which a stream may wait for longer than the grace period, in ms. */
const OBJECTIVE_MS = 20_000;

/** Grace period that ends before a silent engine gets a backup, in ms. */
const SHORT_GRACE_MS = 1600;

/** Time until a target turns a request away, shortly before that end, in ms. */
const NOT_RUN_MS = 1000;

/** Time from the entry of a target until it is needed, in ms. */
const ADDED_BEFORE_MS = 200;

/** Output tokens that take an engine some hundred ms. */
const OUTPUT_TOKENS = 300;

/** Most of each test is a wait. */
const SIDE_BY_SIDE = {concurrency: 8};

describe('gate that stops while requests are tried again', SIDE_BY_SIDE, () => {
  for (const path of ['/unsafe2/x', '/safe/x', '/stream/x'])
    it(`does not send a request on ${path} again that cannot end in time`, async () => {
      // Guards against a retry shortly before the end, whose outcome stays open
      // although no target had run the request.
      const script = runLater(NOT_RUN_MS, answerNotRun);
      const scripts = {orders: [script], chat: [script]};
      await runStopBed({graceMs: SHORT_GRACE_MS, scripts}, async bed => {
        const {harness} = bed;
        bed.send(path, 'q1', {maxOutputTokens: OUTPUT_TOKENS});
        await bed.waitForArrival('q1');
        const service = path === '/stream/x' ? 'chat' : 'orders';
        const stopped = bed.stop();
        // Neither a hedge nor a backup may find the other target before.
        await sleep(NOT_RUN_MS - ADDED_BEFORE_MS);
        const silent = await harness.addTarget('late', service, holdAnswer);
        await stopped;
        const [{status, isWhole}] = await bed.readOutcomes();
        expect([status, isWhole]).toEqual([503, true]);
        expect(silent.received).toEqual([]);
      });
    });

  it('gives the failure that it keeps for a safe call without another answer', async () => {
    // Guards against a safe call that is cut while it is tried again.
    const fail: TargetScript = (req, res) => {
      res.writeHead(500, buildSignedHead(req));
      res.end('failed');
    };
    const scripts = {orders: [runLater(500, fail)], chat: []};
    const objectiveMs = {safe: OBJECTIVE_MS};
    await runStopBed({graceMs: GRACE_MS, scripts, objectiveMs}, async bed => {
      bed.send('/safe/x', 'q1');
      await bed.waitForArrival('q1');
      const other = await bed.harness.addTarget('late', 'orders', holdAnswer);
      await bed.stop();
      const [{status, isWhole, body}] = await bed.readOutcomes();
      expect([status, isWhole, body]).toEqual([500, true, 'failed']);
      expect(other.received).toEqual(['q1']);
    });
  });

  for (const [what, last, status] of [
    ['answers', runLater(700, answerCompletely), 200],
    ['does not answer', holdAnswer, 502],
  ] as const)
    it(`answers a hedged call whose second target ${what}`, async () => {
      // Guards against hedged calls that are cut by a stop.
      const scripts = {orders: [holdAnswer], chat: []};
      await runStopBed({graceMs: GRACE_MS, scripts}, async bed => {
        bed.send('/safe/x', 'q1');
        await bed.waitForArrival('q1');
        const other = await bed.harness.addTarget('late', 'orders', last);
        await bed.stop();
        const [outcome] = await bed.readOutcomes();
        expect([outcome.status, outcome.isWhole]).toEqual([status, true]);
        expect(other.received).toEqual(['q1']);
      });
    });

  for (const firstEvents of [0, 1])
    for (const isAnswering of [true, false])
      it(`ends a stream of ${firstEvents} events whose backup ${isAnswering ? 'answers' : 'is silent'}`, async () => {
        // Guards against streams that lose their answer while a backup runs.
        const beginStream: TargetScript = (req, res) => {
          if (firstEvents === 0) return;
          res.writeHead(200, buildSignedHead(req));
          res.write(formatEvents(1, 1));
        };
        const goOn: TargetScript = (req, res) => {
          if (!isAnswering) return;
          res.writeHead(200, buildSignedHead(req));
          res.end(formatEvents(firstEvents + 1, 3));
        };
        const scripts = {orders: [], chat: [beginStream]};
        await runStopBed({graceMs: 4000, scripts}, async bed => {
          bed.send('/stream/x', 'q1');
          await bed.waitForArrival('q1');
          const backup = await bed.harness.addTarget('backup', 'chat', goOn);
          await bed.stop();
          const [{status, isWhole}] = await bed.readOutcomes();
          expect(backup.received).toEqual(['q1']);
          const cut = firstEvents === 0 ? [502, true] : [200, false];
          expect([status, isWhole]).toEqual(isAnswering ? [200, true] : cut);
        });
      });
});
