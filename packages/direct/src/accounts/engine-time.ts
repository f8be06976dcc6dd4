/** Engine time that a request takes, by which accounts are charged. */
import {
  estimateDecodeMs,
  estimatePrefillMs,
} from '../placement/engine-model.js';
import type {EngineCostModel} from '../types.js';

/**
 * Estimates the engine time of a request, in ms: its prefill, and its share of the
 * iterations of an engine whose slots are all taken by such requests. Time in which
 * it decodes grows with its context, which stands for the KV cache that it holds.
 *
 * @example
 * estimateEngineTimeMs(4960, 200, engine);
 */
export function estimateEngineTimeMs(
  promptTokens: number,
  maxOutputTokens: number,
  engine: EngineCostModel,
): number {
  const {slots, stepsPerIteration} = engine;
  const iterations = maxOutputTokens / stepsPerIteration;
  const iterationMs = estimateDecodeMs(slots, slots * promptTokens, engine);
  return (
    estimatePrefillMs(promptTokens, engine) + (iterations * iterationMs) / slots
  );
}
