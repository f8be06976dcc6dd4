import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  buildRequestEndedLine,
  buildLogLine,
  buildStreamPlacedLine,
  LOG_START_MS,
  writeLog,
} from '../test/gate-lines.js';
import {readGateLogs} from './gate-incarnations.js';
import {judgeRequests} from './summarize-losses.js';
import type {LogLineFields} from '../test/gate-lines.js';

const OBJECTIVES = {
  routes: {chat: {ttftMs: 300, itlMs: 250}, orders: {ttftMs: 200}},
};

function judgeLog(lines: readonly LogLineFields[]) {
  const logs = readGateLogs([
    writeLog([buildLogLine(0, 'gate_started'), ...lines]),
  ]);
  return judgeRequests(logs, OBJECTIVES);
}

/** Judges a log with exactly one request. */
function judgeSingle(lines: readonly LogLineFields[]) {
  const requests = judgeLog(lines);
  expect(requests.length).toEqual(1);
  return requests[0];
}

describe('judging requests', () => {
  it('distinguishes a late answer predicted in time from a late answer predicted late', () => {
    // Guards against blaming the prediction for the time for which the
    // placement of a prompt was deferred.
    const mispredicted = judgeSingle([
      buildStreamPlacedLine(10, 'q'),
      buildRequestEndedLine(900, 'q', {ms: 900, ttftMs: 600}),
    ]);
    expect(mispredicted.cause).toEqual('late-mispredicted');
    expect(mispredicted.forecast).toEqual({
      predictedMs: 110,
      ttftMs: 600,
      factsAgeMs: 20,
    });
    const predictedLate = judgeSingle([
      buildLogLine(5, 'stream_deferred', {requestId: 'q', predictedTtftMs: 80}),
      buildStreamPlacedLine(250, 'q'),
      buildRequestEndedLine(900, 'q', {ms: 900, ttftMs: 600}),
    ]);
    expect(predictedLate.cause).toEqual('late-predicted');
  });

  it('compares the time to first token with the prediction of the placement that produced it', () => {
    // Guards against a comparison with the prediction of a failed attempt.
    const {cause, forecast} = judgeSingle([
      buildStreamPlacedLine(10, 'q'),
      buildLogLine(50, 'attempt_failed', {requestId: 'q', target: 'e1'}),
      buildStreamPlacedLine(60, 'q', {decoder: 'e2', predictedTtftMs: 500}),
      buildRequestEndedLine(900, 'q', {ms: 900, ttftMs: 600}),
    ]);
    expect(cause).toEqual('late-predicted');
    expect(forecast?.predictedMs).toEqual(560);
  });

  it('judges a stream late by inter-token latency when its first token was in time', () => {
    const {cause, lost, worth} = judgeSingle([
      buildStreamPlacedLine(10, 'q'),
      buildRequestEndedLine(900, 'q', {ms: 900, ttftMs: 300, maxItlMs: 251}),
    ]);
    expect(cause).toEqual('late-itl');
    expect(worth).toEqual(1.5);
    expect(lost).toEqual(1.125);
  });

  it('finds no loss when both latencies equal their objectives', () => {
    const {cause, lost} = judgeSingle([
      buildStreamPlacedLine(10, 'q'),
      buildRequestEndedLine(900, 'q', {ms: 900, ttftMs: 300, maxItlMs: 250}),
    ]);
    expect(cause).toEqual(undefined);
    expect(lost).toEqual(0);
  });

  it('assigns a cause and a full loss to each outcome that is not a successful answer', () => {
    const causesByOutcome = {
      too_late: 'refused',
      overloaded: 'refused',
      no_target: 'refused',
      not_run: 'refused',
      timeout: 'cut',
      outcome_unknown: 'cut',
      target_failure: 'cut',
      caller_left: 'caller-left',
    } as const;
    for (const [outcome, cause] of Object.entries(causesByOutcome)) {
      const judged = judgeSingle([buildRequestEndedLine(900, 'q', {outcome})]);
      expect(judged.cause).toEqual(cause);
      expect(judged.lost).toEqual(judged.worth);
    }
    const failed = judgeSingle([
      buildRequestEndedLine(900, 'q', {status: 500}),
    ]);
    expect(failed.cause).toEqual('cut');
  });

  it('judges a call by the time to its complete answer', () => {
    const call = {route: 'orders', kind: 'unsafe', tokens: undefined};
    const noTokenTimings = {ttftMs: undefined, maxItlMs: undefined};
    const late = judgeSingle([
      buildRequestEndedLine(900, 'q', {...call, ...noTokenTimings, ms: 201}),
    ]);
    expect(late.cause).toEqual('late-unpredicted');
    expect(late.size).toEqual('-');
    const inTime = judgeSingle([
      buildRequestEndedLine(900, 'q', {...call, ...noTokenTimings, ms: 200}),
    ]);
    expect(inTime.cause).toEqual(undefined);
  });

  it('judges a request retried at another gate once, by its answered or else its last attempt', () => {
    // Guards against counting a request twice when a draining gate refuses it
    // and the caller retries it at another gate.
    const judged = judgeSingle([
      buildLogLine(5, 'request_refused', {requestId: 'q', reason: 'stopping'}),
      {...buildStreamPlacedLine(20, 'q'), proc: 'g2'},
      {...buildRequestEndedLine(510, 'q'), proc: 'g2'},
    ]);
    expect(judged.cause).toEqual(undefined);
    expect(judged.arrivedAt).toEqual(LOG_START_MS + 5);
    const refused = judgeSingle([
      {...buildRequestEndedLine(400, 'q', {outcome: 'overloaded'}), proc: 'g2'},
      buildLogLine(600, 'request_refused', {
        requestId: 'q',
        reason: 'stopping',
      }),
    ]);
    expect(refused.cause).toEqual('refused');
    // The attempt refused before routing has no route, so the other attempt
    // supplies it.
    expect(refused.route).toEqual('chat');
  });

  it('assigns gate-ended to requests in progress when their gate process ended', () => {
    // Guards against counting a request as lost that is still open at the end
    // of the log.
    const requests = judgeLog([
      buildStreamPlacedLine(10, 'placed', {tokens: 90_000}),
      buildLogLine(20, 'stream_deferred', {requestId: 'kept'}),
      buildLogLine(900, 'gate_started'),
      buildStreamPlacedLine(950, 'open'),
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

  it('leaves a request open when its gate kept logging for longer than any request lasts', () => {
    // Guards against counting a request as lost when only the line of its end
    // was dropped from the log.
    const requests = judgeLog([
      buildStreamPlacedLine(10, 'unsaid'),
      buildRequestEndedLine(40_000, 'other'),
      buildLogLine(41_000, 'gate_started'),
    ]);
    const requestWithoutEnd = requests.find(
      ({requestId}) => requestId === 'unsaid',
    );
    expect([requestWithoutEnd?.cause, requestWithoutEnd?.isOpen]).toEqual([
      undefined,
      true,
    ]);
  });

  it('assigns gate-ended to a request in progress at a gate that stops logging for good', () => {
    // Guards against missing a request that was lost with the host of its gate.
    const held = buildStreamPlacedLine(10, 'held');
    const buildLaterEnd = (ms: number) => ({
      ...buildRequestEndedLine(ms, 'other'),
      proc: 'g2',
    });
    expect(judgeLog([held, buildLaterEnd(11_000)])[0].cause).toEqual(
      'gate-ended',
    );
    expect(judgeLog([held, buildLaterEnd(9000)])[0].isOpen).toEqual(true);
  });

  it('reports no forecast when the clock was set back during the request', () => {
    // Guards against reporting a clock step as a forecast error.
    const {cause, forecast} = judgeSingle([
      buildStreamPlacedLine(40_000, 'q'),
      buildRequestEndedLine(10_900, 'q', {ms: 900, ttftMs: 600}),
    ]);
    expect(forecast).toEqual(undefined);
    expect(cause).toEqual('late-unpredicted');
  });

  it('judges no answer late on a route without an objective', () => {
    const judged = judgeSingle([
      buildRequestEndedLine(900, 'q', {
        route: 'toString',
        ms: 900,
        ttftMs: 800,
      }),
    ]);
    expect(judged.hasObjective).toEqual(false);
    expect(judged.cause).toEqual(undefined);
  });

  it('judges requests without an id as separate requests', () => {
    const ends = [
      buildRequestEndedLine(500, undefined),
      buildRequestEndedLine(510, undefined),
    ];
    expect(judgeLog(ends).length).toEqual(2);
  });
});
