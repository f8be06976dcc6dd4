/** What is to be placed, and the engines that were chosen for it. */
import type {HeldMemory, ReadPart} from './load-book.js';

/** The stream to place. */
export interface PromptDemand {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Latency objective of the first event, in ms. */
  readonly goalMs: number;
  /** What is left of it, in ms; below zero once it is missed. */
  readonly goalLeftMs: number;
  readonly gapGoalMs: number;
  readonly value: number;
}

/** The chosen engines. */
export interface PromptChoice {
  readonly first: string;
  readonly parts: readonly ReadPart[];
  /** Memory to reserve on helpers, for a prompt that one engine cannot hold. */
  readonly reservations: readonly HeldMemory[];
  /** Tokens that stay at the first engine. */
  readonly memoryTokens: number;
  /** Reading that stood before this one at the first engine, in ms. */
  readonly backlogMs: number;
  readonly predictedFirstMs: number;
  readonly cost: number;
}
