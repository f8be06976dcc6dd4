/**
 * Arithmetic of one model engine: how long reading takes and how long one
 * pass lasts while streams are written. All figures come from the
 * configuration.
 */
import type {EngineFigures} from '../types.js';

/**
 * Estimates the time to read a prompt on one idle engine, in ms. The linear
 * part is per token, the other per pair of a token and an earlier one.
 *
 * @example
 * estimateReadMs(154_000, figures); // about 3050 with 177 tokens/ms
 */
export function estimateReadMs(
  promptTokens: number,
  engine: EngineFigures,
): number {
  const millionPairs = (promptTokens * promptTokens) / 2 / 1e6;
  return (
    promptTokens / engine.readTokensPerMs +
    millionPairs * engine.pairsMsPerMillion
  );
}

/**
 * Estimates the writing part of a pass: one event for each writer, in ms.
 *
 * @param contextTokens - Sum over the writers.
 * @example
 * estimateWriteMs(4, 20_000, figures); // about 48
 */
export function estimateWriteMs(
  writers: number,
  contextTokens: number,
  engine: EngineFigures,
): number {
  if (writers === 0) return 0;
  const step =
    engine.stepMs +
    engine.stepMsPerWriter * writers +
    (engine.stepMsPerContextK * contextTokens) / 1000;
  return step * engine.stepsPerPass;
}
