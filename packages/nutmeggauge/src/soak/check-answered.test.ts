import {describe, it} from 'node:test';
import {expect} from 'earl';
import {findUnanswered} from './check-answered.js';
import {findCutByStop} from './check-stops.js';
import {parseRuns} from './gate-stops.js';
import {buildHistory} from './test-history.js';
import type {TargetRun} from '@nutmeggauge/platform';
import type {FaultAction} from './scheduled-fault.js';
import type {CallerRecord, InjectedFault, SoakHistory} from './history.js';

/** Time of the SIGTERM, in ms. */
const STOP_AT = 20_000;

function buildFault(
  action: FaultAction,
  beganAt = STOP_AT,
  endedAt = beganAt,
): InjectedFault {
  return {action, beganAt, endedAt};
}

const STOP = {node: 'gate-0', at: STOP_AT};

/** Builds a stream without an answer; times in ms after the SIGTERM. */
function buildCut(
  sentMs: number,
  cutMs: number,
  changes: Partial<CallerRecord> = {},
): CallerRecord {
  return {
    requestId: 'q1',
    kind: 'long',
    gate: 0,
    key: 'key-1',
    sentAt: STOP_AT + sentMs,
    endedAt: STOP_AT + cutMs,
    status: undefined,
    isSigned: false,
    isWhole: false,
    body: '',
    hasGivenUp: false,
    ...changes,
  };
}

/** Builds a run of the stream; times in ms after the SIGTERM. */
function buildRun(
  fromMs: number,
  toMs: number,
  outcome: TargetRun['outcome'] = 'cut',
): TargetRun {
  return {
    requestId: 'q1',
    target: 't1-2',
    at: STOP_AT + fromMs,
    hasKey: false,
    account: 'acme',
    endedAt: STOP_AT + toMs,
    outcome,
  };
}

function countUnanswered(
  record: CallerRecord,
  changes: Partial<SoakHistory> = {},
  hasTiming = true,
): number {
  const history = buildHistory({lasting: [record], stops: [STOP], ...changes});
  return findUnanswered(history, hasTiming).length;
}

function countCutByStop(
  record: CallerRecord,
  changes: Partial<SoakHistory>,
): number {
  const history = buildHistory({lasting: [record], stops: [STOP], ...changes});
  return findCutByStop(history, parseRuns(history.runs)).length;
}

