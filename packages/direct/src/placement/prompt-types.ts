/** Types of a prompt to place and of the engines chosen for it. */
import type {KvReservation, PrefillShard} from './placement.js';

/** Requirements of a prompt that is to be placed. */
export interface PromptDemand {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Objective for the time to first token, in ms. */
  readonly objectiveMs: number;
  /** Time left of that objective, in ms; negative once it is missed. */
  readonly objectiveLeftMs: number;
  readonly itlObjectiveMs: number;
  readonly value: number;
  /**
   * Features of the prompt under which servers have crashed.
   *
   * @default none
   */
  readonly suspects?: readonly string[];
  /**
   * Share of the other gates whose placements are known, from 0 to 1.
   *
   * @default 1
   */
  readonly heardShare?: number;
}

/** Engines chosen for a prompt. */
export interface PromptChoice {
  readonly decoder: string;
  readonly shards: readonly PrefillShard[];
  /** KV cache to reserve on helper engines. */
  readonly reservations: readonly KvReservation[];
  /** KV cache used on the decoding engine, in tokens. */
  readonly kvTokens: number;
  /** Prefill queue of the decoding engine before this prompt, in ms. */
  readonly backlogMs: number;
  readonly predictedTtftMs: number;
  /** Longest predicted iteration of the decoding engine, in ms. */
  readonly iterationMs: number;
  /** Number of begun streams that callers cancel because of this prompt. */
  readonly brokenStreams: number;
  readonly cost: number;
}
