/** Engine reports for tests. */
import {EngineSlowdowns} from '../health/engine-slowdowns.js';
import {EngineReports} from '../ports.js';
import type {DecisionLog} from '../observe/decision-log.js';
import type {EngineReport} from '../ports.js';
import type {Target} from '../types.js';

/** Engines report the slowdown that was set, or do not answer. */
export class FakeReports extends EngineReports {
  /** By target; absent for no answer. */
  readonly slowdowns = new Map<string, number>();
  /** Polled targets, in order. */
  readonly asked: string[] = [];

  override read(target: Target): Promise<EngineReport | undefined> {
    this.asked.push(target.id);
    const slowdown = this.slowdowns.get(target.id);
    return Promise.resolve(slowdown === undefined ? undefined : {slowdown});
  }
}

/** Slowdowns of a gate that polls nobody. */
export function createIdleSlowdowns(
  log: DecisionLog,
  readNow: () => number,
): EngineSlowdowns {
  return new EngineSlowdowns({
    reports: new FakeReports(),
    listEngines: () => [],
    isMine: () => false,
    onSlowdown: () => undefined,
    log,
    readNow,
  });
}
