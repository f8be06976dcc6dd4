/** What serving a caller's request reads from the gate. */
import type {
  Account,
  ConfigRecord,
  Counters,
  LatencyHistogram,
} from '@nutmeggauge/core';
import type {EstimateFigures} from '../admission/estimate.js';
import type {AccountLimits} from '../admission/limits.js';
import type {Dispatcher} from '../dispatch/dispatcher.js';
import type {Membership} from '../membership/membership.js';

/** What the handler reads from the gate. */
export interface HandlerContext {
  readonly gateId: string;
  readonly counters: Counters;
  readonly limits: AccountLimits;
  readonly membership: Membership;
  readonly dispatcher: Dispatcher;
  readonly figures: EstimateFigures;
  /** Time to first piece at this gate, in ms. */
  readonly ttft: LatencyHistogram;
  readonly readRecord: () => ConfigRecord | undefined;
  readonly findAccount: (key: string) => Account | undefined;
  /** True once the gate takes no more requests. */
  readonly isClosed: () => boolean;
}
