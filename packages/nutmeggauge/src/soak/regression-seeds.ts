/** Seeds that have shown a fault, with its cause. */

/** A seed and the fault that it showed. */
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

const UNREAD =
  'a stopping gate closed its listener and its connections before it had read what had arrived';

/** Seeds of gates with agents, two gates and 25 s of load. */
export const CLUSTER_REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {seed: 2, cause: UNREAD},
  {seed: 4, cause: UNREAD},
  {seed: 5, cause: UNREAD},
  {seed: 6, cause: UNREAD},
];
