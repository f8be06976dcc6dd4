import {Writable} from 'node:stream';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createDecisionLog} from '../observe/decision-log.js';
import {buildTarget} from '../test/build-target.js';
import {FakeReports} from '../test/fake-reports.js';
import {createQuietTurns} from '../test/quiet-turns.js';
import {EngineSlowdowns} from './engine-slowdowns.js';
import type {TargetAccess} from '../limits/target-access.js';
import type {EngineSlowdown} from './engine-slowdowns.js';

function createSlowdowns(
  assignedIds: readonly string[] = ['e1', 'e2'],
  coldIds: readonly string[] = [],
) {
  const reports = new FakeReports();
  const changes: EngineSlowdown[] = [];
  let now = 0;
  const output = new Writable({write: (_chunk, _encoding, done) => done()});
  const slowdowns = new EngineSlowdowns({
    reports,
    listEngines: () => ['e1', 'e2', 'e3'].map(id => buildTarget(id, 1)),
    listAssigned: engines => engines.filter(({id}) => assignedIds.includes(id)),
    onSlowdown: slowdown => changes.push(slowdown),
    findAccess: () =>
      ({
        isCold: (id: string) => coldIds.includes(id),
        recordCold: () => undefined,
      }) as unknown as TargetAccess,
    findService: () => 'chat',
    turns: createQuietTurns(),
    log: createDecisionLog({proc: 'g', output, readWallMs: () => now}),
    readNow: () => now,
  });
  const runFor = async (ms: number) => {
    now += ms;
    slowdowns.askAssignedEngines();
    await new Promise(resolve => setImmediate(resolve));
  };
  return {reports, changes, slowdowns, runFor};
}

describe('EngineSlowdowns', () => {
  it('reports an engine that becomes slow, and its return to normal speed', async () => {
    // Guards against an undetected slow engine, which delays every long prompt
    // of which it prefills a shard.
    const {reports, changes, slowdowns, runFor} = createSlowdowns();
    reports.slowdowns.set('e1', 3.4);
    reports.slowdowns.set('e2', 1);
    await runFor(1000);
    await runFor(1000);
    expect(slowdowns.read('e1')).toEqual(3.4);
    expect(slowdowns.listAssigned()).toEqual([{target: 'e1', slowdown: 3.4}]);
    reports.slowdowns.set('e1', 1.02);
    await runFor(1000);
    expect(changes).toEqual([
      {target: 'e1', slowdown: 3.4},
      {target: 'e1', slowdown: 1},
    ]);
  });

  it('polls only the engines that are assigned to this gate', async () => {
    const {reports, runFor} = createSlowdowns(['e2']);
    await runFor(1000);
    expect(reports.polled).toEqual(['e2']);
  });

  it('resets a slowdown to 1 when no further report confirms it', async () => {
    // Guards against a report of a failed gate that excludes an engine forever.
    const {slowdowns, runFor} = createSlowdowns();
    slowdowns.apply({target: 'e3', slowdown: 5});
    await runFor(3000);
    expect(slowdowns.read('e3')).toEqual(5);
    await runFor(1000);
    expect(slowdowns.read('e3')).toEqual(1);
  });

  it('does not take an expired report for a report of full speed', async () => {
    // Guards against other cold engines that are predicted as fast as warm ones
    // as soon as one cold engine has stopped answering.
    const {slowdowns, runFor} = createSlowdowns([], ['e2', 'e3']);
    slowdowns.apply({target: 'e3', slowdown: 5});
    expect(slowdowns.read('e2')).toEqual(5);
    await runFor(4000);
    expect(slowdowns.read('e2')).toEqual(5);
  });
});
