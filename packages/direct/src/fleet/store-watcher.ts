/**
 * Follows the store: a full read, then a watch from the last position. Lost
 * history leads to another full read, an outage to retries with backoff.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {HistoryLostError, StoreUnavailableError} from '../errors.js';
import {pickNewest} from './fact-position.js';
import type {DecisionLog} from '../observe/decision-log.js';
import type {FactStore} from '../ports.js';
import type {FactPosition} from './fact-position.js';
import type {FleetState} from './fleet-state.js';

/**
 * Long-poll time of one watch, in ms. A silent connection shows only by this
 * timeout, and a target that leaves must be known within 2,000 ms of contact.
 */
const WATCH_WAIT_MS = 2500;

/**
 * Pause between changes and the next watch, in ms a gate, and its bound. A
 * change ends the watches of all gates, so the cost of a call grows with their
 * number.
 */
const BATCH_MS_PER_GATE = 14;
const BATCH_MAX_MS = 300;

/** Time that a watch may take past its long poll, in ms. */
const WATCH_SLACK_MS = 700;

/** Timeout of one page of a full read, in ms. */
const SNAPSHOT_TIMEOUT_MS = 1500;

/** Backoff between failed calls, in ms. */
const BACKOFF_MIN_MS = 100;
const BACKOFF_MAX_MS = 1000;

/**
 * Time without an answer after which entries may have expired, in ms: below
 * three heartbeats of a target.
 */
const OUTAGE_MS = 1500;

/** Dependencies of the watcher. */
export interface StoreWatcherOptions {
  readonly store: FactStore;
  readonly state: FleetState;
  readonly log: DecisionLog;
  readonly readNow: () => number;
  /** Gates that watch the same store, this one included. */
  readonly countGates: () => number;
}

/**
 * The watcher of one gate.
 *
 * @example
 * const watcher = createStoreWatcher({store, state, log, readNow});
 * void watcher.run();
 */
export class StoreWatcher {
  private isStopped = false;
  private position: FactPosition | undefined;
  private backoffMs = BACKOFF_MIN_MS;
  private isDown = false;
  private answeredAt: number;
  /** First answer since the newest outage; absent before the first. */
  private contactAt: number | undefined;
  private contactEra: number | undefined;

  constructor(private readonly options: StoreWatcherOptions) {
    this.answeredAt = options.readNow();
  }

  /** Time since the store last answered, in ms. */
  get ageMs(): number {
    return this.options.readNow() - this.answeredAt;
  }

  /**
   * Time for which the store has answered without an outage, in ms; 0 in one.
   */
  get contactMs(): number {
    if (this.contactAt === undefined || this.isDown) return 0;
    if (this.ageMs > OUTAGE_MS + WATCH_WAIT_MS) return 0;
    return this.options.readNow() - this.contactAt;
  }

  /** Watches until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.step();
      } catch (error) {
        await this.handleFailure(error as Error);
      }
    }
  }

  /** Ends the loop after the call that is under way. */
  stop(): void {
    this.isStopped = true;
  }

  private async step(): Promise<void> {
    const {store, state} = this.options;
    if (this.position === undefined) {
      const snapshot = await store.readSnapshot(SNAPSHOT_TIMEOUT_MS);
      this.markAnswered(snapshot.position.era);
      state.applySnapshot(snapshot);
      this.position = snapshot.position;
      return;
    }
    const changes = await store.waitForChanges(
      this.position,
      WATCH_WAIT_MS,
      WATCH_WAIT_MS + WATCH_SLACK_MS,
    );
    this.markAnswered(changes.position.era);
    for (const change of changes.changes) state.applyChange(change);
    this.position = pickNewest([this.position, changes.position]);
    state.markRead(this.position);
    if (changes.changes.length > 0) await sleep(this.countBatchMs());
  }

  private countBatchMs(): number {
    const {countGates} = this.options;
    return Math.min(BATCH_MAX_MS, BATCH_MS_PER_GATE * countGates());
  }

  private markAnswered(era: number): void {
    const {state, log, readNow} = this.options;
    const silentMs = readNow() - this.answeredAt;
    const isBack = silentMs > OUTAGE_MS + WATCH_WAIT_MS || this.isDown;
    if (isBack) state.markStoreBack(this.answeredAt);
    // A copy of the store confirms nothing of the time before it.
    if (isBack || era !== this.contactEra) this.contactAt = readNow();
    this.contactEra = era;
    if (this.isDown) log.info('store_regained', {silentMs});
    this.isDown = false;
    this.answeredAt = readNow();
    this.backoffMs = BACKOFF_MIN_MS;
  }

  private async handleFailure(error: Error): Promise<void> {
    const {log, state} = this.options;
    if (error instanceof HistoryLostError) {
      log.info('store_history_lost', {
        ...this.position,
        reason: error.message,
      });
      this.position = undefined;
      return;
    }
    if (!(error instanceof StoreUnavailableError)) throw error;
    if (!this.isDown)
      log.warn('store_lost', {
        reason: error.message,
        configVersion: state.config?.version,
        ...state.position,
        ageMs: this.ageMs,
      });
    this.isDown = true;
    // Jitter spreads the calls of all gates to a store that returns.
    await sleep(this.backoffMs * (0.5 + Math.random() / 2));
    this.backoffMs = Math.min(BACKOFF_MAX_MS, this.backoffMs * 2);
  }
}

/**
 * Creates a watcher; call `run` to start it.
 *
 * @example
 * const watcher = createStoreWatcher(options);
 */
export function createStoreWatcher(options: StoreWatcherOptions): StoreWatcher {
  return new StoreWatcher(options);
}
