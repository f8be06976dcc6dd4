/** Several gates that share targets, some of which name a request limit. */
import {setTimeout as sleep} from 'node:timers/promises';
import {buildLoopbackHost} from '@nutmeggauge/core';
import {buildSignedHead, formatEvents, openFakeTarget} from './fake-target.js';
import {openGateHarness} from './gate-harness.js';
import type {ServerResponse} from 'node:http';
import type {ColdBounds} from '../gate-settings.js';
import type {FleetConfig} from '../types.js';
import type {FakeTarget} from './fake-target.js';
import type {GateHarness, ReceivedResponse} from './gate-harness.js';

/** Time between two calls of a burst, in ms. */
const CALL_INTERVAL_MS = 5;

/** Span in which requests are counted, in ms. */
const WINDOW_MS = 4000;

/** Port of the first fleet's gates; each fleet uses the next ones. */
let lastPort = 26_000;

/** What the gates of a fleet are started with. */
export interface FleetGateOptions {
  readonly config?: FleetConfig;
  readonly coldBounds?: ColdBounds;
}

/** Target that names a limit in its answers, or none. */
export interface LimitedTarget {
  readonly target: FakeTarget;
  /** Value of the field that names the limit; absent to name none. */
  limit: string | undefined;
  /** Times at which requests arrived, in ms. */
  readonly arrivals: number[];
}

/**
 * Gates with a store each, and targets that all of them use.
 *
 * @example
 * const fleet = await openLimitedFleet(3);
 * const target = await fleet.addTarget('t1', 'orders', '1.5');
 * await fleet.callOften(100, '/safe/x');
 */
export class LimitedFleet {
  readonly gates: GateHarness[] = [];
  private readonly targets: FakeTarget[] = [];
  private lastRequestNumber = 0;

  /** Starts the gates and waits until they know each other. */
  async start(count: number, options: FleetGateOptions = {}): Promise<void> {
    const port = (lastPort += 10);
    for (let i = 0; i < count; i++)
      this.gates.push(
        await openGateHarness({
          host: buildLoopbackHost(i),
          port,
          seedHosts: [buildLoopbackHost(0)],
          ...options,
        }),
      );
    for (const gate of this.gates)
      await gate.waitUntil(() => gate.gate['peers'].countGates() === count);
  }

  /** Starts a target and waits until all gates know it. */
  async addTarget(
    id: string,
    service: 'orders' | 'chat',
    limit?: string,
  ): Promise<LimitedTarget> {
    const arrivals: number[] = [];
    const target = await openFakeTarget(id, service, (req, res) => {
      arrivals.push(performance.now());
      const head = buildSignedHead(req);
      if (limited.limit !== undefined) head['x-test-limit'] = limited.limit;
      res.writeHead(200, head);
      if (service === 'chat') void streamEvents(res);
      else res.end('whole');
    });
    const limited: LimitedTarget = {target, limit, arrivals};
    this.targets.push(target);
    for (const {store} of this.gates) store.publishTarget(target.entry);
    for (const gate of this.gates)
      await gate.waitUntil(
        async () =>
          (await gate.readGauge('targets_known')) === this.targets.length,
      );
    return limited;
  }

  /** Calls one gate after the other. */
  async callOften(
    count: number,
    path: string,
  ): Promise<readonly ReceivedResponse[]> {
    const answers: Array<Promise<ReceivedResponse>> = [];
    for (let i = 0; i < count; i++) {
      const id = `q${++this.lastRequestNumber}`;
      const gate = this.gates[i % this.gates.length];
      answers.push(gate.call(path, {id, tokens: 1000}));
      await sleep(CALL_INTERVAL_MS);
    }
    return Promise.all(answers);
  }

  close(): void {
    for (const gate of this.gates) gate.close();
    for (const target of this.targets) target.close();
  }
}

/** Returns the largest number of arrivals within any `windowMs`. */
export function countMostArrivals(
  arrivals: readonly number[],
  windowMs = WINDOW_MS,
): number {
  const counts = arrivals.map(
    from => arrivals.filter(at => at >= from && at < from + windowMs).length,
  );
  return Math.max(0, ...counts);
}

async function streamEvents(res: ServerResponse): Promise<void> {
  res.write(formatEvents(1, 1));
  await sleep(20);
  res.end(formatEvents(2, 2));
}

/** Starts gates that know each other. */
export async function openLimitedFleet(
  gates: number,
  options: FleetGateOptions = {},
): Promise<LimitedFleet> {
  const fleet = new LimitedFleet();
  await fleet.start(gates, options);
  return fleet;
}
