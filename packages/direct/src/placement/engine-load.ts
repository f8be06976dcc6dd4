/** Load of one engine, as choices of engines see it. */
import type {Placement} from './placement.js';
import type {StreamGroup} from './stream-group.js';

/** What the placements of one engine add up to, apart from its schedule. */
export interface EngineOccupancy {
  /** Streams that this engine decodes now. */
  readonly decoding: readonly Placement[];
  /** The same streams, grouped by their objectives. */
  readonly decodingGroups: readonly StreamGroup[];
  /** Streams that this engine decodes once their prefill has ended. */
  readonly pending: readonly Placement[];
  readonly contextTokens: number;
  /** KV cache of streams decoded here and of helper reservations, in tokens. */
  readonly kvTokens: number;
  /**
   * Number of prompts for which this engine, as a helper, prefills a shard or
   * reserves KV cache.
   */
  readonly helpedPrompts: number;
}

/** A prompt with a shard in the prefill queue of an engine. */
export interface QueuedPrompt {
  readonly placement: Placement;
  /** Time until the prefill of the shard on this engine ends, in ms. */
  readonly shardDoneMs: number;
  /** Time until the prefill ends on all engines of the prompt, in ms. */
  readonly prefillDoneMs: number;
}

/** Rest of a shard that waits for an iteration. */
export interface WaitingShard {
  readonly tokens: number;
  /** Prefill time on this engine, in ms. */
  readonly prefillMs: number;
}

/** A stream whose prefill has not ended yet, on its decoding engine. */
export interface PendingStream {
  readonly placement: Placement;
  /** Time until the prefill ends on all engines of the prompt, in ms. */
  readonly prefillDoneMs: number;
}

/** Snapshot of the load of one engine. */
export interface EngineLoad extends Omit<EngineOccupancy, 'pending'> {
  /** Time until the prefill queue is empty, including the lag, in ms. */
  readonly backlogMs: number;
  /** Time until a new shard can start, after the running iteration, in ms. */
  readonly waitMs: number;
  /** Shards that wait for the coming iterations, newest first. */
  readonly waitingShards: readonly WaitingShard[];
  /** Prefill time of each coming iteration, in ms. */
  readonly iterationPrefillsMs: readonly number[];
  /** Longest of these times, in ms; 0 if there are none. */
  readonly longestPrefillMs: number;
  /**
   * Delay of the most overdue first token against its prediction, in ms. This
   * delay is the first sign of an engine that is slow or has failed.
   */
  readonly lagMs: number;
  /** Prompts with a shard in the prefill queue. */
  readonly queued: readonly QueuedPrompt[];
  /** Number of streams that this engine decodes now or after their prefill. */
  readonly active: number;
  /** Streams that this engine decodes once their prefill has ended. */
  readonly pending: readonly PendingStream[];
}

/** Load of an engine without placements. */
export const IDLE_LOAD: EngineLoad = {
  backlogMs: 0,
  waitMs: 0,
  waitingShards: [],
  iterationPrefillsMs: [],
  longestPrefillMs: 0,
  lagMs: 0,
  queued: [],
  active: 0,
  decoding: [],
  decodingGroups: [],
  pending: [],
  contextTokens: 0,
  kvTokens: 0,
  helpedPrompts: 0,
};

/**
 * Returns the longest of some times; 0 if there are none.
 *
 * @example
 * findLongest([120, 80]); // 120
 */
export function findLongest(timesMs: readonly number[]): number {
  let longestMs = 0;
  for (const ms of timesMs) longestMs = Math.max(longestMs, ms);
  return longestMs;
}
