/**
 * Closes new connections unread while this gate is behind and others are not, as
 * when a load balancer sends it most of them. Callers then try another gate, and
 * nothing that was sent on such a connection has run.
 */
import type {Server} from 'node:http';
import type {Counters} from '@nutmeggauge/core';

/** Interval at which the delay of the event loop is measured, in ms. */
const SAMPLE_INTERVAL_MS = 50;

/** Delay of the event loop from which a gate is behind, in ms. */
const BEHIND_LAG_MS = 100;

/**
 * Time for which a gate must be behind before it closes connections, in ms; above
 * the interval at which peers tell their delays.
 */
const BEHIND_TIME_MS = 1200;

/**
 * Number of late samples in a row from which a gate is behind: a suspension of its
 * process gives one.
 */
const MIN_LATE_SAMPLES = 4;

/** Delay below which a gate that was behind has caught up, in ms. */
const CAUGHT_UP_LAG_MS = 40;

/** Share of the peers that must not be behind for connections to be closed. */
const FREE_PEER_SHARE = 0.5;

/** Time over which the largest delay is told to peers, in ms. */
const REPORT_WINDOW_MS = 1000;

/** Maximum that closes every connection; Node.js 20 takes 0 for no maximum. */
const NO_CONNECTIONS = -1;

/** Dependencies of a connection shedder. */
export interface ConnectionShedderOptions {
  readonly readNow: () => number;
  /** Lists the largest recent delays of the event loops of the peers, in ms. */
  readonly listPeerLags: () => readonly number[];
  readonly counters: Counters;
}

/**
 * Sheds new connections of one server.
 *
 * @example
 * const shedder = new ConnectionShedder({readNow, listPeerLags, counters});
 * shedder.observe(server);
 * shedder.start();
 */
export class ConnectionShedder {
  private readonly servers: Server[] = [];
  private timer: NodeJS.Timeout | undefined;
  private dueAt = Infinity;
  /** Time since which the gate is behind, in ms; Infinity if it is not. */
  private behindSince = Infinity;
  private lateSamples = 0;
  private isSheddingNow = false;
  private largestLagMs = 0;
  private largestLagAt = -Infinity;

  constructor(private readonly options: ConnectionShedderOptions) {}

  /** Whether new connections are closed unread. */
  get isShedding(): boolean {
    return this.isSheddingNow;
  }

  /** Sheds the connections of a server. */
  observe(server: Server): void {
    this.servers.push(server);
    server.on('drop', () =>
      this.options.counters.add('ingress.connections_shed'),
    );
  }

  /** Starts to measure the delay of the event loop. */
  start(): void {
    const {readNow} = this.options;
    this.dueAt = readNow() + SAMPLE_INTERVAL_MS;
    this.timer = setInterval(() => {
      const now = readNow();
      this.recordLag(Math.max(0, now - this.dueAt));
      this.dueAt = now + SAMPLE_INTERVAL_MS;
    }, SAMPLE_INTERVAL_MS);
    this.timer.unref();
  }

  /** Stops measuring, and takes all connections again. */
  stop(): void {
    clearInterval(this.timer);
    this.setShedding(false);
  }

  /** Returns the largest delay of the last second, in ms. */
  readLagMs(): number {
    const isRecent =
      this.options.readNow() - this.largestLagAt <= REPORT_WINDOW_MS;
    return isRecent ? this.largestLagMs : 0;
  }

  /** Records a delay of the event loop, in ms. */
  recordLag(lagMs: number): void {
    const now = this.options.readNow();
    if (lagMs >= this.readLagMs()) {
      this.largestLagMs = lagMs;
      this.largestLagAt = now;
    }
    const limitMs = this.isSheddingNow ? CAUGHT_UP_LAG_MS : BEHIND_LAG_MS;
    const isLate = lagMs >= limitMs;
    this.lateSamples = isLate ? this.lateSamples + 1 : 0;
    this.behindSince = isLate ? Math.min(this.behindSince, now) : Infinity;
    const isBehind =
      this.lateSamples >= MIN_LATE_SAMPLES &&
      now - this.behindSince >= BEHIND_TIME_MS;
    this.setShedding(isBehind && this.isPeerShareFree());
  }

  private isPeerShareFree(): boolean {
    const lags = this.options.listPeerLags();
    const free = lags.filter(ms => ms < CAUGHT_UP_LAG_MS).length;
    return free > 0 && free >= lags.length * FREE_PEER_SHARE;
  }

  private setShedding(isShedding: boolean): void {
    this.isSheddingNow = isShedding;
    // Node.js closes connections above the maximum before it reads from them.
    for (const server of this.servers)
      server.maxConnections = isShedding ? NO_CONNECTIONS : Infinity;
  }
}
