/**
 * Decides which of two engines goes on with a begun stream: the one that sends
 * the next event first, unless it is about to pause for longer than the caller
 * waits and the other one is not.
 */
import {estimateBreakProbability} from '../placement/loss.js';

/**
 * Time before the caller leaves at which a held event is forwarded, in ms: the
 * way to the caller and a late timer.
 */
const FORWARD_MARGIN_MS = 100;

/** What is predicted of the engine that has not sent the next event yet. */
export interface OtherEngine {
  /** Time until its next event, in ms; undefined if it may be dead. */
  readonly dueMs: number | undefined;
  /** Pause after that event, in ms. */
  readonly pauseMs: number;
}

/** An event of one of two engines that run the same begun stream. */
export interface RivalEvent {
  /** Time since the caller received an event, in ms. */
  readonly silentMs: number;
  /** Time without an event after which the caller leaves, in ms. */
  readonly patienceMs: number;
  /** Predicted pause of the engine after the event, in ms. */
  readonly pauseMs: number;
  readonly other: OtherEngine;
}

/**
 * Returns the time for which the event waits for the other engine, in ms; 0 if
 * it is forwarded at once.
 *
 * @example
 * chooseHoldMs({silentMs: 1676, patienceMs: 2000, pauseMs: 2100, other: {dueMs: 40, pauseMs: 60}}); // 224
 */
export function chooseHoldMs({
  silentMs,
  patienceMs,
  pauseMs,
  other,
}: RivalEvent): number {
  const breakProbability = estimateBreakProbability(pauseMs, patienceMs);
  const otherProbability = estimateBreakProbability(other.pauseMs, patienceMs);
  if (breakProbability <= otherProbability) return 0;
  const leftMs = patienceMs - silentMs - FORWARD_MARGIN_MS;
  return other.dueMs === undefined || other.dueMs > leftMs
    ? 0
    : Math.max(0, leftMs);
}
