import {Writable} from 'node:stream';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createDecisionLog} from '../observe/decision-log.js';
import {buildTarget} from '../test/build-target.js';
import {FakeReports} from '../test/fake-reports.js';
import {EnginePaces} from './engine-paces.js';
import type {EnginePace} from './engine-paces.js';

function openPaces(mine: readonly string[] = ['e1', 'e2']) {
  const reports = new FakeReports();
  const told: EnginePace[] = [];
  let now = 0;
  const output = new Writable({write: (_chunk, _encoding, done) => done()});
  const paces = new EnginePaces({
    reports,
    listEngines: () => ['e1', 'e2', 'e3'].map(id => buildTarget(id, 1)),
    isMine: ({id}) => mine.includes(id),
    onPace: pace => told.push(pace),
    log: createDecisionLog({proc: 'g', output, readWallMs: () => now}),
    readNow: () => now,
  });
  const runFor = async (ms: number) => {
    now += ms;
    paces.askAll();
    await new Promise(resolve => setImmediate(resolve));
  };
  return {reports, told, paces, runFor};
}

describe('paces of engines', () => {
  it('tell of an engine that is slow, and of its return', async () => {
    // Three of 23 engines run at a third of their speed. Nothing told, and
    // nearly each long prompt had one of them among its readers.
    const {reports, told, paces, runFor} = openPaces();
    reports.paces.set('e1', 3.4);
    reports.paces.set('e2', 1);
    await runFor(1000);
    await runFor(1000);
    expect(paces.read('e1')).toEqual(3.4);
    expect(paces.listMine()).toEqual([{target: 'e1', pace: 3.4}]);
    reports.paces.set('e1', 1.02);
    await runFor(1000);
    expect(told).toEqual([
      {target: 'e1', pace: 3.4},
      {target: 'e1', pace: 1},
    ]);
  });

  it('ask only those engines that no other gate asks', async () => {
    const {reports, runFor} = openPaces(['e2']);
    await runFor(1000);
    expect(reports.asked).toEqual(['e2']);
  });

  it('forget what nobody confirms', async () => {
    // The gate that asked an engine is gone. What it said last must not keep
    // a sound engine idle for good.
    const {paces, runFor} = openPaces();
    paces.apply({target: 'e3', pace: 5});
    await runFor(3000);
    expect(paces.read('e3')).toEqual(5);
    await runFor(1000);
    expect(paces.read('e3')).toEqual(1);
  });
});
