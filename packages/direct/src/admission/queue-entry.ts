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
   * Zones in which the stream may run.
   *
   * @default all
   */
  readonly allowedZones?: ReadonlySet<string>;
  /**
   * Id of the request, for the log.
   *
   * @default none
   */
  readonly requestId?: string;
  /**
   * Places the stream; returns false if no slot or KV cache is free, and `refused`
   * if waiting longer is of no use.
   */
  tryPlace(): boolean | 'refused';
}

/**
 * Checks whether a stream may run in every zone in which another one may.
 *
 * @example
 * isAllowedWherever(waiting, newcomer);
 */
export function isAllowedWherever(
  stream: QueueEntry,
  other: QueueEntry,
): boolean {
  const {allowedZones} = stream;
  if (allowedZones === undefined) return true;
  if (other.allowedZones === undefined) return false;
  return [...other.allowedZones].every(zone => allowedZones.has(zone));
}
