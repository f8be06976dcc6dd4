/**
 * Fetches newer facts from peers when the store is slow, down, or unreachable
 * for this gate.
 */
import {DecodeError, FactsBusyError} from '../errors.js';
import {waitUnref} from './wait-unref.js';
import type {FleetState} from '../fleet/fleet-state.js';
import type {SharedFacts, FactVersions} from '../fleet/fleet-types.js';
import type {DecisionLog} from '../observe/decision-log.js';

/**
 * Delay before a peer with newer facts is asked for them, in ms; within this
 * time the watch of this gate usually delivers the same facts.
 */
const FETCH_DELAY_MS = 400;

/**
 * Jitter added to `FETCH_DELAY_MS`, in ms, which keeps gates from asking all at
 * once.
 */
const FETCH_JITTER_MS = 400;

/**
 * Jitter that replaces `FETCH_DELAY_MS` and its jitter while the store does not
 * answer, in ms.
 */
const STORE_SILENT_JITTER_MS = 150;

/** Delay between two requests, in ms, and the jitter added to it, in ms. */
const RETRY_DELAY_MS = 100;
const RETRY_JITTER_MS = 150;

/**
 * Maximum number of requests of one run; a later heartbeat starts a new run.
 */
const MAX_REQUESTS = 10;

/** Dependencies of a facts fetcher. */
export interface FactsFetcherOptions {
  readonly state: FleetState;
  /** Returns whether the last answer from the store is too old. */
  readonly isStoreSilent: () => boolean;
  /** Lists the hosts of live peers that have newer facts than this gate. */
  readonly listUpdateSources: () => readonly string[];
  readonly fetch: (host: string, known: FactVersions) => Promise<SharedFacts>;
  readonly log: DecisionLog;
  readonly readNow: () => number;
  /** Returns a uniform random number in [0, 1). */
  readonly random: () => number;
  /**
   * Waits for a time in ms; tests replace it.
   *
   * @default waitUnref
   */
  readonly wait?: (ms: number) => Promise<void>;
}

/**
 * Fetches newer facts from the peers of one gate.
 *
 * @example
 * const fetcher = createFactsFetcher(options);
 * fetcher.schedule();
 */
export class FactsFetcher {
  private isRunning = false;

  constructor(private readonly options: FactsFetcherOptions) {}

  /**
   * Schedules a fetch after a delay, unless one is scheduled or running.
   * Nothing is fetched if the store delivers the facts during the delay.
   */
  schedule(): void {
    if (this.isRunning) return;
    this.isRunning = true;
    void this.run().finally(() => (this.isRunning = false));
  }

  private async run(): Promise<void> {
    const {listUpdateSources, isStoreSilent} = this.options;
    if (isStoreSilent()) await this.wait(0, STORE_SILENT_JITTER_MS);
    else await this.wait(FETCH_DELAY_MS, FETCH_JITTER_MS);
    const failed = new Set<string>();
    // An answer may be partial, because a single peer need not have both the
    // newest configuration and the newest targets.
    for (let requestCount = 0; requestCount < MAX_REQUESTS; requestCount++) {
      const host = this.pickUpdateSource(failed);
      if (host === undefined) return;
      const goesOn = await this.tryFetch(host, failed);
      if (!goesOn || listUpdateSources().length === 0) return;
      await this.wait(RETRY_DELAY_MS, RETRY_JITTER_MS);
    }
  }

  /** Picks a random peer with newer facts, which spreads the load over them. */
  private pickUpdateSource(failed: ReadonlySet<string>): string | undefined {
    const {listUpdateSources, random} = this.options;
    const hosts = listUpdateSources().filter(host => !failed.has(host));
    return hosts[Math.floor(random() * hosts.length)];
  }

  /** Fetches from one peer; returns whether another request is worthwhile. */
  private async tryFetch(host: string, failed: Set<string>): Promise<boolean> {
    const {state, fetch, log, readNow} = this.options;
    const startedAt = readNow();
    const readElapsedMs = () => Math.round(readNow() - startedAt);
    try {
      state.applyShared(await fetch(host, state.versions));
    } catch (error) {
      if (error instanceof FactsBusyError) {
        log.info('facts_from_peer_busy', {peer: host, ms: readElapsedMs()});
        return true;
      }
      failed.add(host);
      const reason = (error as Error).message;
      log.warn('facts_from_peer_failed', {
        peer: host,
        ms: readElapsedMs(),
        reason,
      });
      // Facts that cannot be decoded come from another version of the gate, and
      // other peers would send the same.
      return !(error instanceof DecodeError);
    }
    log.info('facts_from_peer', {
      peer: host,
      configVersion: state.config?.version,
      ...state.position,
      ms: readElapsedMs(),
    });
    return true;
  }

  private wait(ms: number, jitterMs: number): Promise<void> {
    const {random, wait = waitUnref} = this.options;
    return wait(ms + random() * jitterMs);
  }
}

/**
 * Creates a facts fetcher; its `schedule` method starts a fetch.
 *
 * @example
 * const fetcher = createFactsFetcher(options);
 */
export function createFactsFetcher(options: FactsFetcherOptions): FactsFetcher {
  return new FactsFetcher(options);
}
