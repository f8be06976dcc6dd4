/**
 * Streams that wait for a place on an engine. The load it answers: a burst of
 * short streams a little above what the engines left can write at once. Sent
 * to the engines anyway, each is queued behind the last, the queue outlives
 * the burst, and every answer of it is late; with a line that is kept short,
 * most are on time and the rest hear at once when to come back.
 */

/**
 * Share of its objective that a stream may wait for a place. A short stream
 * needs about half of its objective from the place to the first event.
 */
const WAIT_SHARE = 0.35;

/** How often the line is looked over when no place is given back, in ms. */
const POLL_MS = 20;

/** Weight of the newest stream in the mean time that a place is held. */
const HOLD_WEIGHT = 0.05;

/** Time that a place is held, until streams have shown it, in ms. */
const FIRST_HOLD_MS = 2000;

/** How a wait ended. */
export type LineOutcome = 'placed' | 'refused' | 'left';

/** A stream that wants a place. */
export interface LineEntry {
  /** When the stream arrived, on the monotonic clock, in ms. */
  readonly arrivedAt: number;
  readonly goalMs: number;
  /** Tokens of the prompt, which need memory as well as a place. */
  readonly promptTokens: number;
  /** Takes a place if there is one. */
  tryPlace(): boolean;
}

/** What a line works with. */
export interface WaitingLineOptions {
  /** Places of all engines together. */
  readonly countPlaces: () => number;
  /** Gates whose lines wait for the same places, this one included. */
  readonly countGates: () => number;
  readonly readNow: () => number;
}

interface Waiting {
  readonly entry: LineEntry;
  readonly giveUpAt: number;
  readonly settle: (outcome: LineOutcome) => void;
}

/**
 * The line of one gate for one service.
 *
 * @example
 * const outcome = await line.enter(entry, left);
 */
export class WaitingLine {
  private waiting: Waiting[] = [];
  private holdMs = FIRST_HOLD_MS;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: WaitingLineOptions) {}

  /** Streams in the line. */
  get length(): number {
    return this.waiting.length;
  }

  /**
   * Predicted wait of one more stream, in ms: the gates share the places that
   * come free, one after each mean holding time divided by the places.
   */
  estimateWaitMs(): number {
    const places = Math.max(1, this.options.countPlaces());
    const ahead = (this.waiting.length + 1) * this.options.countGates();
    return (ahead * this.holdMs) / places;
  }

  /** Notes how long a stream held its place. */
  recordHold(ms: number): void {
    this.holdMs += (ms - this.holdMs) * HOLD_WEIGHT;
  }

  /**
   * Waits for a place. A stream that would wait too long is refused at once:
   * its caller can use the time.
   *
   * @param signal - Aborted when the caller leaves.
   */
  enter(entry: LineEntry, signal: AbortSignal): Promise<LineOutcome> {
    const now = this.options.readNow();
    const giveUpAt = entry.arrivedAt + entry.goalMs * WAIT_SHARE;
    if (now + this.estimateWaitMs() > giveUpAt)
      return Promise.resolve('refused');
    return new Promise(resolve => {
      const waiting: Waiting = {
        entry,
        giveUpAt,
        settle: outcome => {
          this.remove(waiting);
          resolve(outcome);
        },
      };
      // Whoever must start soonest stands first, so that short streams pass
      // long ones, and a long one that has waited passes them in turn.
      this.waiting.push(waiting);
      this.waiting.sort((a, b) => a.giveUpAt - b.giveUpAt);
      signal.addEventListener('abort', () => waiting.settle('left'));
      this.timer ??= setInterval(() => this.advance(), POLL_MS);
    });
  }

  /** Hands out places that have come free. */
  advance(): void {
    const now = this.options.readNow();
    for (const waiting of [...this.waiting])
      if (waiting.giveUpAt <= now) waiting.settle('refused');
    // A prompt that finds no memory must not hold up those that need less.
    let tooLarge = Infinity;
    for (const waiting of [...this.waiting]) {
      const {entry} = waiting;
      if (entry.promptTokens >= tooLarge) continue;
      if (entry.tryPlace()) waiting.settle('placed');
      else tooLarge = entry.promptTokens;
    }
  }

  private remove(waiting: Waiting): void {
    this.waiting = this.waiting.filter(other => other !== waiting);
    if (this.waiting.length > 0 || this.timer === undefined) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }
}

/**
 * The lines of one gate, one for each service of engines.
 *
 * @example
 * lines.find('chat').enter(entry, signal);
 */
export class WaitingLines {
  private readonly lines = new Map<string, WaitingLine>();

  constructor(private readonly createLine: (service: string) => WaitingLine) {}

  /** Finds the line of a service. */
  find(service: string): WaitingLine {
    let line = this.lines.get(service);
    if (line === undefined) {
      line = this.createLine(service);
      this.lines.set(service, line);
    }
    return line;
  }

  /** Hands out places that have come free. */
  advance(): void {
    for (const line of this.lines.values()) if (line.length > 0) line.advance();
  }
}

/**
 * Creates an empty line.
 *
 * @example
 * const line = createWaitingLine({countPlaces: () => 176, countGates: () => 5, readNow});
 */
export function createWaitingLine(options: WaitingLineOptions): WaitingLine {
  return new WaitingLine(options);
}
