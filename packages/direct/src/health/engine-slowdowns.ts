/**
 * Slowdown of each engine, as engines report it. A long prompt is as late as
 * its slowest engine.
 *
 * Reports have a cost, so each engine is polled by one gate, which tells its
 * peers.
 */
import type {EngineReports} from '../ports.js';
import type {DecisionLog} from '../observe/decision-log.js';
import type {Target} from '../types.js';

/** Time between two reports of an engine, in ms. */
const REPORT_MS = 1000;

/** Age past which a report is dropped, in ms: three periods. */
const FORGET_MS = 3200;

/** Slowdown from which an engine counts as slow. */
const SLOW_FROM = 1.1;

/** Slowdown of one engine; 1 is as configured, 3 takes three times as long. */
export interface EngineSlowdown {
  readonly target: string;
  readonly slowdown: number;
}

/** Dependencies of the slowdowns. */
export interface EngineSlowdownsOptions {
  readonly reports: EngineReports;
  /** Engines that may be given work; none while there is no work. */
  readonly listEngines: () => readonly Target[];
  /** Says whether this gate polls a target. */
  readonly isMine: (target: Target) => boolean;
  /** Called with each slowdown that changes. */
  readonly onSlowdown: (slowdown: EngineSlowdown) => void;
  readonly log: DecisionLog;
  readonly readNow: () => number;
}

interface KnownSlowdown {
  readonly slowdown: number;
  readonly at: number;
}

/**
 * The slowdowns that one gate knows.
 *
 * @example
 * slowdowns.start();
 * slowdowns.read('i-1'); // 3.4 for an engine that takes 3.4 times as long
 */
export class EngineSlowdowns {
  private readonly known = new Map<string, KnownSlowdown>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: EngineSlowdownsOptions) {}

  /** Starts polling. */
  start(): void {
    this.timer = setInterval(() => this.askAll(), REPORT_MS);
  }

  /** Stops polling. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Reads the slowdown of an engine; 1 if nothing is known. */
  read(target: string): number {
    return this.known.get(target)?.slowdown ?? 1;
  }

  /** Lists the slow engines that this gate polls, for its peers. */
  listMine(): readonly EngineSlowdown[] {
    // Finding the gate that polls an engine takes one hash for each gate.
    if (this.known.size === 0) return [];
    return this.options
      .listEngines()
      .filter(({id}) => this.known.has(id))
      .filter(target => this.options.isMine(target))
      .map(({id}) => ({target: id, slowdown: this.read(id)}));
  }

  /** Applies a report, of this gate or of a peer. */
  apply({target, slowdown}: EngineSlowdown): void {
    const {log, onSlowdown, readNow} = this.options;
    const before = this.read(target);
    const now = slowdown < SLOW_FROM ? 1 : slowdown;
    if (now === 1) this.known.delete(target);
    else this.known.set(target, {slowdown: now, at: readNow()});
    if (now === before) return;
    log.info('engine_slowdown', {target, slowdown: now, before});
    onSlowdown({target, slowdown: now});
  }

  /** Polls each engine that is assigned to this gate, and drops old reports. */
  askAll(): void {
    this.dropOld();
    for (const target of this.options.listEngines())
      if (this.options.isMine(target)) void this.ask(target);
  }

  private async ask(target: Target): Promise<void> {
    const report = await this.options.reports.read(target);
    if (report === undefined) return;
    this.apply({target: target.id, slowdown: report.slowdown});
  }

  private dropOld(): void {
    const since = this.options.readNow() - FORGET_MS;
    for (const [target, {at}] of this.known)
      if (at < since) this.apply({target, slowdown: 1});
  }
}
