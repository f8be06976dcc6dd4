/**
 * Structured log with one JSON line for each decision. Lines are dropped and
 * counted above a maximum rate, and while the reader of the output stalls,
 * so that logging neither blocks the process nor fills its memory.
 */
import type {Writable} from 'node:stream';

/** Fields of one log line; values must be serializable as JSON. */
export type DecisionFields = Readonly<Record<string, unknown>>;

/**
 * Maximum number of `info` lines per second; the levels `warn` and `error`
 * share a separate budget of the same size.
 */
const LINES_PER_SECOND = 120;

/** Maximum number of lines per second on the outcomes of single requests. */
const OUTCOMES_PER_SECOND = 2000;

/** Number of buffered output bytes above which every line is dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Dependencies of a decision log. */
export interface DecisionLogOptions {
  /** Name of the process, which is written in every line. */
  readonly proc: string;
  readonly output: Writable;
  /** Reads the wall clock, in ms since the epoch, for timestamps and rates. */
  readonly readWallMs: () => number;
}

type Level = 'info' | 'warn' | 'error';

/** Budgets of lines per second; each is counted on its own. */
type Budget = Level | 'outcome';

/**
 * Decision log of one process.
 *
 * @example
 * log.info('request_answered', {requestId, status: 200, ms: 31});
 */
export class DecisionLog {
  private second = 0;
  private infoLines = 0;
  private failureLines = 0;
  private outcomeLines = 0;
  private dropped = 0;

  constructor(private readonly options: DecisionLogOptions) {}

  /** Logs a decision or a change of state. */
  info(event: string, fields: DecisionFields = {}): void {
    this.write('info', event, fields);
  }

  /** Logs a failure that a caller or a dependency may notice. */
  warn(event: string, fields: DecisionFields = {}): void {
    this.write('warn', event, fields);
  }

  /** Logs a failure that ends the process. */
  error(event: string, fields: DecisionFields = {}): void {
    this.write('error', event, fields);
  }

  /**
   * Logs a stop, or the outcome of one of the many requests that end with it. A
   * budget of its own keeps these lines beside those of requests that wait.
   */
  recordOutcome(event: string, fields: DecisionFields): void {
    this.write('info', event, fields, 'outcome');
  }

  private write(
    level: Level,
    event: string,
    fields: DecisionFields,
    budget: Budget = level,
  ): void {
    const wallMs = this.options.readWallMs();
    this.startSecond(Math.floor(wallMs / 1000));
    if (!this.admit(budget)) {
      this.dropped++;
      return;
    }
    this.print(level, event, fields, wallMs);
  }

  private admit(budget: Budget): boolean {
    if (this.options.output.writableLength > MAX_BUFFERED_BYTES) return false;
    if (budget === 'outcome') return ++this.outcomeLines <= OUTCOMES_PER_SECOND;
    // A separate budget keeps `info` lines from displacing failures.
    if (budget === 'info') return ++this.infoLines <= LINES_PER_SECOND;
    return ++this.failureLines <= LINES_PER_SECOND;
  }

  private startSecond(second: number): void {
    if (second === this.second) return;
    this.second = second;
    this.infoLines = 0;
    this.failureLines = 0;
    this.outcomeLines = 0;
    if (this.dropped === 0) return;
    const lines = this.dropped;
    this.dropped = 0;
    this.print('warn', 'log_lines_dropped', {lines}, second * 1000);
  }

  private print(
    level: Level,
    event: string,
    fields: DecisionFields,
    wallMs: number,
  ): void {
    const line = {
      t: wallMs,
      proc: this.options.proc,
      level,
      event,
      ...fields,
    };
    this.options.output.write(JSON.stringify(line) + '\n');
  }
}

/**
 * Creates a decision log.
 *
 * @example
 * const log = createDecisionLog({proc: 'gate-1', output: process.stdout, readWallMs: Date.now});
 */
export function createDecisionLog(options: DecisionLogOptions): DecisionLog {
  return new DecisionLog(options);
}
