/**
 * A target's figures as routers and admission read them, for tests.
 */
import type {TargetView} from '../membership/target-link.js';

const NOTHING = [0, 0, 0, 0];

export function createTarget(
  id: string,
  pendingByClass: readonly number[] = NOTHING,
  unreportedByClass: readonly number[] = NOTHING,
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
