/**
 * Brings this gate up to what other gates know when the store does not: it is
 * slow or away, or turns this gate away.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {DecodeError, FactsBusyError} from '../errors.js';
import type {
  FleetState,
  SharedFacts,
  FactVersions,
} from '../fleet/fleet-state.js';
import type {DecisionLog} from '../observe/decision-log.js';

/**
 * How long another gate may be ahead before its facts are asked for, in ms:
 * the store's own watch usually brings them first, at the latest after the
 * pause in which it lets changes gather (300 ms).
 */
const AHEAD_MS = 400;

/**
 * Part of that time by which gates differ, in ms. Without it all gates ask
 * in the same moment. With a slow store 22 watches were 570 ms behind the
 * first: half of the gates have the news by themselves when it ends.
 */
const AHEAD_SPREAD_MS = 400;

/**
 * The same, in ms, while the store does not answer this gate: nothing is to be
 * waited for. A server that leaves just as the store comes back is known from
 * another gate before this one's own watch, which at that moment takes a
 * missing entry for one that lapsed and keeps its target for 2.3 s.
 */
const UNHEARD_SPREAD_MS = 150;

/**
 * Pause after an answer of a gate that serves others, in ms, and its spread:
 * a megabyte takes 60 ms over a link of 140 Mbit/s.
 */
const RETRY_MS = 100;
const RETRY_SPREAD_MS = 150;

/** Most gates asked in a row; each later beat of another gate starts anew. */
const MOST_ASKS = 10;

/** What the fetcher works with. */
export interface FactsFetcherOptions {
  readonly state: FleetState;
  /** True while the store has not answered this gate for too long. */
  readonly isStoreSilent: () => boolean;
  /** Hosts of the gates that are alive and know newer facts than this one. */
  readonly listAhead: () => readonly string[];
  readonly fetch: (host: string, known: FactVersions) => Promise<SharedFacts>;
  readonly log: DecisionLog;
  readonly readNow: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Waits; passed in so that tests take no time. */
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
  private isUnderWay = false;

  constructor(private readonly options: FactsFetcherOptions) {}

  /** Notes that another gate is ahead; asks unless the store is faster. */
  schedule(): void {
    if (this.isUnderWay) return;
    this.isUnderWay = true;
    void this.run().finally(() => (this.isUnderWay = false));
  }

  private async run(): Promise<void> {
    const {listAhead, isStoreSilent} = this.options;
    if (isStoreSilent()) await this.wait(0, UNHEARD_SPREAD_MS);
    else await this.wait(AHEAD_MS, AHEAD_SPREAD_MS);
    const failed = new Set<string>();
    // One answer need not be all: a gate that is ahead by a target alone does
    // not bring the configuration that another one has.
    for (let asks = 0; asks < MOST_ASKS; asks++) {
      const host = this.pickAhead(failed);
      if (host === undefined) return;
      const goesOn = await this.tryFetch(host, failed);
      if (!goesOn || listAhead().length === 0) return;
      await this.wait(RETRY_MS, RETRY_SPREAD_MS);
    }
  }

  /**
   * Any of the gates that are ahead, not the first that was heard of: that
   * one is the same for all.
   */
  private pickAhead(failed: ReadonlySet<string>): string | undefined {
    const {listAhead, random} = this.options;
    const hosts = listAhead().filter(host => !failed.has(host));
    return hosts[Math.floor(random() * hosts.length)];
  }

  /** Says whether another gate may be asked after this one. */
  private async tryFetch(host: string, failed: Set<string>): Promise<boolean> {
    const {state, fetch, log, readNow} = this.options;
    const startedAt = readNow();
    const countMs = () => Math.round(readNow() - startedAt);
    try {
      const configVersion = state.config?.version ?? 0;
      const {revision} = state;
      state.applyShared(await fetch(host, {configVersion, revision}));
    } catch (error) {
      if (error instanceof FactsBusyError) {
        log.info('facts_from_peer_busy', {peer: host, ms: countMs()});
        return true;
      }
      failed.add(host);
      const reason = (error as Error).message;
      log.warn('facts_from_peer_failed', {peer: host, ms: countMs(), reason});
      // What one gate of another version says, the next one says as well: a
      // megabyte each that cannot be used.
      return !(error instanceof DecodeError);
    }
    log.info('facts_from_peer', {
      peer: host,
      configVersion: state.config?.version,
      revision: state.revision,
      ms: countMs(),
    });
    return true;
  }

  private wait(ms: number, spreadMs: number): Promise<void> {
    const {random, wait = waitIdly} = this.options;
    return wait(ms + random() * spreadMs);
  }
}

/** Keeps no process alive that has nothing else to do. */
function waitIdly(ms: number): Promise<void> {
  return sleep(ms, undefined, {ref: false});
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
