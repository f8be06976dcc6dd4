/**
 * Synchronizes a gate that has just started with its peers before it becomes
 * ready. If the store was restored from an older copy, the peers know which
 * facts the copy lacks and which of its entries are outdated.
 */
import {FactsBusyError} from '../errors.js';
import {NO_POSITION} from '../fleet/fact-position.js';
import {waitUnref} from './wait-unref.js';
import type {FleetState} from '../fleet/fleet-state.js';
import type {FactVersions, SharedFacts} from '../fleet/fleet-types.js';
import type {DecisionLog} from '../observe/decision-log.js';

/**
 * Longest wait for a peer, in ms. It is above one heartbeat interval, because a
 * gate whose seeds are down learns of its peers only from their next heartbeat.
 */
const SYNC_TIMEOUT_MS = 1500;

/** Delay between two requests, in ms. */
const RETRY_DELAY_MS = 50;

/** Dependencies of the synchronization at startup. */
export interface StartupSyncOptions {
  readonly state: FleetState;
  /** Lists the hosts of live peers. */
  readonly listPeers: () => readonly string[];
  /** Lists the hosts of live peers that have newer facts than this gate. */
  readonly listUpdateSources: () => readonly string[];
  readonly fetch: (host: string, known: FactVersions) => Promise<SharedFacts>;
  readonly log: DecisionLog;
  readonly readNow: () => number;
  /**
   * Waits for a time in ms; tests replace it.
   *
   * @default waitUnref
   */
  readonly wait?: (ms: number) => Promise<void>;
}

/**
 * Synchronizes one gate with its peers, once, at startup. A store in era 0 has
 * never been restored, so the gate needs no synchronization.
 *
 * @example
 * const sync = new StartupSync(options);
 * sync.isDone; // false until the gate is synchronized
 */
export class StartupSync {
  private isFinished = false;
  private isRunning = false;

  constructor(private readonly options: StartupSyncOptions) {
    options.state.onChange(() => this.handleChange());
  }

  /** Whether the gate may become ready. */
  get isDone(): boolean {
    return this.isFinished;
  }

  private handleChange(): void {
    const {state} = this.options;
    if (this.isFinished || this.isRunning || !state.isServing) return;
    // A gate that serves before a restore sees the restore itself.
    if (state.position.era === 0) {
      this.isFinished = true;
      return;
    }
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
    const giveUpAt = readNow() + SYNC_TIMEOUT_MS;
    const failed = new Set<string>();
    while (readNow() < giveUpAt) {
      // Peers with newer facts are asked first, also after an earlier answer,
      // which may have been partial.
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

  /**
   * Merges the facts of a peer; returns whether the peer sent them. A busy peer
   * can be asked again.
   */
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
