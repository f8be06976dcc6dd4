/**
 * Slowdown of each engine, as reported by the engine. A long prompt is as late
 * as the slowest engine that prefills one of its shards.
 *
 * Polling has a cost, so only one gate polls each engine and announces the
 * slowdown to its peers.
 */
import {ColdSlowdowns} from './cold-slowdowns.js';
import type {TurnMonitor} from '@nutmeggauge/core';
import type {EngineReports} from '../ports.js';
import type {DecisionLog} from '../observe/decision-log.js';
import type {Target} from '../types.js';
import type {TargetAccess} from '../limits/target-access.js';
import type {ColdSlowdownsOptions} from './cold-slowdowns.js';

/** Interval at which an engine is polled, in ms. */
const POLL_INTERVAL_MS = 1000;

/** Age above which a report expires, in ms: three intervals plus margin. */
const REPORT_TTL_MS = 3200;

/** Slowdown from which an engine counts as slow; lower values count as 1. */
const MIN_SLOWDOWN = 1.1;

/**
 * Slowdown of one engine: 1 is configured speed, 3 takes three times as long.
 */
export interface EngineSlowdown {
  readonly target: string;
  readonly slowdown: number;
}

/** Dependencies of {@link EngineSlowdowns}. */
export interface EngineSlowdownsOptions {
  readonly reports: EngineReports;
  /** Lists the engines that may receive work; empty while there is no work. */
  readonly listEngines: () => readonly Target[];
  /** Lists those of the engines that this gate, and no peer, polls. */
  readonly listAssigned: (engines: readonly Target[]) => readonly Target[];
  /** Called when the slowdown of an engine changes. */
  readonly onSlowdown: (slowdown: EngineSlowdown) => void;
  /**
   * Finds what is known of cold engines.
   *
   * @default no engine is cold
   */
  readonly findAccess?: () => TargetAccess;
  /** Finds the service of an engine; needed to know cold ones. */
  readonly findService?: ColdSlowdownsOptions['findService'];
  readonly turns: TurnMonitor;
  readonly log: DecisionLog;
  readonly readNow: () => number;
}

interface ReportedSlowdown {
  readonly slowdown: number;
  readonly at: number;
}

/**
 * Polls the engines assigned to one gate and keeps the slowdown of all engines.
 *
 * @example
 * slowdowns.start();
 * slowdowns.read('i-1'); // 3.4 for an engine that takes 3.4 times as long
 */
export class EngineSlowdowns {
  private readonly reportByTarget = new Map<string, ReportedSlowdown>();
  private readonly cold: ColdSlowdowns | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: EngineSlowdownsOptions) {
    const {findAccess, findService} = options;
    if (findAccess === undefined || findService === undefined) return;
    const isCold = (id: string) => findAccess().isCold(id);
    this.cold = new ColdSlowdowns({isCold, findService});
  }

  /** Starts to poll the assigned engines periodically. */
  start(): void {
    const {turns} = this.options;
    this.timer = setInterval(
      () => turns.run('engine_reports', () => this.askAssignedEngines()),
      POLL_INTERVAL_MS,
    );
  }

  /** Stops the periodic polling. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Reads the slowdown of an engine. Without an unexpired report, it is 1, or that
   * of other cold engines of its service if it is cold.
   */
  read(target: string): number {
    return (
      this.reportByTarget.get(target)?.slowdown ?? this.cold?.read(target) ?? 1
    );
  }

  /** Lists the slow engines that this gate polls, to be sent to its peers. */
  listAssigned(): readonly EngineSlowdown[] {
    if (this.reportByTarget.size === 0) return [];
    const {listAssigned, listEngines} = this.options;
    return listAssigned(listEngines())
      .filter(({id}) => this.reportByTarget.has(id))
      .map(({id}) => ({target: id, slowdown: this.read(id)}));
  }

  /** Applies a slowdown that this gate polled or a peer announced. */
  apply(report: EngineSlowdown): void {
    this.cold?.record(report.target, report.slowdown);
    this.setSlowdown(report);
  }

  private setSlowdown({target, slowdown}: EngineSlowdown): void {
    const {log, onSlowdown, readNow} = this.options;
    const before = this.reportByTarget.get(target)?.slowdown ?? 1;
    const effectiveSlowdown = slowdown < MIN_SLOWDOWN ? 1 : slowdown;
    if (effectiveSlowdown === 1) this.reportByTarget.delete(target);
    else
      this.reportByTarget.set(target, {
        slowdown: effectiveSlowdown,
        at: readNow(),
      });
    if (effectiveSlowdown === before) return;
    log.info('engine_slowdown', {target, slowdown: effectiveSlowdown, before});
    onSlowdown({target, slowdown: effectiveSlowdown});
  }

  /** Polls the engines assigned to this gate and drops expired reports. */
  askAssignedEngines(): void {
    this.dropExpired();
    const {listAssigned, listEngines} = this.options;
    for (const target of listAssigned(listEngines()))
      void this.askEngine(target);
  }

  /** Polls an engine at once if this gate, and no peer, polls it. */
  askIfAssigned(target: Target): void {
    for (const engine of this.options.listAssigned([target]))
      void this.askEngine(engine);
  }

  private async askEngine(target: Target): Promise<void> {
    const report = await this.options.reports.read(target);
    if (report === undefined) return;
    this.options.findAccess?.().recordCold(target, report.coldLeftMs);
    this.apply({target: target.id, slowdown: report.slowdown});
  }

  private dropExpired(): void {
    const oldestAt = this.options.readNow() - REPORT_TTL_MS;
    for (const [target, {at}] of this.reportByTarget)
      if (at < oldestAt) this.setSlowdown({target, slowdown: 1});
    this.cold?.expire();
  }
}
