/**
 * Summarizes the errors of predicted times to first token, by prompt size and
 * by age of the gate's copy of the fleet state.
 */
import {quantileSorted} from 'simple-statistics';
import {LENGTH_BUCKETS} from '../load/workload.js';
import type {JudgedRequest} from './judge-request.js';

/**
 * Upper bounds of the age classes, in ms; gates exchange heartbeats each
 * second.
 */
const AGE_BOUNDS_MS = [50, 200, 1000, 4000] as const;

/** Class that contains forecasts of every age. */
export const ALL_AGES = 'all';

/**
 * Forecast errors of one size and age class, in ms; a positive error is a first
 * token later than predicted.
 */
export interface ForecastErrors {
  readonly size: string;
  readonly age: string;
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly most: number;
}

function resolveAgeClass(factsAgeMs: number): string {
  const bound = AGE_BOUNDS_MS.find(ms => factsAgeMs <= ms);
  return bound === undefined
    ? `> ${AGE_BOUNDS_MS.at(-1)} ms`
    : `<= ${bound} ms`;
}

const AGE_CLASSES = [
  ALL_AGES,
  ...AGE_BOUNDS_MS.map(resolveAgeClass),
  resolveAgeClass(Infinity),
];

/** Forecast error of one request, with its size and age class. */
interface ForecastSample {
  readonly size: string;
  readonly age: string;
  readonly errorMs: number;
}

function toSamples({size, forecast}: JudgedRequest): readonly ForecastSample[] {
  if (forecast === undefined) return [];
  const {ttftMs, predictedMs, factsAgeMs} = forecast;
  const errorMs = ttftMs - predictedMs;
  return [ALL_AGES, resolveAgeClass(factsAgeMs)].map(age => ({
    size,
    age,
    errorMs,
  }));
}

/**
 * Summarizes forecast errors by prompt size and age of the fleet state.
 *
 * @example
 * summarizeForecasts(requests)[0].p90;
 */
export function summarizeForecasts(
  requests: readonly JudgedRequest[],
): readonly ForecastErrors[] {
  const samples = requests.flatMap(toSamples);
  return LENGTH_BUCKETS.flatMap(({name: size}) =>
    AGE_CLASSES.flatMap(age => {
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
