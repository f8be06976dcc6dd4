/** The prompt to place, and the engines chosen for it. */
import type {KvReservation, PrefillShard} from './load-tracker.js';

/** The prompt to place. */
export interface PromptDemand {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Objective of the first token, in ms. */
  readonly objectiveMs: number;
  /** What is left of it, in ms; negative once it is missed. */
  readonly objectiveLeftMs: number;
  readonly itlObjectiveMs: number;
  readonly value: number;
}

/** The chosen engines. */
export interface PromptChoice {
  readonly decoder: string;
  readonly shards: readonly PrefillShard[];
  /** KV cache to reserve on helpers. */
  readonly reservations: readonly KvReservation[];
  /** KV cache on the decoding engine, in tokens. */
  readonly kvTokens: number;
  /** Prefill queue of the decoding engine before this prompt, in ms. */
  readonly backlogMs: number;
  readonly predictedTtftMs: number;
  readonly cost: number;
}
