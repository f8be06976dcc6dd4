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
import {judgeRequests, summarizeLosses} from './summarize-losses.js';
import type {LogLineFields} from '../test/gate-lines.js';

const OBJECTIVES = {routes: {chat: {ttftMs: 300, itlMs: 250}}};

function summarizeLog(lines: readonly LogLineFields[]) {
  const logFile = writeLog([buildLogLine(0, 'gate_started'), ...lines]);
  const logs = readGateLogs([logFile]);
  return summarizeLosses(logs, judgeRequests(logs, OBJECTIVES));
}

/**
 * Builds the lines of a stream that arrives at `ms` and has its first token
 * after `ttftMs`.
 */
function buildStream(
  ms: number,
  id: string,
  ttftMs: number,
  placed: LogLineFields = {},
  ended: LogLineFields = {},
): readonly LogLineFields[] {
  return [
    buildStreamPlacedLine(ms, id, placed),
    buildRequestEndedLine(ms + 2000, id, {ms: 2000, ttftMs, ...ended}),
  ];
}

describe('loss summaries', () => {
  it('sums lost worth by kind and cause, largest loss first', () => {
    const {kinds, worth, lost} = summarizeLog([
      ...buildStream(0, 'a', 100),
      ...buildStream(10, 'b', 600),
      ...buildStream(
        20,
        'c',
        900,
        {tokens: 90_000, predictedTtftMs: 800},
        {tokens: 90_000},
      ),
      buildRequestEndedLine(500, 'd', {outcome: 'too_late', tokens: 90_000}),
    ]);
    expect(kinds.map(kind => [kind.size, kind.requests, kind.lost])).toEqual([
      ['32k-100k', 2, 17.5],
      ['1k-8k', 2, 1.125],
    ]);
    expect(kinds[0].byCause['late-predicted']).toEqual({
      requests: 1,
      worth: 7.5,
    });
    expect(kinds[0].byCause.refused).toEqual({requests: 1, worth: 10});
    expect(kinds[1].byCause['late-mispredicted']).toEqual({
      requests: 1,
      worth: 1.125,
    });
    expect([worth, lost]).toEqual([23, 18.625]);
  });

  it('summarizes forecast errors by prompt size and by age of the fleet state', () => {
    // Forecasts from an old copy of the fleet state have larger errors.
    const {forecasts} = summarizeLog([
      ...buildStream(0, 'a', 130),
      ...buildStream(10, 'b', 90),
      ...buildStream(20, 'c', 600, {factsAgeMs: 5000}),
    ]);
    expect(forecasts).toEqual([
      {size: '1k-8k', age: 'all', count: 3, p50: 30, p90: 406, most: 500},
      {size: '1k-8k', age: '<= 50 ms', count: 2, p50: 10, p90: 26, most: 30},
      {
        size: '1k-8k',
        age: '> 4000 ms',
        count: 1,
        p50: 500,
        p90: 500,
        most: 500,
      },
    ]);
  });

  it('lists time windows with a loss, largest loss first', () => {
    const {windows} = summarizeLog([
      ...buildStream(100, 'a', 600),
      ...buildStream(4100, 'b', 600),
      ...buildStream(4200, 'c', 600),
      ...buildStream(8100, 'd', 100),
    ]);
    expect(windows.map(({from, lost}) => [from - LOG_START_MS, lost])).toEqual([
      [4000, 2.25],
      [0, 1.125],
    ]);
    expect(windows[0].mainCause).toEqual('late-mispredicted');
  });

  it('orders engines by late answers, and counts the late answers that an engine helped with', () => {
    const {engines} = summarizeLog([
      ...buildStream(0, 'a', 100),
      ...buildStream(
        10,
        'b',
        600,
        {decoder: 'e2', helpers: ['e3']},
        {target: 'e2'},
      ),
      ...buildStream(20, 'c', 100, {}, {target: 'e2', maxItlMs: 900}),
      buildLogLine(30, 'attempt_failed', {requestId: 'd', target: 'e1'}),
      ...buildStream(40, 'd', 100),
      buildRequestEndedLine(900, 'e', {kind: 'safe', target: 'plain-1'}),
    ]);
    expect(engines.map(e => [e.target, e.answers, e.late, e.lateItl])).toEqual([
      ['e2', 2, 2, 1],
      ['e1', 2, 0, 0],
      ['e3', 0, 0, 0],
    ]);
    expect(engines[1].failedAttempts).toEqual(1);
    expect(engines[2].helpedLate).toEqual(1);
  });

  it('estimates the worth missed in a gap from the average load of the gate', () => {
    // The gate is killed after a second in which it received a worth of 3, and
    // starts again 500 ms later. Then it drains, fails to start once, and
    // starts 1,000 ms after the drain.
    const {gaps, estimatedNoGate} = summarizeLog([
      buildRequestEndedLine(400, 'a', {ms: 100}),
      buildRequestEndedLine(1000, 'b', {ms: 100}),
      buildLogLine(1500, 'gate_started'),
      buildLogLine(2500, 'drain_finished'),
      {level: 'info', event: 'program_starting'},
      buildLogLine(2900, 'gate_start_failed'),
      {level: 'info', event: 'program_starting'},
      buildLogLine(3500, 'gate_started'),
    ]);
    expect(
      gaps.map(gap => [gap.from - LOG_START_MS, gap.ms, gap.hasDrained]),
    ).toEqual([
      [1000, 500, false],
      [2500, 1000, true],
    ]);
    // The gate received a worth of 3 in the 2,000 ms in which it logged.
    expect(gaps[0].estimatedWorth).toEqual(0.75);
    expect(estimatedNoGate).toEqual(2.25);
  });

  it('reports a gap of 0 ms when the clock was set back between two incarnations', () => {
    const {gaps} = summarizeLog([
      buildLogLine(60_000, 'config_applied'),
      buildLogLine(10_000, 'gate_started'),
    ]);
    expect(gaps.map(({ms}) => ms)).toEqual([0]);
  });

  it('counts dropped lines, open requests and missing forecasts, and lists routes without an objective', () => {
    const {coverage} = summarizeLog([
      buildLogLine(5, 'log_lines_dropped', {lines: 7}),
      // The placement of this request is among the dropped lines.
      buildRequestEndedLine(900, 'a', {route: 'other'}),
      buildStreamPlacedLine(950, 'b'),
    ]);
    expect(coverage.droppedLines).toEqual(7);
    expect(coverage.withoutForecast).toEqual(1);
    expect(coverage.openRequests).toEqual(1);
    expect(coverage.routesWithoutObjective).toEqual(['other']);
  });
});