describe('missing answers around a stop', () => {
  // Guards against taking the gate's own limit for the platform's rule.
  it('reports a stream that no target has seen, whenever it is cut', () => {
    for (const cutMs of [1000, 7600, 7990, 8900])
      for (const hasTiming of [true, false])
        expect(countUnanswered(buildCut(-1000, cutMs), {}, hasTiming)).toEqual(
          1,
        );
    expect(countUnanswered(buildCut(2700, 7600))).toEqual(1);
    expect(countUnanswered(buildCut(2700, 7600), {}, false)).toEqual(1);
  });

  // Guards against excusing requests that the notice of a stop does not cover.
  it('excuses a request at work in the last sixth that was sent within 3 s only', () => {
    const runs = [buildRun(4000, 7500)];
    expect(countUnanswered(buildCut(2900, 7500), {runs})).toEqual(0);
    expect(countUnanswered(buildCut(3100, 7500), {runs})).toEqual(1);
    const early = {runs: [buildRun(4000, 6600)]};
    expect(countUnanswered(buildCut(2900, 6600), early)).toEqual(1);
    expect(countUnanswered(buildCut(2900, 7500), early)).toEqual(1);
  });

  // Guards against cuts that pass for requests that cross a close.
  it('excuses a request that crosses the close and that no target has seen', () => {
    expect(countUnanswered(buildCut(2600, 2790))).toEqual(0);
    expect(countUnanswered(buildCut(2600, 2810))).toEqual(1);
    expect(countUnanswered(buildCut(2400, 2410))).toEqual(1);
    const runs = [buildRun(2650, 2790)];
    expect(countUnanswered(buildCut(2600, 2790), {runs})).toEqual(1);
  });

  it('excuses a request that crosses the close of a gate taken out while suspended', () => {
    const suspend = (fromMs: number, toMs: number) => [
      buildFault(
        {kind: 'gate-pause', gate: 0},
        STOP_AT + fromMs,
        STOP_AT + toMs,
      ),
    ];
    const crossing = buildCut(1300, 1310);
    const held = buildCut(1300, 1510);
    for (const [faults, counts] of [
      [suspend(-2000, 1100), [0, 1]],
      [suspend(-1000, 1100), [1, 1]],
      [suspend(-2000, -1), [1, 1]],
    ] as const)
      expect([
        countUnanswered(crossing, {faults}),
        countUnanswered(held, {faults}),
      ]).toEqual([...counts]);
  });

  // Guards against a stop that excuses whatever its gate loses afterwards.
  it('reports a request that is cut after the planned work', () => {
    expect(countUnanswered(buildCut(9500, 9600))).toEqual(1);
    expect(countUnanswered(buildCut(8950, 9600))).toEqual(1);
  });

  // Guards against a stop of an earlier process that excuses what a later one does.
  it('counts from the latest stop', () => {
    const stops = [STOP, {...STOP, at: STOP_AT + 2000}];
    const runs = [buildRun(4000, 9500)];
    expect(countUnanswered(buildCut(3500, 9500), {runs, stops})).toEqual(0);
    const early = {runs: [buildRun(4000, 7500)], stops};
    expect(countUnanswered(buildCut(2500, 7500), early)).toEqual(1);
  });

  // Guards against losing what a starting gate holds when it is stopped.
  it('reports a request that a starting gate held when it was stopped', () => {
    const stops = [STOP, {...STOP, at: STOP_AT + 900}];
    const outages = [
      {node: 'gate-0', isStop: true, from: STOP_AT + 500, to: STOP_AT + 901},
      {node: 'gate-0', isStop: true, from: STOP_AT + 901, to: Infinity},
    ];
    expect(countUnanswered(buildCut(600, 901), {stops, outages})).toEqual(1);
    expect(countUnanswered(buildCut(600, 602), {stops, outages})).toEqual(0);
  });

  it('excuses a gate that was disturbed only late or near the end of its grace', () => {
    const pause = {kind: 'gate-pause', gate: 0} as const;
    const faults = [buildFault(pause, STOP_AT + 100, STOP_AT + 2000)];
    expect(countUnanswered(buildCut(2600, 6000), {faults})).toEqual(0);
    expect(countUnanswered(buildCut(1000, 7600), {faults})).toEqual(0);
    expect(countUnanswered(buildCut(1000, 7000), {faults})).toEqual(1);
    const other = [buildFault({...pause, gate: 1})];
    expect(countUnanswered(buildCut(1000, 7600), {faults: other})).toEqual(1);
  });
});

describe('answers that a stop cuts off', () => {
  const begun = {status: 200, isSigned: true, body: 'id: 1'};

  // Guards against excusing a gate that breaks off what its target has finished.
  it('reports an answer that waits for a slow caller only', () => {
    const record = buildCut(1000, 7500, begun);
    const finished = [buildRun(1100, 5000, 'finished')];
    expect(countCutByStop(record, {runs: finished})).toEqual(1);
    const atWork = [buildRun(1100, 7500)];
    expect(countCutByStop(record, {runs: atWork})).toEqual(0);
  });

  // Guards against streams that are cut because of targets they do not use.
  it('excuses an answer only if its own target or its link broke off', () => {
    const record = buildCut(-1000, 3000, begun);
    const runs = [buildRun(-900, 3000)];
    expect(countCutByStop(record, {runs})).toEqual(1);
    const brokenOff = [buildRun(-900, 3000, 'broken-off')];
    expect(countCutByStop(record, {runs: brokenOff})).toEqual(0);
    for (const target of [1, 2]) {
      const reset = buildFault({kind: 'link-reset', target}, STOP_AT + 2900);
      expect(countCutByStop(record, {runs, faults: [reset]})).toEqual(
        target - 1,
      );
    }
  });

  it('excuses an answer whose time was over or whose gate was disturbed', () => {
    const runs = [buildRun(-900, 3000)];
    const call = buildCut(-1000, 3000, {...begun, kind: 'stream'});
    expect(countCutByStop(call, {runs})).toEqual(0);
    const short = buildCut(-990, 3000, {...begun, kind: 'stream'});
    expect(countCutByStop(short, {runs})).toEqual(1);
    const pause = buildFault({kind: 'gate-pause', gate: 0}, STOP_AT - 3000);
    expect(countCutByStop(short, {runs, faults: [pause]})).toEqual(0);
  });
});
