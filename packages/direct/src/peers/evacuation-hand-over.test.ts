import {describe, it} from 'node:test';
import {buildLoopbackHost} from '@nutmeggauge/core';
import {expect} from 'earl';
import {answerCompletely} from '../test/fake-target.js';
import {buildConfig, openGateHarness} from '../test/gate-harness.js';
import type {FakeTarget} from '../test/fake-target.js';
import type {GateHarness} from '../test/gate-harness.js';

/** Number of calls that show where a gate sends them. */
const CALL_COUNT = 8;

const ZONES = ['az-1', 'az-2'];

/** Port of the gates of the first test; each test uses the next ones. */
let lastPort = 28_000;

/** Gates that know one target in each zone. */
class Bed {
  private readonly port = (lastPort += 10);
  readonly gates: GateHarness[] = [];
  private readonly targets: FakeTarget[] = [];

  /** Adds a gate, whose store answers unless `isDown` is set. */
  async addGate(isDown = false): Promise<GateHarness> {
    const gate = await openGateHarness({
      host: buildLoopbackHost(this.gates.length),
      port: this.port,
      seedHosts: [buildLoopbackHost(0)],
      config: isDown ? 'none' : buildConfig(1),
    });
    gate.store.isDown = isDown;
    this.gates.push(gate);
    for (const [i, zone] of ZONES.entries())
      if (this.targets[i] === undefined)
        this.targets.push(
          await gate.addTarget(zone, 'orders', answerCompletely, zone),
        );
      else gate.store.publishTarget({...this.targets[i].entry, zone});
    await gate.waitUntil(() => gate.gate['state'].targetCount === ZONES.length);
    return gate;
  }

  close(): void {
    for (const gate of this.gates) gate.close();
  }

  /** Returns the zones to which a gate sends calls. */
  async listUsed(gate: GateHarness): Promise<readonly string[]> {
    for (const target of this.targets) target.received.length = 0;
    await Promise.all(
      Array.from({length: CALL_COUNT}, (_, i) =>
        gate.call('/safe/x', {id: `q${i}`}),
      ),
    );
    return ZONES.filter((_, i) => this.targets[i].received.length > 0);
  }
}

async function runBed(test: (bed: Bed) => Promise<void>): Promise<void> {
  const bed = new Bed();
  try {
    await test(bed);
  } finally {
    bed.close();
  }
}

function isEvacuated({gate}: GateHarness): boolean {
  return gate['state'].isEvacuated('az-1');
}

describe('evacuation', () => {
  it('and its end reach a gate that cannot read the store from a peer', () =>
    // Guards against a gate that is cut off from the store and goes on sending.
    runBed(async bed => {
      const first = await bed.addGate();
      const blind = await bed.addGate();
      await blind.waitUntil(() => blind.gate['peers'].countGates() === 2);
      blind.store.isDown = true;
      blind.store.dropHistory();
      first.store.publishEvacuation('az-1');
      await blind.waitUntil(() => isEvacuated(blind));
      expect(await bed.listUsed(blind)).toEqual(['az-2']);
      first.store.dropEvacuation('az-1');
      await blind.waitUntil(() => !isEvacuated(blind));
    }));

  it('is known to a gate that starts before it serves', () =>
    // Guards against the first requests of a restarted gate.
    runBed(async bed => {
      const gate = await openGateHarness({config: 'none'});
      bed.gates.push(gate);
      const target = await gate.addTarget('t', 'orders', answerCompletely);
      gate.store.publishEvacuation('az-1');
      const waiting = gate.call('/safe/x');
      gate.store.publishConfig(buildConfig(1));
      expect((await waiting).status).toEqual(503);
      expect(target.received).toEqual([]);
    }));

  it('is known to a gate that starts without the store as soon as it serves', () =>
    // Guards against a restarted gate that learns targets from a peer first and
    // evacuations later.
    runBed(async bed => {
      const first = await bed.addGate();
      first.store.publishEvacuation('az-1');
      await first.waitUntil(() => isEvacuated(first));
      const blind = await bed.addGate(true);
      expect(isEvacuated(blind)).toEqual(true);
      expect(await bed.listUsed(blind)).toEqual(['az-2']);
    }));

  it('and its end are found by a full read if the history is lost', () =>
    // Guards against a change that only the lost history contained.
    runBed(async bed => {
      const gate = await bed.addGate();
      const change = async (run: () => void, isKnown: boolean) => {
        gate.store.isDown = true;
        gate.store.dropHistory();
        await gate.waitUntil(() =>
          gate.lines.some(line => line.includes('"store_lost"')),
        );
        run();
        gate.store.dropHistory();
        gate.store.isDown = false;
        await gate.waitUntil(() => isEvacuated(gate) === isKnown);
      };
      await change(() => gate.store.publishEvacuation('az-1'), true);
      await change(() => gate.store.dropEvacuation('az-1'), false);
      expect(
        gate.lines.some(line => line.includes('"store_history_lost"')),
      ).toEqual(true);
    }));

  it('holds while the store turns the gate away', () =>
    // Guards against an outage that ends an evacuation.
    runBed(async bed => {
      const gate = await bed.addGate();
      gate.store.publishEvacuation('az-1');
      await gate.waitUntil(() => isEvacuated(gate));
      gate.store.isDown = true;
      gate.store.dropEvacuation('az-1');
      await gate.waitUntil(() =>
        gate.lines.some(line => line.includes('"store_lost"')),
      );
      expect(await bed.listUsed(gate)).toEqual(['az-2']);
      gate.store.isDown = false;
      await gate.waitUntil(() => !isEvacuated(gate));
    }));

  it('of a zone that no target names is logged and kept', () =>
    // Guards against a zone whose targets are added after its evacuation.
    runBed(async bed => {
      const gate = await bed.addGate();
      gate.store.publishEvacuation('az-9');
      await gate.waitUntil(() =>
        gate.lines.some(
          line =>
            line.includes('"zone_evacuated"') && line.includes('"targets":0'),
        ),
      );
      const late = await gate.addTarget(
        'late',
        'orders',
        answerCompletely,
        'az-9',
      );
      await gate.waitUntil(
        () => gate.gate['state'].findTarget('late') !== undefined,
      );
      await bed.listUsed(gate);
      expect(late.received).toEqual([]);
    }));
});
