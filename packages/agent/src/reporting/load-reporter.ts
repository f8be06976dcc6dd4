/**
 * Load reports to gates. A link in use hears of a change at once, and of
 * those that follow at most every `reportMs`; every other link gets a slow
 * heartbeat. So the cost of control grows with
 * the traffic of a node and not with the number of gates and targets.
 */
import {RpcMethod} from '@nutmeggauge/core';
import type {LoadReport, RpcLink} from '@nutmeggauge/core';

/**
 * A link counts as in use once it brought two dispatches within this time, in
 * ms. A gate of a large fleet sends a target a request a minute: fresh
 * figures on such a link would be old again before its next choice.
 */
const IN_USE_MS = 5000;

/** Options of a load reporter. */
export interface LoadReporterOptions {
  /** Shortest time between two reports on a link in use, in ms. */
  readonly reportMs: number;
  /** Period of heartbeats on other links, in ms. */
  readonly heartbeatMs: number;
  readonly readLoad: () => LoadReport;
}

interface LinkState {
  /** Times of the last dispatch and of the one before it, in epoch ms. */
  lastDispatchAt: number;
  formerDispatchAt: number;
  lastSentAt: number;
  lastSent: string;
}

function isInUse(state: LinkState, now: number): boolean {
  return now - state.formerDispatchAt <= IN_USE_MS;
}

/**
 * A task that reports the load of one agent to its links.
 *
 * @example
 * const reporter = new LoadReporter({reportMs: 200, heartbeatMs: 1000, readLoad});
 * reporter.start();
 */
export class LoadReporter {
  private readonly links = new Map<RpcLink, LinkState>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LoadReporterOptions) {}

  start(): void {
    this.timer = setInterval(() => this.sendDue(), this.options.reportMs);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Takes in a new link and reports to it at once. */
  addLink(link: RpcLink): void {
    this.links.set(link, {
      lastDispatchAt: 0,
      formerDispatchAt: 0,
      lastSentAt: 0,
      lastSent: '',
    });
    this.broadcast([link]);
  }

  dropLink(link: RpcLink): void {
    this.links.delete(link);
  }

  /** Records that a link brought a request. */
  markDispatch(link: RpcLink): void {
    const state = this.links.get(link);
    if (state === undefined) return;
    state.formerDispatchAt = state.lastDispatchAt;
    state.lastDispatchAt = Date.now();
  }

  /**
   * Reports a change on the links in use that were not sent one lately; the
   * others hear of it with the next period.
   */
  notifyChange(): void {
    const {reportMs} = this.options;
    const now = Date.now();
    const due = [...this.links]
      .filter(([, s]) => isInUse(s, now) && now - s.lastSentAt >= reportMs)
      .map(([link]) => link);
    // Called three times a request: without a reader the report is not made.
    if (due.length > 0) this.broadcast(due);
  }

  /** Reports to `links` now, such as when a drain begins. */
  broadcast(links: Iterable<RpcLink> = this.links.keys()): void {
    const report = this.options.readLoad();
    const figures = JSON.stringify(report);
    for (const link of links) this.send(link, report, figures);
  }

  private sendDue(): void {
    const now = Date.now();
    const report = this.options.readLoad();
    const figures = JSON.stringify(report);
    for (const [link, state] of this.links) {
      const changed = isInUse(state, now) && state.lastSent !== figures;
      const beatDue = now - state.lastSentAt >= this.options.heartbeatMs;
      if (changed || beatDue) this.send(link, report, figures);
    }
  }

  private send(link: RpcLink, report: LoadReport, figures: string): void {
    const state = this.links.get(link);
    if (state === undefined) return;
    state.lastSentAt = Date.now();
    state.lastSent = figures;
    link.notify(RpcMethod.load, report);
  }
}
