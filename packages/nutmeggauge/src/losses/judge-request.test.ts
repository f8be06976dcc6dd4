import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  buildEnded,
  buildLine,
  buildPlaced,
  T0,
  writeLog,
} from '../test/gate-lines.js';
import {readGateLogs} from './gate-incarnations.js';
import {judgeRequests} from './summarize-losses.js';
import type {LineFields} from '../test/gate-lines.js';

const OBJECTIVES = {
  routes: {chat: {ttftMs: 300, itlMs: 250}, orders: {ttftMs: 200}},
};

function judgeLog(lines: readonly LineFields[]) {
  const logs = readGateLogs([
    writeLog([buildLine(0, 'gate_started'), ...lines]),
  ]);
  return judgeRequests(logs, OBJECTIVES);
}

/** Cause of the only request of a log. */
function judgeSingle(lines: readonly LineFields[]) {
  const requests = judgeLog(lines);
  expect(requests.length).toEqual(1);
  return requests[0];
}

describe('judging of requests', () => {
  it('tells a misprediction from a late answer that was forecast', () => {
    // Guards against blaming the prediction for the time that a prompt was
    // deferred.
    const mispredicted = judgeSingle([
      buildPlaced(10, 'q'),
      buildEnded(900, 'q', {ms: 900, ttftMs: 600}),
    ]);
    expect(mispredicted.cause).toEqual('late-mispredicted');
    expect(mispredicted.forecast).toEqual({
      predictedMs: 110,
      ttftMs: 600,
      factsAgeMs: 20,
    });
    const forecast = judgeSingle([
      buildLine(5, 'stream_deferred', {requestId: 'q', predictedTtftMs: 80}),
      buildPlaced(250, 'q'),
      buildEnded(900, 'q', {ms: 900, ttftMs: 600}),
    ]);
    expect(forecast.cause).toEqual('late-predicted');
  });

  it('judges by the placement that produced the first token', () => {
    // Guards against comparing with the prediction of a failed attempt.
    const {cause, forecast} = judgeSingle([
      buildPlaced(10, 'q'),
      buildLine(50, 'attempt_failed', {requestId: 'q', target: 'e1'}),
      buildPlaced(60, 'q', {decoder: 'e2', predictedTtftMs: 500}),
      buildEnded(900, 'q', {ms: 900, ttftMs: 600}),
    ]);
    expect(cause).toEqual('late-predicted');
    expect(forecast?.predictedMs).toEqual(560);
  });

  it('finds inter-token latency where the first token was in time', () => {
    const {cause, lost, worth} = judgeSingle([
      buildPlaced(10, 'q'),
      buildEnded(900, 'q', {ms: 900, ttftMs: 300, maxItlMs: 251}),
    ]);
    expect(cause).toEqual('late-itl');
    expect(worth).toEqual(1.5);
    expect(lost).toEqual(1.125);
  });

  it('finds nothing at the objectives themselves', () => {
    const {cause, lost} = judgeSingle([
      buildPlaced(10, 'q'),
      buildEnded(900, 'q', {ms: 900, ttftMs: 300, maxItlMs: 250}),
    ]);
    expect(cause).toEqual(undefined);
    expect(lost).toEqual(0);
  });

  it('knows each end that is no answer', () => {
    const ends = {
      too_late: 'refused',
      overloaded: 'refused',
      no_target: 'refused',
      not_run: 'refused',
      timeout: 'cut',
      outcome_unknown: 'cut',
      target_failure: 'cut',
      caller_left: 'caller-left',
    } as const;
    for (const [outcome, cause] of Object.entries(ends)) {
      const judged = judgeSingle([buildEnded(900, 'q', {outcome})]);
      expect(judged.cause).toEqual(cause);
      expect(judged.lost).toEqual(judged.worth);
    }
    const failed = judgeSingle([buildEnded(900, 'q', {status: 500})]);
    expect(failed.cause).toEqual('cut');
  });

  it('judges a call by its whole answer', () => {
    const call = {route: 'orders', kind: 'unsafe', tokens: undefined};
    const noTokens = {ttftMs: undefined, maxItlMs: undefined};
    const late = judgeSingle([
      buildEnded(900, 'q', {...call, ...noTokens, ms: 201}),
    ]);
    expect(late.cause).toEqual('late-unpredicted');
    expect(late.size).toEqual('-');
    const inTime = judgeSingle([
      buildEnded(900, 'q', {...call, ...noTokens, ms: 200}),
    ]);
    expect(inTime.cause).toEqual(undefined);
  });

  it('counts a caller that came back once, by its answer', () => {
    // Guards against counting a request twice that a draining gate sent
    // elsewhere.
    const judged = judgeSingle([
      buildLine(5, 'request_refused', {requestId: 'q', reason: 'stopping'}),
      {...buildPlaced(20, 'q'), proc: 'g2'},
      {...buildEnded(510, 'q'), proc: 'g2'},
    ]);
    expect(judged.cause).toEqual(undefined);
    expect(judged.arrivedAt).toEqual(T0 + 5);
    const refused = judgeSingle([
      {...buildEnded(400, 'q', {outcome: 'overloaded'}), proc: 'g2'},
      buildLine(600, 'request_refused', {requestId: 'q', reason: 'stopping'}),
    ]);
    expect(refused.cause).toEqual('refused');
    // The gate that refused it early did not know its kind.
    expect(refused.route).toEqual('chat');
  });

  it('loses what a gate held when its process ended', () => {
    // Guards against calling a request lost that is open at the end of the log.
    const requests = judgeLog([
      buildPlaced(10, 'placed', {tokens: 90_000}),
      buildLine(20, 'stream_deferred', {requestId: 'kept'}),
      buildLine(900, 'gate_started'),
      buildPlaced(950, 'open'),
    ]);
    const short = requests.map(({requestId, cause, kind, isOpen}) => [
      requestId,
      cause,
      kind,
      isOpen,
    ]);
    expect(short).toEqual([
      ['placed', 'gate-ended', 'stream', false],
      ['kept', 'gate-ended', 'stream', false],
      ['open', undefined, 'stream', true],
    ]);
  });

  it('loses nothing with a gate that had ended it unsaid', () => {
    // Guards against calling a request lost whose end was dropped from the log.
    const requests = judgeLog([
      buildPlaced(10, 'unsaid'),
      buildEnded(40_000, 'other'),
      buildLine(41_000, 'gate_started'),
    ]);
    const requestWithoutEnd = requests.find(
      ({requestId}) => requestId === 'unsaid',
    );
    expect([requestWithoutEnd?.cause, requestWithoutEnd?.isOpen]).toEqual([
      undefined,
      true,
    ]);
  });

  it('loses what a gate held that never came back', () => {
    // Guards against missing a request that was lost with its host.
    const held = buildPlaced(10, 'held');
    const buildLaterEnd = (ms: number) => ({
      ...buildEnded(ms, 'other'),
      proc: 'g2',
    });
    expect(judgeLog([held, buildLaterEnd(11_000)])[0].cause).toEqual(
      'gate-ended',
    );
    expect(judgeLog([held, buildLaterEnd(9000)])[0].isOpen).toEqual(true);
  });

  it('says nothing of a forecast that a clock was set back over', () => {
    // Guards against a forecast error that is a clock step.
    const {cause, forecast} = judgeSingle([
      buildPlaced(40_000, 'q'),
      buildEnded(10_900, 'q', {ms: 900, ttftMs: 600}),
    ]);
    expect(forecast).toEqual(undefined);
    expect(cause).toEqual('late-unpredicted');
  });

  it('calls nothing late on a route without an objective', () => {
    const judged = judgeSingle([
      buildEnded(900, 'q', {route: 'toString', ms: 900, ttftMs: 800}),
    ]);
    expect(judged.hasObjective).toEqual(false);
    expect(judged.cause).toEqual(undefined);
  });

  it('keeps requests without an id apart', () => {
    const ends = [buildEnded(500, undefined), buildEnded(510, undefined)];
    expect(judgeLog(ends).length).toEqual(2);
  });
});
