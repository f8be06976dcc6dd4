/** Writes the events of one attempt to the caller, or holds them for a while. */
import {ExchangeError} from '../errors.js';
import type {ForwardContext} from './context.js';
import type {StreamEvent} from './event-splitter.js';
import type {GateRequest} from './request.js';
import type {StreamProgress} from './stream-progress.js';

/** Dependencies of {@link EventWriter}. */
export interface EventWriterOptions {
  readonly context: ForwardContext;
  readonly request: GateRequest;
  readonly progress: StreamProgress;
  /**
   * Claims the caller's response for this attempt; returns false if another
   * attempt has claimed it.
   */
  readonly claimResponse: () => boolean;
  /**
   * Returns the time for which an event waits for the engine of another attempt,
   * in ms; 0 if it is forwarded at once.
   */
  readonly chooseHoldMs: () => number;
}

/**
 * Writes events in order; they may wait for the engine of another attempt.
 *
 * @example
 * writer.push(splitter.push(bytes));
 * writer.finish();
 */
export class EventWriter {
  /** Events that wait for the engine of another attempt. */
  private heldEvents: StreamEvent[] = [];
  private holdTimer: NodeJS.Timeout | undefined;
  private isStopped = false;

  constructor(private readonly options: EventWriterOptions) {}

  /**
   * Writes events, after a while if another attempt may do better.
   *
   * @throws ExchangeError if another attempt has claimed the response.
   */
  push(events: readonly StreamEvent[]): void {
    // An engine that sends more while an event is held goes on.
    const holdMs = this.heldEvents.length > 0 ? 0 : this.options.chooseHoldMs();
    this.heldEvents.push(...events);
    if (holdMs > 0) this.holdTimer = setTimeout(() => this.release(), holdMs);
    else this.finish();
  }

  /**
   * Writes what is held.
   *
   * @throws ExchangeError if another attempt has claimed the response.
   */
  finish(): void {
    if (!this.options.claimResponse())
      throw new ExchangeError('cancelled', true);
    this.write();
  }

  /** Writes what is held, unless the attempt has ended. */
  release(): void {
    clearTimeout(this.holdTimer);
    if (this.isStopped || this.heldEvents.length === 0) return;
    if (this.options.claimResponse()) this.write();
  }

  /** Ends the attempt; what is held is dropped. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.holdTimer);
  }

  private write(): void {
    const {context, request, progress} = this.options;
    clearTimeout(this.holdTimer);
    const now = context.readNow();
    const events = this.heldEvents.splice(0);
    request.caller.writeAll(events.map(({bytes}) => bytes));
    for (const event of events) {
      const ttftMs = progress.recordEvent(event.id, now);
      if (ttftMs !== undefined) context.ttftMs.recordMs(ttftMs);
    }
  }
}
