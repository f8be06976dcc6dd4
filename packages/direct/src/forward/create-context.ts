/** Creates what all forwarded requests of one gate share. */
import {
  ConnectionCheck,
  createLatencyHistogram,
  createMemoryAccount,
} from '@nutmeggauge/core';
import {createAdmissionQueue} from '../admission/admission-queue.js';
import {AdmissionQueues} from '../admission/admission-queues.js';
import {SharedRoomOrder} from '../accounts/shared-room-order.js';
import {observeOrder} from '../admission/observe-order.js';
import {Urgencies} from '../admission/urgency.js';
import {ByteBudget} from '../buffers/byte-budget.js';
import {CrashWatch} from '../crashes/crash-watch.js';
import {UnknownFields} from '../observe/unknown-fields.js';
import {ChoiceScheduler} from '../placement/choice-scheduler.js';
import {EligibleTargets} from '../placement/eligible-targets.js';
import {createCallPlacer} from '../placement/place-call.js';
import {PromptPlacer} from '../placement/prompt-placer.js';
import {createSharedRetryBudget} from '../retry/shared-retry-budget.js';
import {CallTimes} from '../stop/call-times.js';
import {GateStop} from '../stop/gate-stop.js';
import {OpenExchanges} from './open-exchanges.js';
import type {
  Counters,
  PendingReads,
  SuspectRequests,
  TurnMonitor,
} from '@nutmeggauge/core';
import type {AccountUsage} from '../accounts/account-usage.js';
import type {FleetState} from '../fleet/fleet-state.js';
import type {
  DirectGateDependencies,
  DirectGateSettings,
} from '../gate-settings.js';
import type {EngineSlowdowns} from '../health/engine-slowdowns.js';
import type {TargetHealth} from '../health/target-health.js';
import type {TargetLimits} from '../limits/target-limits.js';
import type {PeerGroup} from '../peers/peer-group.js';
import type {LoadTracker} from '../placement/load-tracker.js';
import type {ForwardContext} from './context.js';

/** Most bytes of answers that all requests hold together. */
const MAX_HELD_BYTES = 32 * 1024 * 1024;

/** Parts of a gate that forwarding builds on. */
export interface ForwardParts {
  readonly settings: DirectGateSettings;
  readonly dependencies: DirectGateDependencies;
  readonly state: FleetState;
  readonly health: TargetHealth;
  readonly tracker: LoadTracker;
  readonly slowdowns: EngineSlowdowns;
  readonly suspects: SuspectRequests;
  readonly limits: TargetLimits;
  readonly usage: AccountUsage;
  readonly peers: PeerGroup;
  readonly reads: PendingReads;
  readonly turns: TurnMonitor;
  readonly counters: Counters;
  readonly readNow: () => number;
}

/**
 * Creates the context of the forwarders.
 *
 * @example
 * const context = createForwardContext(parts);
 */
export function createForwardContext(parts: ForwardParts): ForwardContext {
  const {dependencies, state, health, limits, peers, readNow} = parts;
  const {log} = dependencies;
  const choices = new ChoiceScheduler(parts.reads, readNow);
  const eligible = new EligibleTargets({
    state,
    health,
    access: limits.access,
    readNow,
  });
  return {
    dialect: dependencies.dialect,
    state,
    regionByZone: parts.settings.regionByZone ?? new Map(),
    health,
    budget: createBudget(parts),
    limits: limits.requests,
    rests: limits.rests,
    access: limits.access,
    calls: createCallPlacer({
      eligible,
      health,
      access: limits.access,
      zone: parts.settings.zone,
    }),
    prompts: createPlacer(parts, eligible),
    queues: createQueues(parts, choices),
    usage: parts.usage,
    urgencies: new Urgencies(() => state.config),
    choices,
    reads: parts.reads,
    exchanges: new OpenExchanges(),
    stop: new GateStop({log, counters: parts.counters, readNow}),
    callTimes: new CallTimes(readNow),
    heldBytes: new ByteBudget(MAX_HELD_BYTES),
    callerMemory: createMemoryAccount(parts.settings.memoryBytes, readNow),
    crashes: new CrashWatch({
      state,
      serverCheck: new ConnectionCheck(),
      suspects: parts.suspects,
      log,
      counters: parts.counters,
      readNow,
      onEnd: target => health.recordEnd(target, readNow()),
      announceEnd: target => peers.announceTargetEnd(target),
    }),
    suspects: parts.suspects,
    reservations: dependencies.reservations,
    reports: dependencies.reports,
    turns: parts.turns,
    unknownFields: new UnknownFields(log),
    log,
    counters: parts.counters,
    ttftMs: createLatencyHistogram(),
    answerMs: createLatencyHistogram(),
    readNow,
    readFactsAgeMs: () => peers.readFactsAgeMs(),
  };
}

function createBudget({settings, peers, readNow}: ForwardParts) {
  return createSharedRetryBudget({
    bounds: settings.retryBounds,
    countSharers: () => peers.countBudgetSharers(),
    restartedAt: settings.isFirstStart ? undefined : readNow(),
  });
}

function createPlacer(
  parts: ForwardParts,
  eligible: EligibleTargets,
): PromptPlacer {
  const {peers} = parts;
  return new PromptPlacer({
    owner: peers.owner,
    zone: parts.settings.zone,
    eligible,
    slowdowns: parts.slowdowns,
    access: parts.limits.access,
    tracker: parts.tracker,
    announcer: peers,
    measureHeardShare: () => peers.measureHeardShare(),
    counters: parts.counters,
    announceWait: report => peers.announceWait(report),
    readNow: parts.readNow,
  });
}

function createQueues(
  parts: ForwardParts,
  choices: ChoiceScheduler,
): AdmissionQueues {
  const {state, limits, usage, peers, readNow} = parts;
  const onDecision = observeOrder(parts.dependencies.log, parts.counters);
  /** Counts the slots of all engines of a service that take requests. */
  const countSlots = (service: string) => {
    const slots = state.findService(service)?.engine?.slots ?? 0;
    const free = state
      .listUsable(service)
      .filter(({id}) => !limits.access.isSpared(id));
    return free.length * slots;
  };
  return new AdmissionQueues(service =>
    createAdmissionQueue({
      countSlots: () => countSlots(service),
      countGates: () => peers.countGates(),
      readNow,
      order: new SharedRoomOrder(usage),
      onDecision,
      schedule: ({dueAt, run}) =>
        void choices.schedule({isRepeated: true, dueAt, choose: run}),
    }),
  );
}
