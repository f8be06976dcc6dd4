/**
 * Splits the log lines of each gate into incarnations, one for each start of
 * its process. Lines keep the order of their file, because the clock may be set
 * back.
 */
import {InputFileError} from '../cli/errors.js';
import {PROGRAM_STARTING, readSourcedLines} from './sourced-lines.js';
import type {TimelineEvent} from '../timeline/merge.js';
import type {SourcedLine} from './sourced-lines.js';

/** One run of a gate process, with its log lines. */
export interface GateIncarnation {
  readonly proc: string;
  readonly lines: readonly TimelineEvent[];
  /**
   * Timestamp at which the gate began to serve, in ms; absent if unknown or if
   * the start failed.
   */
  readonly servesFrom: number | undefined;
  /** Whether the gate logged the end of its drain. */
  readonly hasDrained: boolean;
  /** Whether another incarnation of the same gate follows in the log. */
  readonly hasSuccessor: boolean;
}

/**
 * Gates' log lines by incarnation, and counts of ignored, repeated and dropped
 * lines.
 */
export interface GateLogs {
  readonly files: readonly string[];
  readonly incarnations: readonly GateIncarnation[];
  /** Number of lines with a `{` but no complete JSON object. */
  readonly malformedLines: number;
  /** Number of JSON lines that were not written by a gate. */
  readonly foreignLines: number;
  /**
   * Number of lines left out because an earlier file contains the same line.
   */
  readonly repeatedLines: number;
  /** Number of log lines that gates reported as dropped. */
  readonly droppedLines: number;
  /** Number of times that each gate's clock was set back, by process name. */
  readonly clockSteps: Readonly<Record<string, number>>;
}

/** Events that only gates log: a process that logs one of them is a gate. */
const GATE_EVENTS: ReadonlySet<string> = new Set([
  'gate_started',
  'stream_placed',
  'stream_deferred',
  'waited_for_slot',
  'request_ended',
  'request_refused',
  'request_given_up',
  'config_applied',
  'facts_from_peer',
]);

/** Collects the lines of one incarnation. */
class IncarnationBuilder {
  readonly lines: TimelineEvent[] = [];
  servesFrom: number | undefined;
  hasSuccessor = false;

  constructor(readonly proc: string) {}

  build(): GateIncarnation {
    const {proc, lines, servesFrom, hasSuccessor} = this;
    const hasDrained = lines.some(({event}) => event === 'drain_finished');
    return {proc, lines, servesFrom, hasSuccessor, hasDrained};
  }
}

/** Groups lines by incarnation. */
class IncarnationCollector {
  private readonly buildersByProc = new Map<string, IncarnationBuilder[]>();
  /**
   * Sources that logged `program_starting` and nothing since: their next line
   * begins a new incarnation.
   */
  private readonly startingSources = new Set<string>();

  add({source, event}: SourcedLine): void {
    if (event === PROGRAM_STARTING) {
      this.startingSources.add(source);
      return;
    }
    const isStart = event.event === 'gate_started';
    const current = this.buildersByProc.get(event.proc)?.at(-1);
    const isNew =
      this.startingSources.delete(source) ||
      current === undefined ||
      (isStart && current.servesFrom !== undefined);
    const builder = isNew ? this.begin(event.proc) : current;
    if (isStart) builder.servesFrom = event.t;
    builder.lines.push(event);
  }

  list(): readonly GateIncarnation[] {
    return [...this.buildersByProc.values()]
      .flat()
      .map(builder => builder.build());
  }

  private begin(proc: string): IncarnationBuilder {
    const previousBuilders = this.buildersByProc.get(proc) ?? [];
    const before = previousBuilders.at(-1);
    if (before !== undefined) before.hasSuccessor = true;
    const builder = new IncarnationBuilder(proc);
    this.buildersByProc.set(proc, [...previousBuilders, builder]);
    return builder;
  }
}

/**
 * Lists the sources with a single process: only there can `program_starting`,
 * which lacks a process name, be attributed to a gate.
 */
function listSingleProcessSources(
  lines: readonly SourcedLine[],
): ReadonlySet<string> {
  const procs = new Map<string, Set<string>>();
  for (const {source, event} of lines) {
    if (event === PROGRAM_STARTING) continue;
    procs.set(source, (procs.get(source) ?? new Set()).add(event.proc));
  }
  const singleProcess = [...procs].filter(([, names]) => names.size === 1);
  return new Set(singleProcess.map(([source]) => source));
}

function countClockSteps(
  incarnations: readonly GateIncarnation[],
): Record<string, number> {
  const lastTimestamps = new Map<string, number>();
  const steps: Record<string, number> = {};
  for (const {proc, lines} of incarnations) {
    for (const {t} of lines) {
      if (t < (lastTimestamps.get(proc) ?? t))
        steps[proc] = (steps[proc] ?? 0) + 1;
      lastTimestamps.set(proc, t);
    }
  }
  return steps;
}

/** Lists the process names of the gates that wrote the lines. */
function listGates(lines: readonly SourcedLine[]): ReadonlySet<string> {
  const events = lines.flatMap(({event}) =>
    event === PROGRAM_STARTING ? [] : event,
  );
  return new Set(
    events.filter(({event}) => GATE_EVENTS.has(event)).map(({proc}) => proc),
  );
}

function buildIncarnations(
  lines: readonly SourcedLine[],
  gates: ReadonlySet<string>,
): readonly GateIncarnation[] {
  const singleProcessSources = listSingleProcessSources(lines);
  const collector = new IncarnationCollector();
  for (const line of lines) {
    const {event, source} = line;
    if (
      event === PROGRAM_STARTING
        ? singleProcessSources.has(source)
        : gates.has(event.proc)
    )
      collector.add(line);
  }
  return collector.list();
}

/** Sums the numbers of log lines that gates reported as dropped. */
function countDropped(incarnations: readonly GateIncarnation[]): number {
  return incarnations
    .flatMap(gateIncarnation => gateIncarnation.lines)
    .filter(({event}) => event === 'log_lines_dropped')
    .map(({lines}) => (typeof lines === 'number' ? lines : 0))
    .reduce((sum, lines) => sum + lines, 0);
}

function isForeign({event}: SourcedLine, gates: ReadonlySet<string>): boolean {
  return event !== PROGRAM_STARTING && !gates.has(event.proc);
}

/**
 * Reads the lines of gates from log files, or from every `.log` file of a
 * folder, grouped by incarnation.
 *
 * @throws InputFileError when a file is missing or no line was written by a
 *   gate.
 * @example
 * readGateLogs(['runs/soak-112']).incarnations.length;
 */
export function readGateLogs(paths: readonly string[]): GateLogs {
  const {files, lines, malformedLines, foreignLines, repeatedLines} =
    readSourcedLines(paths);
  const gates = listGates(lines);
  if (gates.size === 0)
    throw new InputFileError(
      {info: {files}},
      `${files.join(', ')}: no line of a gate's decision log`,
    );
  const incarnations = buildIncarnations(lines, gates);
  const foreignEventCount = lines.filter(line => isForeign(line, gates)).length;
  return {
    files,
    incarnations,
    malformedLines,
    foreignLines: foreignLines + foreignEventCount,
    repeatedLines,
    droppedLines: countDropped(incarnations),
    clockSteps: countClockSteps(incarnations),
  };
}
