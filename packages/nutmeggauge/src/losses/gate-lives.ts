/**
 * Splits the lines of each gate into lives, one for each start of its process.
 * Lines keep the order of their file, as the clock may be set back.
 */
import {InputFileError} from '../cli/errors.js';
import {FIRST_EVENT, readSourcedLines} from './sourced-lines.js';
import type {TimelineEvent} from '../timeline/merge.js';
import type {SourcedLine} from './sourced-lines.js';

/** The lines of a gate between two starts of its process. */
export interface GateLife {
  readonly proc: string;
  readonly lines: readonly TimelineEvent[];
  /** When it began to serve; absent if unknown or if the start failed. */
  readonly servesFrom: number | undefined;
  /** It logged the end of its drain. */
  readonly hasDrained: boolean;
  /** Another life follows in the log. */
  readonly isOver: boolean;
}

/** Parsed lines, and counts of the ignored ones. */
export interface GateLogs {
  readonly files: readonly string[];
  readonly lives: readonly GateLife[];
  /** Lines with a `{` but no complete JSON object. */
  readonly malformedLines: number;
  /** JSON lines that are not a gate's. */
  readonly foreignLines: number;
  /** Lines that occur more than once. */
  readonly repeatedLines: number;
  /** Lines that gates reported as dropped. */
  readonly droppedLines: number;
  /** How often each gate's clock was set back. */
  readonly clockSteps: Readonly<Record<string, number>>;
}

/** Events that only gates log; a file without any is not a gate's log. */
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

/** Groups lines into lives. */
class LivesReader {
  private readonly lives = new Map<string, LifeBuilder[]>();
  /** Sources whose process has only logged that it starts. */
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

/** Sources with a single process: its first line needs no name. */
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

/** Gates that wrote the lines. */
function listGates(lines: readonly SourcedLine[]): ReadonlySet<string> {
  const events = lines.flatMap(({event}) =>
    event === FIRST_EVENT ? [] : event,
  );
  return new Set(
    events.filter(({event}) => GATE_EVENTS.has(event)).map(({proc}) => proc),
  );
}

function readLives(
  lines: readonly SourcedLine[],
  gates: ReadonlySet<string>,
): readonly GateLife[] {
  const own = listOwnSources(lines);
  const reader = new LivesReader();
  for (const line of lines) {
    const {event, source} = line;
    if (event === FIRST_EVENT ? own.has(source) : gates.has(event.proc))
      reader.add(line);
  }
  return reader.list();
}

/** Lines that gates reported as dropped. */
function countDropped(lives: readonly GateLife[]): number {
  return lives
    .flatMap(life => life.lines)
    .filter(({event}) => event === 'log_lines_dropped')
    .map(({lines}) => (typeof lines === 'number' ? lines : 0))
    .reduce((sum, lines) => sum + lines, 0);
}

function isOfOther({event}: SourcedLine, gates: ReadonlySet<string>): boolean {
  return event !== FIRST_EVENT && !gates.has(event.proc);
}

/**
 * Reads log files, or every `.log` file of a folder.
 *
 * @throws InputFileError when a file is missing or no line is a gate's.
 * @example
 * readGateLogs(['runs/soak-112']).lives.length;
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
  const lives = readLives(lines, gates);
  const ofOthers = lines.filter(line => isOfOther(line, gates)).length;
  return {
    files,
    lives,
    malformedLines,
    foreignLines: foreignLines + ofOthers,
    repeatedLines,
    droppedLines: countDropped(lives),
    clockSteps: countClockSteps(lives),
  };
}
