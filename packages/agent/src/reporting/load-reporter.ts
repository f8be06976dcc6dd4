/**
 * Sends load reports to gates. An active link gets a report when the load
 * changes, at most one every `reportMs`; every other link gets only heartbeats.
 * The cost of load reports thus grows with the traffic of the target rather
 * than with the number of gates and targets.
 */
import {RpcMethod} from '@nutmeggauge/core';
import type {LoadReport, RpcLink} from '@nutmeggauge/core';

/**
 * A link is active when at least two dispatches arrived on it within this time,
 * in ms. In a large fleet a gate sends a target about one request a minute, so
 * frequent reports on its link would be outdated before the gate's next routing
 * decision.
 */
const ACTIVE_WINDOW_MS = 5000;

/** Options of a load reporter. */
export interface LoadReporterOptions {
  /** Shortest time between two reports on an active link, in ms. */
  readonly reportMs: number;
  /** Longest time between two reports on any link, in ms. */
  readonly heartbeatMs: number;
  readonly readLoad: () => LoadReport;
}

interface LinkState {
  /** Time of the last dispatch, in epoch ms; 0 before the first. */
  lastDispatchAt: number;
  /** Time of the second to last dispatch, in epoch ms; 0 before the second. */
  previousDispatchAt: number;
  lastSentAt: number;
  /** JSON text of the last report sent. */
  lastSentReport: string;
}

function isActive(state: LinkState, now: number): boolean {
  return now - state.previousDispatchAt <= ACTIVE_WINDOW_MS;
}

/**
 * Reports the load of one agent on its links to gates.
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

  /** Adds a link and sends it a report at once. */
  addLink(link: RpcLink): void {
    this.links.set(link, {
      lastDispatchAt: 0,
      previousDispatchAt: 0,
      lastSentAt: 0,
      lastSentReport: '',
    });
    this.broadcast([link]);
  }

  dropLink(link: RpcLink): void {
    this.links.delete(link);
  }

  /** Records that a dispatch arrived on `link`. */
  markDispatch(link: RpcLink): void {
    const state = this.links.get(link);
    if (state === undefined) return;
    state.previousDispatchAt = state.lastDispatchAt;
    state.lastDispatchAt = Date.now();
  }

  /**
   * Reports a changed load on the active links whose last report is at least
   * `reportMs` old; the timer reports it on the other active links.
   */
  notifyChange(): void {
    const {reportMs} = this.options;
    const now = Date.now();
    const due = [...this.links]
      .filter(
        ([, linkState]) =>
          isActive(linkState, now) && now - linkState.lastSentAt >= reportMs,
      )
      .map(([link]) => link);
    // The load changes three times per request, so a report is built only if a
    // link is due.
    if (due.length > 0) this.broadcast(due);
  }

  /** Sends a report on `links` at once, for example when a drain begins. */
  broadcast(links: Iterable<RpcLink> = this.links.keys()): void {
    const report = this.options.readLoad();
    const serialized = JSON.stringify(report);
    for (const link of links) this.send(link, report, serialized);
  }

  private sendDue(): void {
    const now = Date.now();
    const report = this.options.readLoad();
    const serialized = JSON.stringify(report);
    for (const [link, state] of this.links) {
      const hasChanged =
        isActive(state, now) && state.lastSentReport !== serialized;
      const isHeartbeatDue = now - state.lastSentAt >= this.options.heartbeatMs;
      if (hasChanged || isHeartbeatDue) this.send(link, report, serialized);
    }
  }

  private send(link: RpcLink, report: LoadReport, serialized: string): void {
    const state = this.links.get(link);
    if (state === undefined) return;
    state.lastSentAt = Date.now();
    state.lastSentReport = serialized;
    link.notify(RpcMethod.load, report);
  }
}
