/**
 * How well first events were forecast: what came later than forecast, by the
 * size of the prompt and by the age of what the gate knew.
 */
import {quantileSorted} from 'simple-statistics';
import {LENGTH_BUCKETS} from '../load/workload.js';
import type {JudgedRequest} from './judge-request.js';

/** Upper bounds of the classes of age, in ms: a beat between gates is 1 s. */
const AGE_BOUNDS_MS = [50, 200, 1000, 4000] as const;

/** Row of all classes of age together. */
export const ALL_AGES = 'all';

/** Error of forecasts of one class, in ms; positive: it came later. */
export interface ForecastErrors {
  readonly size: string;
  readonly age: string;
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly most: number;
}

function resolveAge(factsAgeMs: number): string {
  const bound = AGE_BOUNDS_MS.find(ms => factsAgeMs <= ms);
  return bound === undefined
    ? `> ${AGE_BOUNDS_MS.at(-1)} ms`
    : `<= ${bound} ms`;
}

const AGES = [ALL_AGES, ...AGE_BOUNDS_MS.map(resolveAge), resolveAge(Infinity)];

/** One forecast with the classes that it counts in. */
interface ForecastSample {
  readonly size: string;
  readonly age: string;
  readonly errorMs: number;
}

function toSamples({size, forecast}: JudgedRequest): readonly ForecastSample[] {
  if (forecast === undefined) return [];
  const {firstMs, predictedMs, factsAgeMs} = forecast;
  const errorMs = firstMs - predictedMs;
  return [ALL_AGES, resolveAge(factsAgeMs)].map(age => ({size, age, errorMs}));
}

/**
 * Sums up the errors of forecasts, by size and age.
 *
 * @example
 * summarizeForecasts(requests)[0].p90;
 */
export function summarizeForecasts(
  requests: readonly JudgedRequest[],
): readonly ForecastErrors[] {
  const samples = requests.flatMap(toSamples);
  return LENGTH_BUCKETS.flatMap(({name: size}) =>
    AGES.flatMap(age => {
      const errors = samples
        .filter(sample => sample.size === size && sample.age === age)
        .map(({errorMs}) => errorMs)
        .sort((a, b) => a - b);
      if (errors.length === 0) return [];
      return {
        size,
        age,
        count: errors.length,
        p50: Math.round(quantileSorted(errors, 0.5)),
        p90: Math.round(quantileSorted(errors, 0.9)),
        most: Math.round(errors[errors.length - 1]),
      };
    }),
  );
}
