/** Refuses requests before they are forwarded. */
import {chooseRetryAfterMs} from '../forward/retry-after.js';
import type {Fingerprint} from '@nutmeggauge/core';
import type {
  CallerResponse,
  GateErrorReason,
} from '../forward/caller-response.js';
import type {ForwardContext} from '../forward/context.js';
import type {RequestMetadata} from '../types.js';

/** Time to answer of a request that specifies no deadline, in ms. */
export const DEFAULT_DEADLINE_MS = 60_000;

/**
 * Age of the fleet state above which an unknown API key or route may be new, in
 * ms: longer than one long poll of the store plus one heartbeat.
 */
const STALE_FACTS_MS = 4000;

/**
 * Refuses requests of one gate, with a log line and a counter for each.
 *
 * @example
 * refusals.refuse(caller, 413, 'body_too_large');
 */
export class EarlyRefusals {
  constructor(private readonly context: ForwardContext) {}

  /** Refuses a request; a 503 says when to come back. */
  refuse(
    caller: CallerResponse,
    status: number,
    reason: GateErrorReason,
    facts?: RequestMetadata,
    retryDelayMs?: number,
  ): void {
    const {log, counters, state, readFactsAgeMs} = this.context;
    const leftMs = facts?.deadlineMs ?? DEFAULT_DEADLINE_MS;
    const waitMs = retryDelayMs ?? chooseRetryAfterMs(0, leftMs);
    caller.refuse(status, reason, status === 503 ? waitMs : undefined);
    counters.add(`ingress.${reason}`);
    log.warn('request_refused', {
      requestId: facts?.requestId,
      status,
      reason,
      configVersion: state.config?.version,
      factsAgeMs: Math.round(readFactsAgeMs()),
    });
  }

  /**
   * Refuses a request that another gate has sent to this one as to a target, as
   * an odd entry says; returns false for any other.
   */
  refuseAddressed(caller: CallerResponse, facts: RequestMetadata): boolean {
    const {state} = this.context;
    const target = state.findTarget(facts.expectedTarget ?? '');
    if (target === undefined || !state.isOwnAddress(target)) return false;
    this.refuse(caller, 421, 'not_run', facts);
    return true;
  }

  /**
   * Refuses a request with an unknown key or route. A gate with stale fleet
   * state responds with 503, as it cannot know whether the key or route exists.
   */
  refuseUnknown(
    caller: CallerResponse,
    status: 401 | 404,
    reason: 'unknown_key' | 'unknown_route',
    facts: RequestMetadata,
  ): void {
    if (this.context.readFactsAgeMs() > STALE_FACTS_MS)
      return this.refuse(caller, 503, 'configuration_stale', facts);
    this.refuse(caller, status, reason, facts);
  }

  /**
   * Refuses a request under which servers have crashed until the refusal of its
   * content ends.
   */
  refuseSuspect(
    caller: CallerResponse,
    facts: RequestMetadata,
    fingerprint: Fingerprint,
  ): void {
    const {suspects, log} = this.context;
    const leftMs = suspects.readRefusalLeftMs(fingerprint);
    this.refuse(caller, 503, 'crashes_servers', facts, leftMs);
    log.info('suspect_refused', {
      requestId: facts.requestId,
      content: fingerprint.id,
      refusedFor: suspects.listRefusingIds(fingerprint),
      crashed: suspects.listCrashed(fingerprint),
      leftMs: Math.round(leftMs),
    });
  }
}
