/**
 * JSON-RPC messages between a gate and an agent. The gate calls `dispatch`; the
 * agent confirms with `accepted`, streams `chunk` notifications for the request
 * and sends `load` notifications on its own schedule. The gate may send
 * `cancel` and `cancel-queued`.
 */

import {z} from 'zod';
import {LENGTH_CLASS_COUNT} from './length-class.js';

/** Names of JSON-RPC methods and notifications. */
export const RpcMethod = {
  dispatch: 'dispatch',
  chunk: 'chunk',
  cancel: 'cancel',
  /** Gate → agent: cancels a request unless it has been passed to the target. */
  cancelQueued: 'cancel-queued',
  load: 'load',
  accepted: 'accepted',
  /** Gate ↔ agent: reports crashes of targets under requests. */
  crashed: 'crashed',
  /** Gate → gate: asks for the version of the configuration record in use. */
  recordVersion: 'record-version',
  /**
   * Gate → gate: asks for the configuration record. Gate → agent: sends the
   * record without client accounts.
   */
  record: 'record',
} as const;

/** Operation that a dispatched request asks of the target. */
export type DispatchKind = 'generate' | 'call';

/** Position at which an interrupted stream resumes. */
export interface ResumePoint {
  /** Sequence number of the next chunk; all earlier chunks were delivered. */
  readonly fromSeq: number;
  /** Text delivered so far, which the engine continues. */
  readonly text: string;
}

/** Parameters of `dispatch` (gate → agent). */
export interface DispatchRequest {
  /** Id assigned by the gate and passed on end to end. */
  readonly requestId: string;
  readonly account: string;
  readonly pool: string;
  readonly kind: DispatchKind;
  /** Prompt text, for `generate`. */
  readonly prompt?: string;
  /** Maximum number of tokens to generate, for `generate`. */
  readonly maxTokens?: number;
  /** Operation name, for `call` on a plain service. */
  readonly op?: string;
  /** Operation arguments, for `call`. */
  readonly args?: Readonly<Record<string, unknown>>;
  /** Time in epoch ms after which the request must not start. */
  readonly deadlineAt: number;
  /** True when the request may run at most once. */
  readonly notRepeatable: boolean;
  /** Key of the at-most-once ledger; set when `notRepeatable`. */
  readonly ledgerKey?: string;
  /**
   * True when the caller sent an Idempotency-Key, so duplicates of the request
   * may follow.
   */
  readonly keyed: boolean;
  /**
   * Creation time of the Idempotency-Key in epoch ms; absent when the key has
   * no timestamp.
   */
  readonly keyMintedAt?: number;
  /** Version of the configuration record that the gate uses. */
  readonly recordVersion: number;
  /** Set when the request resumes an interrupted stream. */
  readonly resume?: ResumePoint;
  /** Number of this attempt, from 1, counted across all targets. */
  readonly attempt: number;
}

/**
 * Result of `dispatch`.
 * - `done`: the target finished; `chunks` is the number of chunks sent.
 * - `not-run`: the agent did not pass the request to the target.
 * - `unknown`: the request may have run; the gate must not retry it when it is
 *   not repeatable.
 */
export type DispatchOutcome =
  | {
      readonly status: 'done';
      readonly chunks: number;
      readonly tokens: number;
      readonly cachedTokens: number;
      readonly body?: unknown;
      /** HTTP status of the response of a plain service. */
      readonly httpStatus?: number;
    }
  | {
      readonly status: 'not-run';
      readonly reason: string;
      readonly retryAfterMs?: number;
    }
  | {readonly status: 'unknown'; readonly reason: string};

/** One chunk of a streamed answer (agent → gate). */
export interface ChunkNotification {
  readonly requestId: string;
  /**
   * Sequence number: 0, 1, 2 … in the order in which the target sends chunks.
   */
  readonly seq: number;
  readonly text: string;
}

/**
 * Acknowledges a dispatch (agent → gate): the agent is running and has
 * received the request.
 */
export interface AcceptedNotification {
  readonly requestId: string;
}

/** Cancels a dispatched request (gate → agent). */
export interface CancelNotification {
  readonly requestId: string;
}

/**
 * Load of a target as seen by its agent (agent → gate). Sent when the load
 * changes on links in use, and as a slow heartbeat on other links.
 */
export const LoadReportSchema = z.object({
  draining: z.boolean(),
  /**
   * Version of the configuration record that the agent uses; absent when the
   * agent reads none.
   */
  recordVersion: z.number().optional(),
  queued: z.number(),
  inFlight: z.number(),
  /**
   * Prompt tokens queued or in prefill at the agent and its target, by length
   * class.
   */
  pendingByClass: z.array(z.number()).length(LENGTH_CLASS_COUNT),
  /** Tokens that requests in flight have yet to generate. */
  pendingDecodeTokens: z.number(),
});
export type LoadReport = Readonly<
  Omit<z.output<typeof LoadReportSchema>, 'pendingByClass'>
> & {readonly pendingByClass: readonly number[]};
