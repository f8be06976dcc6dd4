import {createCounters} from '@nutmeggauge/core';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createFleetState} from '../fleet/fleet-state.js';
import {createDecisionLog} from '../observe/decision-log.js';
import {buildPosition, buildTarget} from '../test/build-target.js';
import {buildConfig} from '../test/test-config.js';
import {createTargetLimits} from './create-target-limits.js';
import type {FleetState} from '../fleet/fleet-state.js';
import type {ColdBounds, DirectGateSettings} from '../gate-settings.js';
import type {PeerGroup} from '../peers/peer-group.js';
import type {ColdStart, Target} from '../types.js';
import type {TargetLimits} from './target-limits.js';

const DURATION_MS = 3000;

const COLD_START: ColdStart = {
  durationMs: DURATION_MS,
  requestsPerSecond: 28,
};

/** One gate without peers, and its clock. */
class ColdGate {
  now = 1000;
  questions = 0;
  readonly counters = createCounters();
  readonly state: FleetState = createFleetState(() => this.now);
  readonly limits: TargetLimits;

  /**
   * @param coldStart - Cold start of each service; null for none.
   * @param coldBounds - Bounds of the settings; null for none.
   */
  constructor(
    private readonly coldStart: ColdStart | null = COLD_START,
    coldBounds: ColdBounds | null = {overage: 1.5, slack: 5},
  ) {
    const log = createDecisionLog({
      proc: 'test',
      output: process.stderr,
      readWallMs: () => 0,
    });
    log.info = () => undefined;
    const peers = {
      listGates: () => ['10.0.0.9'],
      askPermit: () => this.questions++,
      measureGrantShare: () => 1,
    };
    const settings = {
      coldBounds: coldBounds ?? undefined,
      peers: {host: '10.0.0.9', port: 1},
    };
    this.limits = createTargetLimits({
      settings: settings as DirectGateSettings,
      state: this.state,
      findPeers: () => peers as unknown as PeerGroup,
      onColdEngine: () => undefined,
      counters: this.counters,
      log,
      readNow: () => this.now,
    });
    this.state.onChange(({event, id}) => {
      if (event === 'target_removed') this.limits.drop(id);
    });
  }

  /** Reads targets for the first time. */
  readFirst(...targets: readonly Target[]): void {
    const coldStart = this.coldStart ?? undefined;
    const services = buildConfig(1).services.map(service => ({
      ...service,
      coldStart,
    }));
    const position = buildPosition(10);
    const config = buildConfig(1, {services});
    this.state.applySnapshot({position, config, targets, malformed: []});
  }

  /** Applies an entry that the watch reports. */
  apply(target: Target): void {
    this.state.applyChange({kind: 'target', target});
  }

  isCold(id = 'i-1'): boolean {
    return this.limits.access.isCold(id);
  }
}

