/** Limits for tests in which no target names one or wants rest. */
import {createCounters} from '@nutmeggauge/core';
import {TargetLimits} from '../limits/target-limits.js';
import type {DecisionLog} from '../observe/decision-log.js';

/** Creates the limits of a gate without peers; they are announced to nobody. */
export function createIdleLimits(
  log: DecisionLog,
  readNow: () => number,
): TargetLimits {
  return new TargetLimits({
    host: '127.0.0.1',
    listGates: () => ['127.0.0.1'],
    messenger: {askPermit: () => undefined},
    readNow,
    log,
    counters: createCounters(),
    announce: () => undefined,
  });
}
