/** Estimates how long streams take until their answer is complete. */
import {
  estimateDecodeMs,
  estimatePrefillMs,
} from '../placement/engine-model.js';
import type {EngineCostModel} from '../types.js';

/** Size of a stream that is to be estimated. */
export interface StreamSize {
  readonly promptTokens: number;
  /** Largest number of tokens that are still to be generated. */
  readonly outputTokens: number;
  /** Objective for the time to first token, in ms. */
  readonly objectiveMs: number;
}

/**
 * Estimates the time in which an engine with full slots or full KV cache generates
 * the rest of an answer, in ms.
 *
 * @example
 * estimateOutputMs({promptTokens: 4960, outputTokens: 1622, objectiveMs: 300}, engine); // 2600
 */
export function estimateOutputMs(
  {promptTokens, outputTokens}: StreamSize,
  engine: EngineCostModel,
): number {
  const {slots, kvCapacityTokens, stepsPerIteration} = engine;
  const contextTokens = Math.min(slots * promptTokens, kvCapacityTokens);
  const iterations = Math.ceil(outputTokens / stepsPerIteration);
  return iterations * estimateDecodeMs(slots, contextTokens, engine);
}

/**
 * Estimates the time that a stream takes from the choice of its engines to the end
 * of its answer, in ms. Engines prefill a long prompt together, so that its first
 * token comes within its objective.
 *
 * @example
 * estimateStreamMs({promptTokens: 154_000, outputTokens: 800, objectiveMs: 3000}, engine);
 */
export function estimateStreamMs(
  size: StreamSize,
  engine: EngineCostModel,
): number {
  const prefillMs = estimatePrefillMs(size.promptTokens, engine);
  return Math.min(prefillMs, size.objectiveMs) + estimateOutputMs(size, engine);
}
