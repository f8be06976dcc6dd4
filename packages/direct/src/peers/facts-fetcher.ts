/**
 * Fetches newer facts from a peer when the store is slow, down, or refuses this
 * gate.
 */
import {DecodeError, FactsBusyError} from '../errors.js';
import {waitUnref} from './wait-idly.js';
import type {
  FleetState,
  SharedFacts,
  FactVersions,
} from '../fleet/fleet-state.js';
import type {DecisionLog} from '../observe/decision-log.js';

/**
 * How long a peer may be ahead before it is asked, in ms: the watch of this
 * gate usually delivers first.
 */
const FETCH_DELAY_MS = 400;

/** Jitter added to it, in ms, so that gates do not ask at the same moment. */
const FETCH_JITTER_MS = 400;

/** Jitter while the store does not answer this gate, in ms. */
const STORE_SILENT_JITTER_MS = 150;

/** Pause after a busy answer, in ms, and its jitter. */
const RETRY_DELAY_MS = 100;
const RETRY_JITTER_MS = 150;

/** Most requests in a row; a later heartbeat starts again. */
const MAX_REQUESTS = 10;

/** Dependencies of the fetcher. */
export interface FactsFetcherOptions {
  readonly state: FleetState;
  /** True while the store has not answered this gate for too long. */
  readonly isStoreSilent: () => boolean;
  /** Hosts of live peers with newer facts. */
  readonly listUpdateSources: () => readonly string[];
  readonly fetch: (host: string, known: FactVersions) => Promise<SharedFacts>;
  readonly log: DecisionLog;
  readonly readNow: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Waits; injected by tests. */
  readonly wait?: (ms: number) => Promise<void>;
}

/**
 * The fetcher of one gate.
 *
 * @example
 * const fetcher = createFactsFetcher(options);
 * fetcher.schedule();
 */
export class FactsFetcher {
  private isRunning = false;

  constructor(private readonly options: FactsFetcherOptions) {}

  /** Schedules a fetch, unless the store is faster. */
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
    // One answer may bring only a part: no peer needs to have all the news.
    for (let requestCount = 0; requestCount < MAX_REQUESTS; requestCount++) {
      const host = this.pickUpdateSource(failed);
      if (host === undefined) return;
      const goesOn = await this.tryFetch(host, failed);
      if (!goesOn || listUpdateSources().length === 0) return;
      await this.wait(RETRY_DELAY_MS, RETRY_JITTER_MS);
    }
  }

  /** A random peer, so that gates spread over all that are ahead. */
  private pickUpdateSource(failed: ReadonlySet<string>): string | undefined {
    const {listUpdateSources, random} = this.options;
    const hosts = listUpdateSources().filter(host => !failed.has(host));
    return hosts[Math.floor(random() * hosts.length)];
  }

  /** Returns whether another peer may be asked after this one. */
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
      // Peers of another version would all send the same facts.
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
 * Creates a fetcher.
 *
 * @example
 * const fetcher = createFactsFetcher(options);
 */
export function createFactsFetcher(options: FactsFetcherOptions): FactsFetcher {
  return new FactsFetcher(options);
}