describe('cold target', () => {
  it('is one that appears during traffic, for the time of its service', () => {
    // Guards against full load on a process that has just started.
    const gate = new ColdGate();
    gate.readFirst(buildTarget('i-0', 9));
    gate.apply(buildTarget('i-1', 11));
    expect(gate.limits.cold.findBound('i-1')).toEqual(47);
    gate.now += DURATION_MS;
    expect(gate.isCold()).toEqual(false);
  });

  it('is none that a gate finds in its first read, unless its entry says so', () => {
    // Guards against a gate that takes all engines for cold after its start.
    const gate = new ColdGate();
    gate.readFirst(buildTarget('i-0', 9), {
      ...buildTarget('i-1', 10),
      coldLeftMs: 500,
    });
    expect([gate.isCold('i-0'), gate.isCold('i-1')]).toEqual([false, true]);
    gate.now += 500;
    expect(gate.isCold('i-1')).toEqual(false);
  });

  it('is one whose later entry says so, without warning', () => {
    // Guards against a target that turns cold again and keeps its full load, and
    // against a request that was placed while it was warm.
    const gate = new ColdGate();
    gate.readFirst(buildTarget('i-1', 9));
    expect(gate.limits.access.settlePermit('i-1')).toEqual(true);
    gate.apply({...buildTarget('i-1', 11), coldLeftMs: 800});
    expect(gate.isCold()).toEqual(true);
    expect(gate.limits.access.settlePermit('i-1')).toEqual(false);
  });

  it('is a process with a new start time under a known name', () => {
    // Guards against a restarted engine that is taken for the warm one before.
    const gate = new ColdGate();
    gate.readFirst({...buildTarget('i-1', 9), id: 'i-1@1', bornAt: 1});
    gate.apply({...buildTarget('i-1', 11), id: 'i-1@2', bornAt: 2});
    expect([gate.isCold('i-1@1'), gate.isCold('i-1@2')]).toEqual([false, true]);
  });

  it('is none whose entry expired in an outage and comes back', () => {
    // Guards against a bound on all targets after an outage of the store.
    const gate = new ColdGate();
    gate.readFirst(buildTarget('i-0', 8), buildTarget('i-1', 9));
    gate.state.applyChange({
      kind: 'target-gone',
      name: 'i-1',
      position: buildPosition(11),
      isMalformed: false,
    });
    gate.apply(buildTarget('i-1', 12));
    expect(gate.isCold()).toEqual(false);
  });

  it('stays cold no longer for what peers tell of one entry', () => {
    // Guards against gates that extend a cold time for ever by hearsay, and
    // against an entry that was written long ago with a long time left.
    const gate = new ColdGate();
    gate.readFirst(buildTarget('i-1', 9));
    const entry = {...buildTarget('i-1', 11), coldLeftMs: 60_000};
    const share = (revision: number) =>
      gate.state.applyShared({
        position: buildPosition(revision),
        config: undefined,
        targets: [entry],
        held: [],
        doubts: [],
      });
    share(11);
    gate.now += DURATION_MS - 1;
    share(12);
    expect(gate.isCold()).toEqual(true);
    gate.now += 1;
    share(13);
    expect(gate.isCold()).toEqual(false);
  });

  it('is cold or warm as its last answer says; a malformed time is counted', () => {
    // Guards against answers that are not read, and against a malformed one that
    // ends a cold time.
    const gate = new ColdGate();
    const target = buildTarget('i-1', 9);
    gate.readFirst(target);
    gate.limits.access.recordCold(target, 900);
    gate.limits.access.recordCold(target, 'malformed');
    expect(gate.isCold()).toEqual(true);
    expect(gate.counters.read()['cold.malformed']).toEqual(1);
    gate.limits.access.recordCold(target, 0);
    expect(gate.isCold()).toEqual(false);
  });

  it('neither helps less nor goes unasked for reports', () => {
    // Guards against a cold target that is treated like one that wants rest.
    const gate = new ColdGate();
    gate.readFirst();
    gate.apply(buildTarget('i-1', 11));
    expect(gate.limits.access.isSpared('i-1')).toEqual(false);
  });

  it('gets a permit that is valid for a short time and for one request', async () => {
    // Guards against permits that are used late, when others have used the bound.
    const gate = new ColdGate();
    gate.readFirst();
    gate.apply(buildTarget('i-1', 11));
    const {access} = gate.limits;
    expect(await access.claim('i-1')).toEqual(true);
    expect(access.settlePermit('i-1')).toEqual(true);
    expect(access.settlePermit('i-1')).toEqual(false);
    expect(await access.claim('i-1')).toEqual(true);
    gate.now += 60;
    expect(access.settlePermit('i-1')).toEqual(false);
  });

  it('does not exist without cold starts in the configuration or the settings', async () => {
    // Guards against permits in deployments that know no cold targets.
    for (const gate of [new ColdGate(null), new ColdGate(COLD_START, null)]) {
      gate.readFirst();
      gate.apply({...buildTarget('i-1', 11), coldLeftMs: 900});
      gate.limits.access.recordCold(buildTarget('i-1', 11), 900);
      expect(gate.isCold()).toEqual(false);
      expect(await gate.limits.access.claim('i-1')).toEqual(true);
      expect(gate.limits.access.settlePermit('i-1')).toEqual(true);
      expect(gate.questions).toEqual(0);
      expect(gate.counters.read()['cold.granted'] ?? 0).toEqual(0);
    }
  });
});
