/**
 * The caller requests that a gate holds, and what a stop of the gate does with
 * them: requests that cannot end in time are handed back, at the stop and on
 * arrival; before the gate ends, all that have no answer get one.
 */
import {HeldRequest} from './held-request.js';
import type {ServerResponse} from 'node:http';
import type {Logger} from '@nutmeggauge/core';
import type {StopAction} from './held-request.js';

/** Requests that are answered without a target's answer once handed back. */
const PLACES_WITHOUT_ANSWER = new Set(['body', 'gate', 'agent']);

/**
 * Tracks the requests of one gate from arrival to the end of the answer.
 *
 * @example
 * const requests = new HeldRequests(log);
 * const held = requests.add('gate-1-7', res);
 */
export class HeldRequests {
  private readonly held = new Set<HeldRequest>();
  /** Time at which the gate ends, in epoch ms; undefined before a stop. */
  private endAt: number | undefined;

  constructor(private readonly log: Pick<Logger, 'info'>) {}

  /** Adds a request that has just arrived. */
  add(requestId: string, res: ServerResponse): HeldRequest {
    const held = new HeldRequest(requestId, res);
    this.held.add(held);
    res.once('close', () => {
      this.held.delete(held);
      if (this.endAt === undefined || !res.writableFinished) return;
      this.record(held, held.endedAs ?? 'finished');
    });
    return held;
  }

  /** Begins a stop that ends at `endAt`, and judges the requests held. */
  beginStop(endAt: number): void {
    this.endAt = endAt;
    for (const held of this.held) {
      this.judge(held);
      if (!held.handedBack.aborted) this.record(held, 'kept');
    }
  }

  /** During a stop, hands back a request that cannot end in time. */
  judge(held: HeldRequest): void {
    if (this.endAt === undefined || !PLACES_WITHOUT_ANSWER.has(held.place))
      return;
    if ((held.predictedEndAt ?? 0) > this.endAt) held.handBack();
  }

  /** Hands back every request that no target runs. */
  handBackAll(): void {
    for (const held of this.held)
      if (PLACES_WITHOUT_ANSWER.has(held.place)) held.handBack();
  }

  /**
   * Ends every request whose answer is not whole.
   *
   * @param verdictWaitMs - Longest wait for the verdict of an agent, in ms.
   */
  endAll(verdictWaitMs: number): void {
    for (const held of this.held)
      if (held.place !== 'caller') held.end(verdictWaitMs);
  }

  /**
   * Logs the requests whose answers have not been sent completely because the
   * gate ends now.
   */
  recordCut(): void {
    for (const held of this.held) this.record(held, held.endedAs ?? 'cut');
  }

  private record(held: HeldRequest, action: StopAction): void {
    const now = Date.now();
    const {requestId, stopPlace, arrivedAt, predictedEndAt} = held;
    this.log.info('request_at_stop', {
      requestId,
      action,
      place: stopPlace,
      ageMs: now - arrivedAt,
      predictedEndMs:
        predictedEndAt === undefined
          ? undefined
          : Math.round(predictedEndAt - now),
      graceLeftMs: (this.endAt ?? now) - now,
    });
  }
}
