/**
 * Reads the decision logs of gates and cuts each gate's lines into lives: from
 * one start of its process to the next. The order within a gate is that of its
 * file, since its clock may step.
 */
import {InputFileError} from '../cli/errors.js';
import {listLogFiles, readRawLines} from '../timeline/log-files.js';
import {isTimelineEvent} from '../timeline/merge.js';
import type {RawLine} from '../timeline/log-files.js';
import type {TimelineEvent} from '../timeline/merge.js';

/** What a gate wrote between two starts of its process. */
export interface GateLife {
  readonly proc: string;
  readonly lines: readonly TimelineEvent[];
  /** When it began to serve; absent where the log begins later, or it failed. */
  readonly servesFrom: number | undefined;
  /** It went on to write that it had drained. */
  readonly hasDrained: boolean;
  /** Another life follows in the log, so this one is over. */
  readonly isOver: boolean;
}

/** What was read, and what was passed over. */
export interface GateLogs {
  readonly files: readonly string[];
  readonly lives: readonly GateLife[];
  /** Lines that hold a `{` and no whole JSON object. */
  readonly malformedLines: number;
  /** Lines of JSON that are not a gate's. */
  readonly foreignLines: number;
  /** Lines that stand in the files more than once. */
  readonly repeatedLines: number;
  /** Lines that gates said they had not written. */
  readonly droppedLines: number;
  /** How often each gate's clock went back between two lines. */
  readonly clockSteps: Readonly<Record<string, number>>;
}

/** First line of a process, before it knows its own name. */
const FIRST_EVENT = 'program_starting';

/** Events that only a gate writes; a file without any is not a gate's log. */
const GATE_EVENTS: ReadonlySet<string> = new Set([
  'gate_started',
  'stream_placed',
  'stream_kept',
  'waited_for_place',
  'request_ended',
  'request_refused',
  'request_given_up',
  'config_applied',
  'facts_from_peer',
]);

/** One line with the process or file that it came from. */
interface SourcedLine {
  readonly source: string;
  readonly event: TimelineEvent | typeof FIRST_EVENT;
}

/** Collects the lines of one life. */
class LifeBuilder {
  readonly lines: TimelineEvent[] = [];
  servesFrom: number | undefined;
  isOver = false;

  constructor(readonly proc: string) {}

  build(): GateLife {
    const {proc, lines, servesFrom, isOver} = this;
    const hasDrained = lines.some(({event}) => event === 'drain_finished');
    return {proc, lines, servesFrom, isOver, hasDrained};
  }
}

/** Puts lines together to lives. */
class LivesReader {
  private readonly lives = new Map<string, LifeBuilder[]>();
  /** Sources whose process has said that it starts, and nothing else yet. */
  private readonly starting = new Set<string>();

  add({source, event}: SourcedLine): void {
    if (event === FIRST_EVENT) {
      this.starting.add(source);
      return;
    }
    const isStart = event.event === 'gate_started';
    const current = this.lives.get(event.proc)?.at(-1);
    const isNew =
      this.starting.delete(source) ||
      current === undefined ||
      (isStart && current.servesFrom !== undefined);
    const life = isNew ? this.begin(event.proc) : current;
    if (isStart) life.servesFrom = event.t;
    life.lines.push(event);
  }

  list(): readonly GateLife[] {
    return [...this.lives.values()].flat().map(life => life.build());
  }

  private begin(proc: string): LifeBuilder {
    const lives = this.lives.get(proc) ?? [];
    const before = lives.at(-1);
    if (before !== undefined) before.isOver = true;
    const life = new LifeBuilder(proc);
    this.lives.set(proc, [...lives, life]);
    return life;
  }
}

/** Name of who wrote a line: the collector's last word, else the file. */
function resolveSource(file: string, prefix: string): string {
  return prefix === '' ? file : `${file} ${prefix.split(/\s+/).at(-1)}`;
}

function toSourcedLine(file: string, raw: RawLine): SourcedLine | undefined {
  const {fields, prefix} = raw;
  if (fields === undefined) return undefined;
  const source = resolveSource(file, prefix);
  if (isTimelineEvent(fields)) return {source, event: fields};
  return fields.event === FIRST_EVENT
    ? {source, event: FIRST_EVENT}
    : undefined;
}

/** Sources that only one process wrote to: its first line needs no name. */
function listOwnSources(lines: readonly SourcedLine[]): ReadonlySet<string> {
  const procs = new Map<string, Set<string>>();
  for (const {source, event} of lines) {
    if (event === FIRST_EVENT) continue;
    procs.set(source, (procs.get(source) ?? new Set()).add(event.proc));
  }
  const own = [...procs].filter(([, names]) => names.size === 1);
  return new Set(own.map(([source]) => source));
}

function countClockSteps(lives: readonly GateLife[]): Record<string, number> {
  const last = new Map<string, number>();
  const steps: Record<string, number> = {};
  for (const {proc, lines} of lives) {
    for (const {t} of lines) {
      if (t < (last.get(proc) ?? t)) steps[proc] = (steps[proc] ?? 0) + 1;
      last.set(proc, t);
    }
  }
  return steps;
}

/**
 * Reads log files, or every `.log` file of a folder.
 *
 * @throws InputFileError when a file is missing or no line is a gate's.
 * @example
 * readGateLogs(['runs/soak-112']).lives.length;
 */
export function readGateLogs(paths: readonly string[]): GateLogs {
  const files = listLogFiles(paths);
  const seen = new Set<string>();
  const lines: SourcedLine[] = [];
  let malformedLines = 0;
  let foreignLines = 0;
  let repeatedLines = 0;
  for (const file of files) {
    for (const raw of readRawLines(file)) {
      const line = toSourcedLine(file, raw);
      if (raw.fields === undefined) malformedLines++;
      else if (line === undefined) foreignLines++;
      // A day's logs are often given twice, by host and merged.
      else if (line.event !== FIRST_EVENT && seen.has(raw.text))
        repeatedLines++;
      else {
        if (line.event !== FIRST_EVENT) seen.add(raw.text);
        lines.push(line);
      }
    }
  }
  const own = listOwnSources(lines);
  const gates = listGates(lines);
  if (gates.size === 0)
    throw new InputFileError(
      {info: {files}},
      `${files.join(', ')}: no line of a gate's decision log`,
    );
  const reader = new LivesReader();
  let droppedLines = 0;
  for (const line of lines) {
    const {event, source} = line;
    if (event === FIRST_EVENT) {
      if (own.has(source)) reader.add(line);
      continue;
    }
    if (!gates.has(event.proc)) foreignLines++;
    else reader.add(line);
    if (event.event === 'log_lines_dropped')
      droppedLines += Number(event.lines ?? 0);
  }
  const lives = reader.list();
  const clockSteps = countClockSteps(lives);
  return {
    files,
    lives,
    malformedLines,
    foreignLines,
    repeatedLines,
    droppedLines,
    clockSteps,
  };
}

function listGates(lines: readonly SourcedLine[]): ReadonlySet<string> {
  const events = lines.flatMap(({event}) =>
    event === FIRST_EVENT ? [] : event,
  );
  return new Set(
    events.filter(({event}) => GATE_EVENTS.has(event)).map(({proc}) => proc),
  );
}
