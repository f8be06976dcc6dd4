/** Gate without a network that places streams on warm and cold engines. */
import {createCounters} from '@nutmeggauge/core';
import {createFleetState} from '../fleet/fleet-state.js';
import {EngineSlowdowns} from '../health/engine-slowdowns.js';
import {createTargetHealth} from '../health/target-health.js';
import {TargetLimits} from '../limits/target-limits.js';
import {createDecisionLog} from '../observe/decision-log.js';
import {EligibleTargets} from '../placement/eligible-targets.js';
import {createLoadTracker} from '../placement/load-tracker.js';
import {PromptPlacer} from '../placement/prompt-placer.js';
import {buildPosition} from './build-target.js';
import {FakeReports} from './fake-reports.js';
import {createQuietTurns} from './quiet-turns.js';
import type {FleetState} from '../fleet/fleet-state.js';
import type {ColdBounds} from '../gate-settings.js';
import type {PermitMessenger} from '../limits/permits.js';
import type {DecisionLog} from '../observe/decision-log.js';
import type {LoadTracker} from '../placement/load-tracker.js';
import type {PlacementAnnouncer} from '../placement/placed-prompt.js';
import type {FleetConfig, Target} from '../types.js';

/** Options of a gate. */
export interface BurstGateOptions {
  readonly host: string;
  /** Gates that this gate hears, including itself. */
  readonly listGates: () => readonly string[];
  /** Share of the other gates that it hears, and of all that it grants for. */
  readonly heardShare: number;
  readonly grantShare: number;
  readonly messenger: PermitMessenger;
  readonly announcer: PlacementAnnouncer;
  readonly coldBounds: ColdBounds | undefined;
  readonly config: FleetConfig;
  /** Targets of its first read. */
  readonly targets: readonly Target[];
  readonly readNow: () => number;
}

/** Parts of a gate that a burst uses. */
export interface BurstGate {
  readonly host: string;
  readonly state: FleetState;
  readonly tracker: LoadTracker;
  readonly limits: TargetLimits;
  readonly slowdowns: EngineSlowdowns;
  readonly placer: PromptPlacer;
}

/** Creates a gate that has read the configuration and some targets. */
export function createBurstGate(options: BurstGateOptions): BurstGate {
  const {host, readNow, heardShare} = options;
  const log = createDecisionLog({
    proc: host,
    output: process.stderr,
    readWallMs: () => 0,
  });
  log.info = () => undefined;
  const state = createFleetState(readNow);
  const tracker = createLoadTracker(id => state.findEngine(id));
  const limits = createLimits(options, state, log);
  const slowdowns = new EngineSlowdowns({
    reports: new FakeReports(),
    listEngines: () => [],
    listAssigned: () => [],
    onSlowdown: ({target, slowdown}) =>
      tracker.setSlowdown(target, slowdown, readNow()),
    findAccess: () => limits.access,
    findService: id => state.findIncarnation(id)?.service,
    turns: createQuietTurns(),
    log,
    readNow,
  });
  const {access} = limits;
  const health = createTargetHealth();
  const placer = new PromptPlacer({
    owner: host,
    zone: 'az-1',
    eligible: new EligibleTargets({state, health, access, readNow}),
    slowdowns,
    access,
    tracker,
    announcer: options.announcer,
    measureHeardShare: () => heardShare,
    readNow,
  });
  const {config, targets} = options;
  const position = buildPosition(targets.length);
  state.applySnapshot({position, config, targets, malformed: []});
  return {host, state, tracker, limits, slowdowns, placer};
}

function createLimits(
  options: BurstGateOptions,
  state: FleetState,
  log: DecisionLog,
): TargetLimits {
  const limits = new TargetLimits({
    ...options,
    announce: () => undefined,
    counters: createCounters(),
    log,
    cold: {
      bounds: options.coldBounds,
      findService: name => state.findService(name),
      measureGrantShare: () => options.grantShare,
      onCold: () => undefined,
    },
  });
  state.onChange(({event, id}) => {
    const target = state.findIncarnation(id);
    if (event === 'target_added' && target !== undefined)
      limits.cold.observeEntry(target, false, state.hasTargets);
  });
  return limits;
}
