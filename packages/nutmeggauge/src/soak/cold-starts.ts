/** Cold starts of the soak's targets. */

/** Time for which a target that replaces another one is cold, in s. */
const COLD_S = 8;

/** Requests per second that a cold target sustains: fewer than it would get. */
const COLD_PER_S = 4;

/** Cold start of every service. */
export const COLD_START = {durationS: COLD_S, perSecond: COLD_PER_S} as const;

/** Bounds that the gates are given. */
export const COLD_BOUNDS = {overage: 1.5, slack: 5} as const;

/** Requests that a cold target may get in any one second, of all gates. */
export const MAX_COLD_REQUESTS =
  COLD_PER_S * COLD_BOUNDS.overage + COLD_BOUNDS.slack;
