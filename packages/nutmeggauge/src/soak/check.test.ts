import {describe, it} from 'node:test';
import {STREAM_EVENTS, buildCallBody, buildEvent} from '@nutmeggauge/platform';
import {expect} from 'earl';
import {findViolations} from './check.js';
import {buildHistory} from './test-history.js';
import type {RunOutcome, TargetRun} from '@nutmeggauge/platform';
import type {CallerRecord, InjectedFault, SoakHistory} from './history.js';

const SERVED_RECORD: CallerRecord = {
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

const TARGET_RUN: TargetRun = {
  requestId: 'q1',
  target: 't1',
  at: 10_005,
  hasKey: false,
  account: 'acme',
};

function listViolatedInvariants(
  changes: Partial<SoakHistory>,
): readonly string[] {
  const violations = findViolations(
    buildHistory({records: [SERVED_RECORD], runs: [TARGET_RUN], ...changes}),
    true,
  );
  return violations.map(({promise}) => promise);
}

function buildStream(events: number): string {
  let text = '';
  for (let eventNumber = 1; eventNumber <= events; eventNumber++)
    text += buildEvent('q1', eventNumber);
  return text;
}

const STREAM_RECORD: CallerRecord = {
  ...SERVED_RECORD,
  kind: 'stream',
  body: buildStream(STREAM_EVENTS),
};

describe('invariant checks of the soak', () => {
  it('reports no violation for a call and a stream that were answered completely', () => {
    expect(listViolatedInvariants({})).toEqual([]);
    expect(listViolatedInvariants({records: [STREAM_RECORD]})).toEqual([]);
  });

  it('reports an unanswered request unless its gate was down or had received SIGTERM early enough', () => {
    const lost = {
      ...SERVED_RECORD,
      status: undefined,
      body: '',
      isWhole: false,
    };
    const records = [lost, ...Array<CallerRecord>(9).fill(SERVED_RECORD)];
    const outage = {node: 'gate-0', isStop: false, from: 9000, to: 10_010};
    const stop = (at: number) => ({node: 'gate-0', at});
    expect(listViolatedInvariants({records})).toEqual(['answered']);
    expect(listViolatedInvariants({records, outages: [outage]})).toEqual([]);
    const stopped = {...outage, isStop: true, from: 10_005, to: Infinity};
    expect(listViolatedInvariants({records, outages: [stopped]})).toEqual([
      'answered',
    ]);
    const other = {...outage, node: 'gate-1'};
    expect(listViolatedInvariants({records, outages: [other]})).toEqual([
      'answered',
    ]);
    const runs: readonly TargetRun[] = [];
    expect(
      listViolatedInvariants({records, runs, stops: [stop(7000)]}),
    ).toEqual([]);
    expect(
      listViolatedInvariants({records, runs, stops: [stop(9990)]}),
    ).toEqual(['answered']);
  });

  it('reports an at-most-once request that ran at two targets', () => {
    const runs = [TARGET_RUN, {...TARGET_RUN, target: 't2'}];
    expect(listViolatedInvariants({runs})).toEqual(['at-most-once']);
  });

  it('reports a request that ran although its caller received a 503', () => {
    const records = [{...SERVED_RECORD, status: 503, body: ''}];
    expect(listViolatedInvariants({records})).toEqual(['not-run', 'recovery']);
  });

  it('reports an answer that belongs to another request, is truncated or is unsigned', () => {
    for (const changed of [
      {body: buildCallBody('q2')},
      {body: SERVED_RECORD.body.slice(1)},
      {isSigned: false},
    ])
      expect(
        listViolatedInvariants({records: [{...SERVED_RECORD, ...changed}]}),
      ).toEqual(['whole-answer']);
  });

  it('reports a truncated stream that ended normally but not one whose connection broke', () => {
    const short = {...STREAM_RECORD, body: buildStream(3)};
    expect(listViolatedInvariants({records: [short]})).toEqual([
      'whole-answer',
    ]);
    expect(
      listViolatedInvariants({records: [{...short, isWhole: false}]}),
    ).toEqual([]);
  });

  it('reports a stream that repeats events of an earlier attempt', () => {
    const body = buildStream(3) + buildStream(STREAM_EVENTS);
    const records = [{...STREAM_RECORD, body}];
    expect(listViolatedInvariants({records})).toEqual(['whole-answer']);
  });

  it('reports a forwarded key, a wrong account, a held reservation and an unexpected exit', () => {
    expect(
      listViolatedInvariants({runs: [{...TARGET_RUN, hasKey: true}]}),
    ).toEqual(['key-kept']);
    expect(
      listViolatedInvariants({runs: [{...TARGET_RUN, account: 'other'}]}),
    ).toEqual(['account-set']);
    expect(listViolatedInvariants({heldTickets: ['t1/x']})).toEqual([
      'memory-returned',
    ]);
    const exit = {node: 'gate-0', code: 1, signal: null, hadBegun: false};
    expect(listViolatedInvariants({exits: [exit]})).toEqual(['no-exit']);
  });

  it('reports an exit by SIGHUP only if the gate program had begun to log', () => {
    const exit = {node: 'gate-0', code: null, signal: 'SIGHUP'};
    const begun = {...exit, hadBegun: true};
    expect(listViolatedInvariants({exits: [begun]})).toEqual(['no-exit']);
    expect(
      listViolatedInvariants({exits: [{...exit, hadBegun: false}]}),
    ).toEqual([]);
  });

  it('reports an answer after the time bound unless the gate was suspended', () => {
    const records = [{...SERVED_RECORD, endedAt: 15_200}];
    expect(listViolatedInvariants({records})).toEqual(['answered-in-time']);
    const faults: InjectedFault[] = [
      {action: {kind: 'gate-pause', gate: 0}, beganAt: 9000, endedAt: 11_000},
    ];
    expect(listViolatedInvariants({records, faults})).toEqual([]);
  });

  it('reports runs at a drained target and runs for a revoked key', () => {
    const draining = {kind: 'target-draining', id: 't1', at: 7000} as const;
    expect(listViolatedInvariants({published: [draining]})).toEqual(['drain']);
    const revoked = {kind: 'key-revoked', id: 'key-1', at: 7000} as const;
    expect(listViolatedInvariants({published: [revoked]})).toEqual([
      'revoked-key',
    ]);
  });

  it('reports an answer cut by a graceful stop unless its target sent another behind it', () => {
    // Guards against an excuse for stops that cut an answer that a target has made.
    const cut = {...SERVED_RECORD, isWhole: false, body: ''};
    const records = [cut, ...Array<CallerRecord>(9).fill(SERVED_RECORD)];
    const stops = [{node: 'gate-0', at: 9900}];
    const run = {...TARGET_RUN, endedAt: 10_010};
    const judge = (outcome: RunOutcome) =>
      listViolatedInvariants({records, stops, runs: [{...run, outcome}]});
    expect(judge('finished')).toEqual(['graceful-stop']);
    expect(judge('cut')).toEqual(['graceful-stop']);
    expect(judge('answered-twice')).toEqual([]);
  });

  it('reports a running request that a graceful stop cut off', () => {
    const records = [
      {...SERVED_RECORD, isWhole: false, status: undefined, body: ''},
    ];
    const stops = [{node: 'gate-0', at: 9900}];
    expect(listViolatedInvariants({records, stops})).toEqual([
      'answered',
      'graceful-stop',
      'recovery',
    ]);
  });
});
