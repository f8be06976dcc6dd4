/** Request to place a prompt, and what the placement may lead to. */
import {PlacedPrompt} from './placed-prompt.js';
import type {QueuedPrefill} from './prefill-calendar.js';
import type {PromptWait} from './prompt-wait.js';

/** Decision to send a prompt later. */
export interface Deferral {
  /** Delay until engines are to be chosen again, in ms. */
  readonly waitMs: number;
  /** Predicted time to first token, in ms from now. */
  readonly predictedTtftMs: number;
  /** Planned start of a long prompt in a large fleet; absent for others. */
  readonly planned?: QueuedPrefill;
}

/** Decision to refuse a long prompt, as its caller leaves before it begins. */
export class NoRoom {
  /** @param roomMs - Time until engines can begin the prompt, in ms. */
  constructor(readonly roomMs: number) {}
}

/**
 * Result of an attempt to place a prompt; `PromptPlacer.place` describes
 * `full` and `none`.
 */
export type PlacementOutcome =
  PlacedPrompt | Deferral | NoRoom | 'full' | 'none';

/** Request to place a prompt on engines of a service. */
export interface PromptRequest {
  readonly service: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Objective for the time to first token, in ms. */
  readonly objectiveMs: number;
  /** Time left of that objective, in ms; negative once it is missed. */
  readonly objectiveLeftMs: number;
  readonly itlObjectiveMs: number;
  /**
   * Features of the prompt under which servers have crashed. Such a prompt is
   * placed apart from other streams, and those that share one are placed once at a
   * time among all gates.
   *
   * @default none
   */
  readonly suspects?: readonly string[];
  /**
   * Zones in which the prompt may run.
   *
   * @default all
   */
  readonly allowedZones?: ReadonlySet<string>;
  /**
   * Time until the request's deadline, in ms.
   *
   * @default none
   */
  readonly leftMs?: number;
  /**
   * Wait of the prompt, shared by all its choices; only with it a long prompt is
   * planned over all gates.
   *
   * @default the prompt is sent as soon as engines are chosen
   */
  readonly wait?: PromptWait;
}

/**
 * Checks whether a prompt is to be placed later.
 *
 * @example
 * isDeferral({waitMs: 60, predictedTtftMs: 900}); // true
 */
export function isDeferral(
  outcome: PlacementOutcome | 'left',
): outcome is Deferral {
  return (
    typeof outcome === 'object' &&
    !(outcome instanceof PlacedPrompt) &&
    !(outcome instanceof NoRoom)
  );
}
