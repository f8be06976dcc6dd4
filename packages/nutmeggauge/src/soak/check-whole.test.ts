import {describe, it} from 'node:test';
import {buildCallBody, buildLargeCallBody} from '@nutmeggauge/platform';
import {expect} from 'earl';
import {checkAnswer} from './check-whole.js';
import {buildHistory} from './test-history.js';
import type {TargetRun} from '@nutmeggauge/platform';
import type {CallerRecord, SoakHistory} from './history.js';

const BODY = buildCallBody('q1');

const RECORD: CallerRecord = {
  requestId: 'q1',
  kind: 'safe',
  gate: 0,
  key: 'key-1',
  sentAt: 10_000,
  endedAt: 10_040,
  status: 200,
  isSigned: true,
  isWhole: true,
  isUnframed: true,
  body: BODY,
  hasGivenUp: false,
};

const RUN: TargetRun = {
  requestId: 'q1',
  target: 't1',
  at: 10_005,
  hasKey: false,
  account: 'acme',
};

const LARGE_RUN: TargetRun = {...RUN, isLarge: true};

const KILL = {node: 'gate-0', isStop: false, from: 10_020, to: 11_000};

function isViolation(
  changes: Partial<CallerRecord>,
  runs: readonly TargetRun[] = [RUN],
  history: Partial<SoakHistory> = {},
): boolean {
  const record = {...RECORD, ...changes};
  return checkAnswer(buildHistory(history), record, runs).length > 0;
}

describe('check of answers that look whole', () => {
  it('reports an answer by close that is cut, or that contains a second one', () => {
    expect(isViolation({})).toEqual(false);
    expect(isViolation({body: BODY.slice(0, 99)})).toEqual(true);
    expect(isViolation({body: `${BODY}HTTP/1.1 200 OK`})).toEqual(true);
  });

  it('reports a reset answer by close only if its bytes differ from the beginning', () => {
    const isWhole = false;
    expect(isViolation({isWhole, body: BODY.slice(0, 99)})).toEqual(false);
    expect(isViolation({isWhole, body: BODY.slice(1, 99)})).toEqual(true);
  });

  it('reports a cut answer at a kill of the gate if it has a length or chunks', () => {
    // Guards against an excuse for answers whose end a caller can tell.
    const cut = {body: BODY.slice(0, 99)};
    const outages = [KILL];
    expect(isViolation(cut, [RUN], {outages})).toEqual(false);
    const framed = {...cut, isUnframed: undefined};
    expect(isViolation(framed, [RUN], {outages})).toEqual(true);
    const second = {body: `${BODY}HTTP/1.1 200 OK`};
    expect(isViolation(second, [RUN], {outages})).toEqual(true);
    for (const changed of [
      {node: 'gate-1'},
      {isStop: true},
      {from: 9000},
      {from: 10_050},
    ]) {
      const others = [{...KILL, ...changed}];
      expect(isViolation(cut, [RUN], {outages: others})).toEqual(true);
    }
  });

  it('expects the body that a target sent for the request', () => {
    // Guards against a part of a large body that passes for the usual one.
    const large = {body: buildLargeCallBody('q1')};
    expect(isViolation(large, [LARGE_RUN])).toEqual(false);
    expect(isViolation(large)).toEqual(true);
    expect(isViolation({}, [LARGE_RUN])).toEqual(true);
    expect(isViolation({}, [LARGE_RUN, RUN])).toEqual(false);
  });
});
