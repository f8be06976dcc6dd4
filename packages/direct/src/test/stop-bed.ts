/** A gate with targets that is stopped while it has requests. */
import {setTimeout as sleep} from 'node:timers/promises';
import {buildConfig, openGateHarness} from './gate-harness.js';
import type {ColdBounds} from '../gate-settings.js';
import type {FleetConfig, Route} from '../types.js';
import type {RequestPlace} from '../stop/open-request.js';
import type {RequestTable} from '../stop/request-table.js';
import type {FakeTarget, TargetScript} from './fake-target.js';
import type {
  CallOptions,
  GateHarness,
  ReceivedResponse,
} from './gate-harness.js';

/** Deadline above every grace period, in ms. */
const DEADLINE_MS = 20_000;

/** Time in which a request would be sent after its refusal, in ms. */
const LATE_SEND_MS = 300;

/** Gate and targets of a stop. */
export interface StopBedOptions {
  /** Time between the signal and the end of the process, in ms. */
  readonly graceMs: number;
  /** Scripts of the targets of each service. */
  readonly scripts: Readonly<
    Record<'orders' | 'chat', readonly TargetScript[]>
  >;
  /** @default the objectives of the routes */
  readonly objectiveMs?: Partial<Record<Route['kind'], number>>;
  readonly config?: Partial<FleetConfig>;
  readonly coldBounds?: ColdBounds;
}

/** An answer, and how often a target has got its request. */
export interface StopOutcome extends ReceivedResponse {
  readonly id: string;
  readonly received: number;
}

/**
 * Gate that is stopped, and its targets.
 *
 * @example
 * await bed.stop();
 */
export class StopBed {
  private readonly answers: Array<Promise<ReceivedResponse>> = [];
  private readonly ids: string[] = [];

  constructor(
    readonly harness: GateHarness,
    readonly targets: readonly FakeTarget[],
  ) {}

  /** Sends a request whose outcome {@link readOutcomes} tells. */
  send(path: string, id: string, options: CallOptions = {}): void {
    this.ids.push(id);
    this.answers.push(
      this.harness.call(path, {
        method: 'POST',
        id,
        deadlineMs: DEADLINE_MS,
        tokens: 1000,
        ...options,
      }),
    );
  }

  /** Waits until targets have got a request. */
  waitForArrival(id: string, count = 1): Promise<void> {
    return this.harness.waitUntil(() => this.countReceived(id) >= count);
  }

  /** Waits until a request waits at a place. */
  waitForPlace(id: string, place: RequestPlace): Promise<void> {
    const {requests} = this.harness.gate['context'].stop as unknown as {
      readonly requests: RequestTable;
    };
    return this.harness.waitUntil(() =>
      requests
        .list()
        .some(open => open.requestId === id && open.place === place),
    );
  }

  /** Counts how often targets have got a request. */
  countReceived(id: string): number {
    return this.targets.reduce(
      (sum, {received}) => sum + received.filter(name => name === id).length,
      0,
    );
  }

  /** Ends the gate as its process does after a signal. */
  async stop(): Promise<void> {
    await this.harness.gate.drain();
    this.harness.gate.close();
  }

  /** Reads the answers, once nothing would be sent for them any more. */
  async readOutcomes(): Promise<readonly StopOutcome[]> {
    const answers = await Promise.all(this.answers);
    await sleep(LATE_SEND_MS);
    return answers.map((answer, i) => {
      const id = this.ids[i];
      return {...answer, id, received: this.countReceived(id)};
    });
  }

  /** Lists what the log says of a request at the stop. */
  listActions(id: string): readonly string[] {
    return this.harness.lines
      .map(line => JSON.parse(line) as Record<string, unknown>)
      .filter(
        ({event, requestId}) => event === 'request_at_stop' && requestId === id,
      )
      .map(({action, place}) => `${action} in ${place}`);
  }
}

/**
 * Lists the answers that callers must not get of a gate that stops: incomplete ones,
 * 503 to a request that a target has, and an open outcome of one that none has.
 *
 * @example
 * expect(listWrongOutcomes(await bed.readOutcomes())).toEqual([]);
 */
export function listWrongOutcomes(
  outcomes: readonly StopOutcome[],
): readonly string[] {
  return outcomes
    .filter(({status, isWhole, received}) => {
      if (!isWhole) return true;
      return received > 0 ? status === 503 : status !== 503;
    })
    .map(
      ({id, status, isWhole, received}) =>
        `${id}: ${status}, ${isWhole ? 'whole' : 'cut'}, at ${received} targets`,
    );
}

/** Runs a test with a gate that knows its targets. */
export async function runStopBed(
  options: StopBedOptions,
  test: (bed: StopBed) => Promise<void>,
): Promise<void> {
  const {graceMs, scripts, objectiveMs = {}, coldBounds} = options;
  const base = buildConfig(1, options.config);
  const routes = base.routes.map(route => ({
    ...route,
    timeoutMs: DEADLINE_MS,
    objectiveMs: objectiveMs[route.kind] ?? route.objectiveMs,
  }));
  const harness = await openGateHarness({
    config: {...base, routes},
    stopGraceMs: graceMs,
    coldBounds,
  });
  try {
    const targets: FakeTarget[] = [];
    for (const service of ['orders', 'chat'] as const)
      for (const [i, script] of scripts[service].entries())
        targets.push(
          await harness.addTarget(`${service}${i}`, service, script),
        );
    const isKnown = ({id}: FakeTarget) =>
      harness.gate['state'].findTarget(id) !== undefined;
    await harness.waitUntil(() => targets.every(isKnown));
    await test(new StopBed(harness, targets));
  } finally {
    harness.close();
  }
}
