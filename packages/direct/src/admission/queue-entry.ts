/** Streams that are offered to an admission queue. */

/**
 * Outcome of waiting in the queue: the stream got a slot, was refused, or its
 * caller left.
 */
export type QueueOutcome = 'placed' | 'refused' | 'left';

/** A stream that needs a slot. */
export interface QueueEntry {
  /** Time of arrival on the monotonic clock, in ms. */
  readonly arrivedAt: number;
  readonly objectiveMs: number;
  /** Tokens of the prompt, for which KV cache is needed besides a slot. */
  readonly promptTokens: number;
  /**
   * Rank among the urgencies of the service; 0 is the most urgent.
   *
   * @default 0
   */
  readonly urgency?: number;
  /**
   * Name of the client account.
   *
   * @default none
   */
  readonly account?: string;
  /**
   * Id of the request, for the log.
   *
   * @default none
   */
  readonly requestId?: string;
  /** Places the stream; returns false if no slot or KV cache is free. */
  tryPlace(): boolean;
}
