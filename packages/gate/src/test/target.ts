/**
 * Creates targets with a given load for the tests of routing and admission.
 */
import type {TargetView} from '../membership/target-link.js';

const NO_TOKENS = [0, 0, 0, 0];

export function createTarget(
  id: string,
  pendingByClass: readonly number[] = NO_TOKENS,
  unreportedByClass: readonly number[] = NO_TOKENS,
): TargetView {
  return {
    id,
    zone: 'az-1',
    outstanding: 0,
    unreportedByClass,
    load: {
      draining: false,
      queued: 0,
      inFlight: 0,
      pendingByClass,
      pendingDecodeTokens: 0,
    },
  };
}
