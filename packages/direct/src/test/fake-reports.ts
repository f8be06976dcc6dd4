/** Reports of engines as tests set them. */
import {EnginePaces} from '../health/engine-paces.js';
import {EngineReports} from '../ports.js';
import type {DecisionLog} from '../observe/decision-log.js';
import type {EngineReport} from '../ports.js';
import type {Target} from '../types.js';

/** Engines report the pace that was set, or do not answer. */
export class FakeReports extends EngineReports {
  /** By target; absent means that it does not answer. */
  readonly paces = new Map<string, number>();
  /** Targets that were asked, in order. */
  readonly asked: string[] = [];

  override read(target: Target): Promise<EngineReport | undefined> {
    this.asked.push(target.id);
    const pace = this.paces.get(target.id);
    return Promise.resolve(pace === undefined ? undefined : {pace});
  }
}

/** Paces of a gate that asks nobody. */
export function createIdlePaces(
  log: DecisionLog,
  readNow: () => number,
): EnginePaces {
  return new EnginePaces({
    reports: new FakeReports(),
    listEngines: () => [],
    isMine: () => false,
    onPace: () => undefined,
    log,
    readNow,
  });
}
