/**
 * How fast each engine runs, as the engines themselves report it. One that is
 * slow shows by nothing else until prompts that it reads a part of are late,
 * and a long prompt is as late as its slowest reader: with three of 23 engines
 * at a third of their speed, most of the long prompts of seven seconds were.
 *
 * Reports have a price, so each engine is asked by one gate, and that gate
 * tells the others.
 */
import type {EngineReports} from '../ports.js';
import type {DecisionLog} from '../observe/decision-log.js';
import type {Target} from '../types.js';

/**
 * Time between two reports of an engine, in ms: a long prompt takes as long
 * to read, so at most the prompts of one such time are placed wrongly.
 */
const REPORT_MS = 1000;

/** Age past which a report says nothing any more, in ms: three reports. */
const FORGET_MS = 3200;

/** Slowness from which on it is told: below it, it is within a pass. */
const SLOW_FROM = 1.1;

/** Slowness of one engine; 1 is as configured. */
export interface EnginePace {
  readonly target: string;
  readonly pace: number;
}

/** What the paces are made of. */
export interface EnginePacesOptions {
  readonly reports: EngineReports;
  /** Every engine that may be given work; none while there is none to give. */
  readonly listEngines: () => readonly Target[];
  /** Says whether this gate is the one that asks an engine. */
  readonly isMine: (target: Target) => boolean;
  /** Told of each pace that changes. */
  readonly onPace: (pace: EnginePace) => void;
  readonly log: DecisionLog;
  readonly readNow: () => number;
}

interface KnownPace {
  readonly pace: number;
  readonly at: number;
}

/**
 * The paces that one gate knows.
 *
 * @example
 * paces.start();
 * paces.read('i-1'); // 3.4 for an engine that takes 3.4 times as long
 */
export class EnginePaces {
  private readonly known = new Map<string, KnownPace>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: EnginePacesOptions) {}

  /** Starts asking. */
  start(): void {
    this.timer = setInterval(() => this.askAll(), REPORT_MS);
  }

  /** Stops asking. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Reads the pace of an engine; 1 where nothing is known of it. */
  read(target: string): number {
    return this.known.get(target)?.pace ?? 1;
  }

  /** Lists the slow engines that this gate asks, for the other gates. */
  listMine(): readonly EnginePace[] {
    // Few engines are slow, and finding who asks an engine takes a hash a gate:
    // done for every engine in each beat to each gate it was 60,000 hashes a
    // second with 78 engines and 28 gates, more than a small host has time for.
    if (this.known.size === 0) return [];
    return this.options
      .listEngines()
      .filter(({id}) => this.known.has(id))
      .filter(target => this.options.isMine(target))
      .map(({id}) => ({target: id, pace: this.read(id)}));
  }

  /** Takes what was reported, to this gate or to another one. */
  apply({target, pace}: EnginePace): void {
    const {log, onPace, readNow} = this.options;
    const before = this.read(target);
    const now = pace < SLOW_FROM ? 1 : pace;
    if (now === 1) this.known.delete(target);
    else this.known.set(target, {pace: now, at: readNow()});
    if (now === before) return;
    log.info('engine_pace', {target, pace: now, before});
    onPace({target, pace: now});
  }

  /** Asks each engine that is this gate’s to ask, and drops what is old. */
  askAll(): void {
    this.dropOld();
    for (const target of this.options.listEngines())
      if (this.options.isMine(target)) void this.ask(target);
  }

  private async ask(target: Target): Promise<void> {
    const report = await this.options.reports.read(target);
    if (report === undefined) return;
    this.apply({target: target.id, pace: report.pace});
  }

  private dropOld(): void {
    const since = this.options.readNow() - FORGET_MS;
    for (const [target, {at}] of this.known)
      if (at < since) this.apply({target, pace: 1});
  }
}
