/** Seeds that ever showed a fault, each with its cause; the tests play them. */

/** One seed and what it showed. */
export interface RegressionSeed {
  readonly seed: number;
  readonly cause: string;
}

export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 112,
    cause:
      'a gate that was starting was ended by SIGHUP, which it did not listen to yet',
  },
  {seed: 207, cause: 'the same, while Node itself was starting'},
  {seed: 218, cause: 'the same, while Node itself was starting'},
];
