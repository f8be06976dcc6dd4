/** Dependencies of the call forwarder and the stream forwarder. */
import type {
  Counters,
  LatencyHistogram,
  MemoryAccount,
  PendingReads,
  SuspectRequests,
  TurnMonitor,
} from '@nutmeggauge/core';
import type {AdmissionQueues} from '../admission/admission-queues.js';
import type {AccountUsage} from '../accounts/account-usage.js';
import type {Urgencies} from '../admission/urgency.js';
import type {ByteBudget} from '../buffers/byte-budget.js';
import type {CrashWatch} from '../crashes/crash-watch.js';
import type {FleetState} from '../fleet/fleet-state.js';
import type {TargetHealth} from '../health/target-health.js';
import type {DecisionLog} from '../observe/decision-log.js';
import type {ChoiceScheduler} from '../placement/choice-scheduler.js';
import type {UnknownFields} from '../observe/unknown-fields.js';
import type {RequestLimits} from '../limits/request-limits.js';
import type {TargetAccess} from '../limits/target-access.js';
import type {TargetRests} from '../limits/target-rests.js';
import type {CallPlacer} from '../placement/place-call.js';
import type {PromptPlacer} from '../placement/prompt-placer.js';
import type {EngineReports, HeaderDialect, KvReservations} from '../ports.js';
import type {CallTimes} from '../stop/call-times.js';
import type {GateStop} from '../stop/gate-stop.js';
import type {OpenExchanges} from './open-exchanges.js';
import type {SharedRetryBudget} from '../retry/shared-retry-budget.js';

/** Dependencies that all forwarded requests of one gate share. */
export interface ForwardContext {
  readonly dialect: HeaderDialect;
  readonly state: FleetState;
  /** Region of each zone. */
  readonly regionByZone: ReadonlyMap<string, string>;
  readonly health: TargetHealth;
  readonly budget: SharedRetryBudget;
  readonly calls: CallPlacer;
  readonly prompts: PromptPlacer;
  readonly limits: RequestLimits;
  readonly rests: TargetRests;
  readonly access: TargetAccess;
  readonly choices: ChoiceScheduler;
  /** Waits until what has arrived has been read. */
  readonly reads: PendingReads;
  readonly queues: AdmissionQueues;
  readonly urgencies: Urgencies;
  readonly usage: AccountUsage;
  readonly exchanges: OpenExchanges;
  readonly stop: GateStop;
  readonly callTimes: CallTimes;
  /** Bytes of answers that all requests may hold. */
  readonly heldBytes: ByteBudget;
  /** What callers make the gate hold. */
  readonly callerMemory: MemoryAccount;
  readonly crashes: CrashWatch;
  readonly suspects: SuspectRequests;
  readonly reservations: KvReservations;
  readonly reports: EngineReports;
  readonly turns: TurnMonitor;
  readonly unknownFields: UnknownFields;
  readonly log: DecisionLog;
  readonly counters: Counters;
  readonly ttftMs: LatencyHistogram;
  readonly answerMs: LatencyHistogram;
  /** Monotonic clock, in ms. */
  readonly readNow: () => number;
  /** Age of the fleet state that decisions are based on, in ms. */
  readonly readFactsAgeMs: () => number;
}
