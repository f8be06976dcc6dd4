/** Types of the assignment of streams to engines. */

/** Shard of a prompt, assigned to the engine that prefills it. */
export interface PrefillShard {
  readonly target: string;
  readonly prefillMs: number;
}

/** KV cache that a helper engine reserves until the stream ends. */
export interface KvReservation {
  readonly target: string;
  readonly tokens: number;
}

/** Assignment of one stream to engines. */
export interface Placement {
  /**
   * Key that is unique among all gates: owner (host and incarnation of the
   * gate), `#`, and a number.
   */
  readonly key: string;
  /** Engine that decodes the answer; it also prefills the first shard. */
  readonly decoder: string;
  readonly shards: readonly PrefillShard[];
  readonly promptTokens: number;
  /** KV cache on the decoding engine until the stream ends, in tokens. */
  readonly kvTokens: number;
  /** KV cache reservations on helper engines. */
  readonly reserved: readonly KvReservation[];
  readonly objectiveMs: number;
  readonly itlObjectiveMs: number;
  /** Value of an answer within its objectives, relative to other streams. */
  readonly value: number;
  /** Predicted time to first token, in ms. */
  readonly predictedTtftMs: number;
  /** Time of the placement on this process's monotonic clock, in ms. */
  readonly placedAt: number;
  /**
   * Features of the prompt under which servers have crashed; until its first
   * token no other stream should be placed on its decoding engine.
   *
   * @default none
   */
  readonly suspects?: readonly string[];
}
