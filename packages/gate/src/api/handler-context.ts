/** Context that a gate passes to the handlers of caller requests. */
import type {
  Account,
  ConfigRecord,
  Counters,
  LatencyHistogram,
  MemoryAccount,
} from '@nutmeggauge/core';
import type {EstimateFigures} from '../admission/estimate.js';
import type {AccountLimits} from '../admission/limits.js';
import type {Dispatcher} from '../dispatch/dispatcher.js';
import type {Membership} from '../membership/membership.js';
import type {HeldRequests} from '../stop/held-requests.js';

/** The gate's state and services that request handlers use. */
export interface HandlerContext {
  readonly gateId: string;
  readonly counters: Counters;
  readonly limits: AccountLimits;
  /** What callers make the gate hold. */
  readonly callerMemory: MemoryAccount;
  readonly membership: Membership;
  readonly dispatcher: Dispatcher;
  /** Returns the engine speeds in force. */
  readonly readFigures: () => EstimateFigures;
  /** Time to first token at this gate, in ms. */
  readonly ttft: LatencyHistogram;
  readonly readRecord: () => ConfigRecord | undefined;
  readonly findAccount: (key: string) => Account | undefined;
  /** Requests that the gate holds, for its stop. */
  readonly held: HeldRequests;
  /** Returns true once the gate accepts no more requests. */
  readonly isClosed: () => boolean;
}
