/**
 * Keeps a gate that has just started from being ready with the facts of an
 * older copy of the store: its peers know what the copy lacks or revives.
 */
import {FactsBusyError} from '../errors.js';
import {NO_POSITION} from '../fleet/fact-position.js';
import {waitUnref} from './wait-idly.js';
import type {
  FactVersions,
  FleetState,
  SharedFacts,
} from '../fleet/fleet-state.js';
import type {DecisionLog} from '../observe/decision-log.js';

/**
 * Longest wait for a peer, in ms: above one heartbeat, by which peers find a
 * gate whose seeds are down.
 */
const SYNC_TIMEOUT_MS = 1500;

/** Pause between two requests, in ms. */
const RETRY_DELAY_MS = 50;

/** Dependencies of the synchronization. */
export interface StartupSyncOptions {
  readonly state: FleetState;
  /** Hosts of live peers. */
  readonly listPeers: () => readonly string[];
  /** Hosts of live peers with newer facts. */
  readonly listUpdateSources: () => readonly string[];
  readonly fetch: (host: string, known: FactVersions) => Promise<SharedFacts>;
  readonly log: DecisionLog;
  readonly readNow: () => number;
  /** Waits; injected by tests. */
  readonly wait?: (ms: number) => Promise<void>;
}

/**
 * The synchronization of one gate, at its start only.
 *
 * @example
 * const sync = new StartupSync(options);
 * sync.isDone; // true while the store is in its first era
 */
export class StartupSync {
  private isFinished = false;
  private isRunning = false;

  constructor(private readonly options: StartupSyncOptions) {
    options.state.onChange(() => this.handleChange());
  }

  /** True once the gate may be ready. */
  get isDone(): boolean {
    const {state} = this.options;
    return this.isFinished || (state.isServing && state.position.era === 0);
  }

  private handleChange(): void {
    const {state} = this.options;
    if (this.isFinished || this.isRunning || !state.isServing) return;
    if (state.position.era === 0) return;
    this.isRunning = true;
    void this.run();
  }

  private async run(): Promise<void> {
    const {
      listUpdateSources,
      listPeers,
      log,
      readNow,
      wait = waitUnref,
    } = this.options;
    const deadlineAt = readNow() + SYNC_TIMEOUT_MS;
    const failed = new Set<string>();
    while (readNow() < deadlineAt) {
      // A peer that is ahead may have more than it could send at once.
      const host = [...listUpdateSources(), ...listPeers()].find(
        peer => !failed.has(peer),
      );
      const isDone = host !== undefined && (await this.trySync(host, failed));
      if (isDone && listUpdateSources().length === 0) return this.finish(host);
      if (host === undefined || !failed.has(host)) await wait(RETRY_DELAY_MS);
    }
    this.isFinished = true;
    log.warn('start_unconfirmed', {peers: failed.size});
  }

  private finish(host: string): void {
    const {state, log} = this.options;
    this.isFinished = true;
    log.info('start_confirmed', {peer: host, ...state.position});
  }

  /** Returns whether the peer sent its facts; a busy one may be asked again. */
  private async trySync(host: string, failed: Set<string>): Promise<boolean> {
    const {state, fetch, log} = this.options;
    const {configVersion} = state.versions;
    try {
      state.mergeShared(
        await fetch(host, {configVersion, position: NO_POSITION}),
      );
    } catch (error) {
      if (error instanceof FactsBusyError) return false;
      failed.add(host);
      const reason = (error as Error).message;
      log.warn('facts_from_peer_failed', {peer: host, reason});
      return false;
    }
    return true;
  }
}
