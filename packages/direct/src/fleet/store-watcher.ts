/**
 * Follows the store with a full read and then a watch from the last position.
 * Reads the store in full again if its history was lost, and retries with
 * backoff during an outage.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {HistoryLostError, StoreUnavailableError} from '../errors.js';
import {pickNewest} from './fact-position.js';
import type {TurnMonitor} from '@nutmeggauge/core';
import type {DecisionLog} from '../observe/decision-log.js';
import type {FactStore} from '../ports.js';
import type {FactPosition} from './fact-position.js';
import type {FleetState} from './fleet-state.js';

/**
 * Long-poll time of one watch, in ms. Only this timeout detects a dead
 * connection, and the removal of a target must be known within 2,000 ms once
 * the store is reachable.
 */
const WATCH_WAIT_MS = 2000;

/**
 * Delay between received changes and the next watch, in ms for each gate, and
 * its maximum in ms. Each change ends the watches of all gates, so the load on
 * the store grows with the number of gates.
 */
const BATCH_DELAY_MS_PER_GATE = 14;
const BATCH_DELAY_MAX_MS = 300;

/** Time that a watch may take beyond its long-poll time, in ms. */
const WATCH_SLACK_MS = 700;

/**
 * Timeout of a call to a store that has stopped answering, in ms, and the share of
 * the time since its last answer if that is longer: a call may have been lost
 * although the store answers again, and a slow store needs time.
 */
const PROBE_TIMEOUT_MS = 1000;
const PROBE_TIMEOUT_SHARE = 0.1;

/** Time for which such a call waits for a change, in ms. */
const PROBE_WAIT_MS = 100;

/** Timeout of one page of a full read, in ms. */
const SNAPSHOT_TIMEOUT_MS = 1500;

/** Bounds of the backoff after failed calls to the store, in ms. */
const BACKOFF_MIN_MS = 100;
const BACKOFF_MAX_MS = 1000;

/**
 * Time without an answer from the store after which entries of targets may have
 * expired, in ms; shorter than three heartbeats of a target.
 */
const OUTAGE_THRESHOLD_MS = 1500;

/** Dependencies of a store watcher. */
export interface StoreWatcherOptions {
  readonly store: FactStore;
  readonly state: FleetState;
  readonly turns: TurnMonitor;
  readonly log: DecisionLog;
  readonly readNow: () => number;
  /** Returns the number of gates that watch the store, including this gate. */
  readonly countGates: () => number;
}

/**
 * Keeps the fleet state of one gate up to date with the store.
 *
 * @example
 * const watcher = createStoreWatcher(options);
 * void watcher.run();
 */
export class StoreWatcher {
  private isStopped = false;
  private position: FactPosition | undefined;
  private backoffMs = BACKOFF_MIN_MS;
  private isDown = false;
  private lastAnswerAt: number;
  /**
   * Time of the first answer after the latest outage; absent until the store
   * has answered once.
   */
  private contactSince: number | undefined;
  private contactEra: number | undefined;

  constructor(private readonly options: StoreWatcherOptions) {
    this.lastAnswerAt = options.readNow();
  }

  /** Time since the last answer from the store, in ms. */
  get ageMs(): number {
    return this.options.readNow() - this.lastAnswerAt;
  }

  /**
   * Time for which the store has answered without an outage, in ms; 0 during an
   * outage.
   */
  get contactMs(): number {
    if (this.contactSince === undefined || this.isDown) return 0;
    if (this.ageMs > OUTAGE_THRESHOLD_MS + WATCH_WAIT_MS) return 0;
    return this.options.readNow() - this.contactSince;
  }

  /** Watches the store until `stop` is called. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.step();
      } catch (error) {
        await this.handleFailure(error as Error);
      }
    }
  }

  /** Stops watching after the current call. */
  stop(): void {
    this.isStopped = true;
  }

  private async step(): Promise<void> {
    const {store, state, turns} = this.options;
    if (this.position === undefined) {
      const snapshot = await store.readSnapshot(SNAPSHOT_TIMEOUT_MS);
      this.recordAnswer(snapshot.position.era);
      turns.run('store_snapshot', () => state.applySnapshot(snapshot));
      this.position = snapshot.position;
      return;
    }
    const {waitMs, timeoutMs} = this.chooseWatch();
    const changes = await store.waitForChanges(
      this.position,
      waitMs,
      timeoutMs,
    );
    this.recordAnswer(changes.position.era);
    turns.run('store_changes', () => {
      for (const change of changes.changes) state.applyChange(change);
    });
    this.position = pickNewest([this.position, changes.position]);
    state.markRead(this.position);
    if (changes.changes.length > 0) await sleep(this.chooseBatchDelayMs());
  }

  /** Chooses a long poll, or a short call while the store does not answer. */
  private chooseWatch(): {readonly waitMs: number; readonly timeoutMs: number} {
    const longest = WATCH_WAIT_MS + WATCH_SLACK_MS;
    if (!this.isDown) return {waitMs: WATCH_WAIT_MS, timeoutMs: longest};
    const timeoutMs = Math.max(
      PROBE_TIMEOUT_MS,
      this.ageMs * PROBE_TIMEOUT_SHARE,
    );
    return {waitMs: PROBE_WAIT_MS, timeoutMs: Math.min(longest, timeoutMs)};
  }

  private chooseBatchDelayMs(): number {
    const {countGates} = this.options;
    return Math.min(BATCH_DELAY_MAX_MS, BATCH_DELAY_MS_PER_GATE * countGates());
  }

  private recordAnswer(era: number): void {
    const {state, log, readNow} = this.options;
    const silentMs = readNow() - this.lastAnswerAt;
    const isRecovery =
      silentMs > OUTAGE_THRESHOLD_MS + WATCH_WAIT_MS || this.isDown;
    if (isRecovery) state.markStoreRecovered(this.lastAnswerAt);
    // A restored store cannot confirm removals from before the restore.
    if (isRecovery || era !== this.contactEra) this.contactSince = readNow();
    this.contactEra = era;
    if (this.isDown) log.info('store_regained', {silentMs});
    this.isDown = false;
    this.lastAnswerAt = readNow();
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
    // Jitter keeps the gates from calling a recovering store all at once.
    await sleep(this.backoffMs * (0.5 + Math.random() / 2));
    this.backoffMs = Math.min(BACKOFF_MAX_MS, this.backoffMs * 2);
  }
}

/**
 * Creates a store watcher; its `run` method starts watching.
 *
 * @example
 * const watcher = createStoreWatcher(options);
 */
export function createStoreWatcher(options: StoreWatcherOptions): StoreWatcher {
  return new StoreWatcher(options);
}
