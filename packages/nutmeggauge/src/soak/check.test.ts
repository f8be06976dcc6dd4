import {describe, it} from 'node:test';
import {STREAM_EVENTS, buildCallBody, buildEvent} from '@nutmeggauge/platform';
import {expect} from 'earl';
import {findViolations} from './check.js';
import type {TargetRun} from '@nutmeggauge/platform';
import type {CallerRecord, PlayedFault, SoakHistory} from './history.js';

const SERVED: CallerRecord = {
  requestId: 'q1',
  kind: 'unsafe',
  gate: 0,
  key: 'key-1',
  sentAt: 10_000,
  endedAt: 10_040,
  status: 200,
  isSigned: true,
  isWhole: true,
  body: buildCallBody('q1'),
  hasGivenUp: false,
};

const RUN: TargetRun = {
  requestId: 'q1',
  target: 't1',
  at: 10_005,
  hasKey: false,
  account: 'acme',
};

function buildHistory(changes: Partial<SoakHistory>): SoakHistory {
  return {
    startedAt: 0,
    endedAt: 10_500,
    records: [SERVED],
    runs: [RUN],
    faults: [],
    published: [],
    exits: [],
    outages: [],
    heldTickets: [],
    peakBytes: 0,
    ...changes,
  };
}

function listPromises(changes: Partial<SoakHistory>): readonly string[] {
  const violations = findViolations(buildHistory(changes), true);
  return violations.map(({promise}) => promise);
}

function buildStream(events: number): string {
  let text = '';
  for (let n = 1; n <= events; n++) text += buildEvent('q1', n);
  return text;
}

const STREAM: CallerRecord = {
  ...SERVED,
  kind: 'stream',
  body: buildStream(STREAM_EVENTS),
};

describe('checks of the soak', () => {
  it('find nothing in a run in which all went well', () => {
    expect(listPromises({})).toEqual([]);
    expect(listPromises({records: [STREAM]})).toEqual([]);
  });

  it('find a request whose connection ended without an answer', () => {
    const lost = {...SERVED, status: undefined, body: '', isWhole: false};
    const records = [lost, ...Array<CallerRecord>(9).fill(SERVED)];
    const outage = {node: 'gate-0', isStop: false, from: 9000, to: 10_010};
    const stop = (beganAt: number): PlayedFault => ({
      action: {kind: 'gate-drain', gate: 0},
      beganAt,
      endedAt: beganAt,
    });
    expect(listPromises({records})).toEqual(['answered']);
    expect(listPromises({records, outages: [outage]})).toEqual([]);
    const stopped = {...outage, isStop: true, from: 10_005, to: Infinity};
    expect(listPromises({records, outages: [stopped]})).toEqual(['answered']);
    const other = {...outage, node: 'gate-1'};
    expect(listPromises({records, outages: [other]})).toEqual(['answered']);
    const runs: readonly TargetRun[] = [];
    expect(listPromises({records, runs, faults: [stop(7000)]})).toEqual([]);
    expect(listPromises({records, runs, faults: [stop(9990)]})).toEqual([
      'answered',
    ]);
  });

  it('find an order that ran twice', () => {
    const runs = [RUN, {...RUN, target: 't2'}];
    expect(listPromises({runs})).toEqual(['at-most-once']);
  });

  it('find a request that was refused and ran', () => {
    const records = [{...SERVED, status: 503, body: ''}];
    expect(listPromises({records})).toEqual(['not-run', 'recovery']);
  });

  it('find an answer of another request, a short one and an unsigned one', () => {
    for (const changed of [
      {body: buildCallBody('q2')},
      {body: SERVED.body.slice(1)},
      {isSigned: false},
    ])
      expect(listPromises({records: [{...SERVED, ...changed}]})).toEqual([
        'whole-answer',
      ]);
  });

  it('find a stream that ends early and looks whole, not one that was cut', () => {
    const short = {...STREAM, body: buildStream(3)};
    expect(listPromises({records: [short]})).toEqual(['whole-answer']);
    expect(listPromises({records: [{...short, isWhole: false}]})).toEqual([]);
  });

  it('find a stream whose pieces of two runs overlap', () => {
    const body = buildStream(3) + buildStream(STREAM_EVENTS);
    const records = [{...STREAM, body}];
    expect(listPromises({records})).toEqual(['whole-answer']);
  });

  it('find a passed-on key, a wrong account, held memory and an exit', () => {
    expect(listPromises({runs: [{...RUN, hasKey: true}]})).toEqual([
      'key-kept',
    ]);
    expect(listPromises({runs: [{...RUN, account: 'other'}]})).toEqual([
      'account-set',
    ]);
    expect(listPromises({heldTickets: ['t1/x']})).toEqual(['memory-returned']);
    const exit = {node: 'gate-0', code: 1, signal: null, hadBegun: false};
    expect(listPromises({exits: [exit]})).toEqual(['no-exit']);
  });

  it('find a program that SIGHUP ended, not a Node that had not run it yet', () => {
    const exit = {node: 'gate-0', code: null, signal: 'SIGHUP'};
    const begun = {...exit, hadBegun: true};
    expect(listPromises({exits: [begun]})).toEqual(['no-exit']);
    expect(listPromises({exits: [{...exit, hadBegun: false}]})).toEqual([]);
  });

  it('find a late answer, and excuse the gate that was frozen', () => {
    const records = [{...SERVED, endedAt: 15_200}];
    expect(listPromises({records})).toEqual(['answered-in-time']);
    const faults: PlayedFault[] = [
      {action: {kind: 'gate-pause', gate: 0}, beganAt: 9000, endedAt: 11_000},
    ];
    expect(listPromises({records, faults})).toEqual([]);
  });

  it('find work for a target that has left and for a key that was revoked', () => {
    const draining = {kind: 'target-draining', id: 't1', at: 7000} as const;
    expect(listPromises({published: [draining]})).toEqual(['drain']);
    const revoked = {kind: 'key-revoked', id: 'key-1', at: 7000} as const;
    expect(listPromises({published: [revoked]})).toEqual(['revoked-key']);
  });

  it('find a request that a graceful stop cut off', () => {
    const records = [{...SERVED, isWhole: false, status: undefined, body: ''}];
    const faults: PlayedFault[] = [
      {action: {kind: 'gate-drain', gate: 0}, beganAt: 9900, endedAt: 10_010},
    ];
    expect(listPromises({records, faults})).toEqual([
      'answered',
      'graceful-stop',
      'recovery',
    ]);
  });
});
