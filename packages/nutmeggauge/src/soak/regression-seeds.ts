/**
 * Seeds with which a soak has revealed a fault, and the cause of each fault.
 */

/** A seed and the cause of the fault that the seed revealed. */
export interface RegressionSeed {
  readonly seed: number;
  readonly cause: string;
}

export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 112,
    cause:
      'SIGHUP ended a gate that was starting and had not installed its handler yet',
  },
  {
    seed: 207,
    cause: 'SIGHUP ended a gate process while Node itself was starting',
  },
  {
    seed: 218,
    cause: 'SIGHUP ended a gate process while Node itself was starting',
  },
];

const REQUEST_UNREAD_AT_STOP =
  'a stopping gate closed its listener and connections before reading requests that had arrived';

/**
 * Regression seeds of the soak of gates with agents: two gates, 25 s of load.
 */
export const CLUSTER_REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {seed: 2, cause: REQUEST_UNREAD_AT_STOP},
  {seed: 4, cause: REQUEST_UNREAD_AT_STOP},
  {seed: 5, cause: REQUEST_UNREAD_AT_STOP},
  {seed: 6, cause: REQUEST_UNREAD_AT_STOP},
];
