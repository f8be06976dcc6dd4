import {describe, it} from 'node:test';
import {expect} from 'earl';
import {findSendsToLeaving, findSendsToResting} from './check-announcements.js';
import {buildHistory} from './test-history.js';
import type {GateOutage} from './gate-process.js';
import type {CallerRecord, InjectedFault} from './history.js';

const TARGET = 't4-1';

function buildRecord(requestId: string, sentAt: number): CallerRecord {
  return {
    requestId,
    kind: 'safe',
    gate: 1,
    key: 'key-1',
    sentAt,
    endedAt: sentAt + 50,
    status: 200,
    isSigned: true,
    isWhole: true,
    body: '',
    hasGivenUp: false,
  };
}

function buildRun(requestId: string, at: number, saidLeaving?: true) {
  const run = {requestId, target: TARGET, at, hasKey: false, account: 'acme'};
  return saidLeaving ? {...run, saidLeaving} : run;
}

const PAUSE: InjectedFault = {
  action: {kind: 'gate-pause', gate: 1},
  beganAt: 2000,
  endedAt: 2500,
};

describe('check of targets that announce their leave', () => {
  const findAt = (sentAt: number, faults: readonly InjectedFault[] = []) =>
    findSendsToLeaving(
      buildHistory({
        records: [buildRecord('a', 1000), buildRecord('b', sentAt)],
        runs: [buildRun('a', 1020, true), buildRun('b', sentAt + 5, true)],
        faults,
      }),
    ).map(({promise}) => promise);

  it('finds a request sent over two seconds after the answer was passed on', () => {
    expect(findAt(3050)).toEqual([]);
    expect(findAt(3051)).toEqual(['target-leaving']);
  });

  it('excuses a gate with a fault since then', () => {
    expect(findAt(4000, [PAUSE])).toEqual([]);
  });
});

describe('check of targets that ask for rest', () => {
  const findCount = (
    count: number,
    faults: readonly InjectedFault[] = [],
    outages: readonly GateOutage[] = [],
  ) => {
    const ids = Array.from({length: count}, (_, i) => `q${i}`);
    return findSendsToResting(
      buildHistory({
        records: ['a', ...ids].map(id => buildRecord(id, 1000)),
        refusals: [
          {requestId: 'a', target: TARGET, at: 1000, restMs: 3000},
          ...ids.slice(1).map(requestId => ({
            requestId,
            target: TARGET,
            at: 1501,
            restMs: 1,
          })),
        ],
        runs: ids.slice(0, 1).map(id => buildRun(id, 3999)),
        faults,
        outages,
      }),
    ).map(({promise}) => promise);
  };

  it('finds more than two requests, accepted or not, within the rest', () => {
    expect(findCount(2)).toEqual([]);
    expect(findCount(3)).toEqual(['target-rest']);
  });

  it('excuses a gate that a faulty link has kept from the refusal', () => {
    const fault = (target: number): InjectedFault => ({
      action: {kind: 'link-reset', target},
      beganAt: 1500,
      endedAt: 1500,
    });
    expect(findCount(3, [fault(4)])).toEqual([]);
    expect(findCount(3, [fault(1)])).toEqual(['target-rest']);
  });

  it('excuses a gate that has restarted in that time, long after its stop', () => {
    const outage = {isStop: true, from: 2000, to: 2400};
    expect(findCount(3, [], [{...outage, node: 'gate-1'}])).toEqual([]);
    expect(findCount(3, [], [{...outage, node: 'gate-2'}])).toEqual([
      'target-rest',
    ]);
  });

  it('excuses a gate with a fault in that time', () => {
    expect(findCount(3, [PAUSE])).toEqual([]);
  });
});
