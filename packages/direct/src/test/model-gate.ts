/** Gate without sockets: its peer group and its placement of prompts. */
import {createSuspectRequests} from '@nutmeggauge/core';
import {createFleetState} from '../fleet/fleet-state.js';
import {createTargetHealth} from '../health/target-health.js';
import {createDecisionLog} from '../observe/decision-log.js';
import {FactsExchange} from '../peers/facts-exchange.js';
import {PeerGroup} from '../peers/peer-group.js';
import {createLoadTracker} from '../placement/load-tracker.js';
import {EligibleTargets} from '../placement/eligible-targets.js';
import {PromptPlacer} from '../placement/prompt-placer.js';
import {createIdleSlowdowns} from './fake-reports.js';
import {createIdleLimits} from './idle-limits.js';
import {createQuietTurns} from './quiet-turns.js';
import type {SuspectRequests} from '@nutmeggauge/core';
import type {AccountUsage} from '../accounts/account-usage.js';
import type {SharedFacts} from '../fleet/fleet-types.js';
import type {DatagramTransport} from '../peers/datagram-transport.js';
import type {LoadTracker} from '../placement/load-tracker.js';
import type {FleetConfig, Target} from '../types.js';

/** Settings of a gate without sockets. */
export interface ModelGateSettings {
  readonly host: string;
  readonly zone: string;
  readonly incarnation: string;
  readonly seedHosts: readonly string[];
  readonly transport: DatagramTransport;
  readonly config: FleetConfig;
  readonly targets: readonly Target[];
  readonly readNow: () => number;
  /** Usage of the accounts; none is told unless given. */
  readonly usage?: AccountUsage;
}

/** Facts exchange of gates that all know the same facts. */
class IdleFactsExchange extends FactsExchange {
  override open(): Promise<void> {
    return Promise.resolve();
  }

  override fetch(): Promise<SharedFacts> {
    return Promise.reject(new Error('no facts are exchanged'));
  }

  override close(): void {}
}

/** The parts of a gate that decide where prompts are placed. */
export interface ModelGate {
  readonly host: string;
  readonly group: PeerGroup;
  readonly placer: PromptPlacer;
  readonly tracker: LoadTracker;
  readonly suspects: SuspectRequests;
}

/**
 * Creates a gate without sockets that knows the configuration and the targets.
 *
 * @example
 * const gate = createModelGate(settings);
 * await gate.group.start();
 */
export function createModelGate(settings: ModelGateSettings): ModelGate {
  const {host, zone, readNow} = settings;
  const log = createDecisionLog({
    proc: host,
    output: process.stderr,
    readWallMs: () => 0,
  });
  log.info = () => undefined;
  const state = createFleetState(readNow);
  const tracker = createLoadTracker(id => state.findEngine(id));
  const slowdowns = createIdleSlowdowns(log, readNow);
  const limits = createIdleLimits(log, readNow);
  const suspects = createSuspectRequests({readNow});
  const group = new PeerGroup({
    host,
    zone,
    transport: settings.transport,
    facts: new IdleFactsExchange(),
    incarnation: settings.incarnation,
    seedHosts: settings.seedHosts,
    state,
    tracker,
    slowdowns,
    suspects,
    readLagMs: () => 0,
    limits: limits.requests,
    usage: settings.usage,
    answerPermit: ({number}) => ({number, waitMs: 0}),
    onPermitAnswer: () => undefined,
    onTargetEnd: () => undefined,
    turns: createQuietTurns(),
    log,
    readNow,
    readStoreAgeMs: () => 0,
    readContactMs: () => 0,
  });
  const placer = new PromptPlacer({
    owner: group.owner,
    zone,
    eligible: new EligibleTargets({
      state,
      health: createTargetHealth(),
      access: limits.access,
      readNow,
    }),
    slowdowns,
    access: limits.access,
    tracker,
    announcer: group,
    measureHeardShare: () => group.measureHeardShare(),
    readNow,
  });
  state.applySnapshot({
    position: {era: 0, revision: 1},
    config: settings.config,
    targets: settings.targets,
    malformed: [],
  });
  return {host, group, placer, tracker, suspects};
}
