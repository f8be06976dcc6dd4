/** Estimates prefill and decoding times of one engine from its cost model. */
import type {EngineCostModel} from '../types.js';

/**
 * Estimates the prefill time of a prompt on one idle engine, in ms: a term
 * linear in the prompt's tokens, plus attention over all pairs of tokens.
 *
 * @example
 * estimatePrefillMs(154_000, engine); // about 3050 with 177 tokens/ms
 */
export function estimatePrefillMs(
  promptTokens: number,
  engine: EngineCostModel,
): number {
  const millionPairs = (promptTokens * promptTokens) / 2 / 1e6;
  return (
    promptTokens / engine.prefillTokensPerMs +
    millionPairs * engine.attentionMsPerMillionPairs
  );
}

/**
 * Estimates the time that one engine iteration spends on decoding, in ms.
 *
 * @param sequenceCount - Number of sequences that the engine decodes.
 * @param contextTokens - Total context length of these sequences, in tokens.
 * @example
 * estimateDecodeMs(4, 20_000, engine); // about 48
 */
export function estimateDecodeMs(
  sequenceCount: number,
  contextTokens: number,
  engine: EngineCostModel,
): number {
  if (sequenceCount === 0) return 0;
  const step =
    engine.stepMs +
    engine.stepMsPerSequence * sequenceCount +
    (engine.stepMsPerContextK * contextTokens) / 1000;
  return step * engine.stepsPerIteration;
}

/**
 * Counts the prompt tokens that one iteration of an engine that decodes can
 * prefill. The count is at least 1, so that plans of iterations terminate.
 *
 * @example
 * countIterationTokens(engine); // 116_736 with 57 steps of 2048 tokens
 */
export function countIterationTokens(engine: EngineCostModel): number {
  return Math.max(1, engine.stepsPerIteration * engine.chunkTokens);
}
