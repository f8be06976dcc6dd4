/** Log lines and counters of the requests that are open when a gate stops. */
import type {Counters} from '@nutmeggauge/core';
import type {DecisionLog} from '../observe/decision-log.js';
import type {OpenRequest, RequestPlace} from './open-request.js';

/**
 * What a stop does with a request: it goes on, is refused so that another gate
 * serves it, has got its whole answer, or was broken off.
 */
export type StopAction = 'kept' | 'refused' | 'finished' | 'cut';

/** Dependencies of {@link StopRecord}. */
export interface StopRecordOptions {
  readonly log: DecisionLog;
  readonly counters: Counters;
  readonly readNow: () => number;
}

/**
 * Records what one stop does with each request.
 *
 * @example
 * record.add(request, {action: 'refused', place: 'queue', graceLeftMs: 4200});
 */
export class StopRecord {
  constructor(private readonly options: StopRecordOptions) {}

  /** Records an action, and where the request waited when it was taken. */
  add(
    request: OpenRequest,
    {action, place, predictedEndMs, graceLeftMs}: StopDecision,
  ): void {
    const {log, counters, readNow} = this.options;
    counters.add(`stop.${action}`);
    log.recordOutcome('request_at_stop', {
      requestId: request.requestId,
      action,
      place,
      ageMs: Math.round(readNow() - request.arrivedAt),
      predictedEndMs: toWholeMs(predictedEndMs),
      graceLeftMs: toWholeMs(graceLeftMs),
      status: request.caller.status,
    });
  }
}

/** One action of a stop. */
export interface StopDecision {
  readonly action: StopAction;
  readonly place: RequestPlace;
  /**
   * Predicted time until the answer is complete, in ms.
   *
   * @default unknown
   */
  readonly predictedEndMs?: number;
  /** Time until open requests are broken off, in ms. */
  readonly graceLeftMs: number;
}

function toWholeMs(ms: number | undefined): number | undefined {
  return ms === undefined || !Number.isFinite(ms) ? undefined : Math.round(ms);
}
