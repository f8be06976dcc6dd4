/** Gate with engines whose every event is sent by a test, under a fake clock. */
import {request} from 'node:http';
import {startFakeClock} from './fake-clock.js';
import {buildSignedHead, formatEvents} from './fake-target.js';
import {LONG_ITERATION_ENGINE} from './fleet-load.js';
import {buildConfig, openGateHarness} from './gate-harness.js';
import type {ServerResponse} from 'node:http';
import type {FleetConfig} from '../types.js';
import type {RetryBounds} from '../retry/shared-retry-budget.js';
import type {FakeClock} from './fake-clock.js';
import type {FakeTarget, TargetScript} from './fake-target.js';
import type {GateHarness} from './gate-harness.js';

/** Number of events in a complete stream. */
export const EVENT_COUNT = 6;

/** Grace period of the gate, in ms; above the pauses of its engines. */
const STOP_GRACE_MS = 8000;

/** Pause after which the caller of a short stream cancels, in ms. */
export const PATIENCE_MS = 2000;

/** Caller of a stream, which cancels after a pause of `PATIENCE_MS`. */
export class StreamCaller {
  body = '';
  /** Undefined until the response has ended. */
  end: 'whole' | 'cut' | 'left' | undefined;
  private patience: NodeJS.Timeout | undefined;

  constructor(address: {host: string; port: number}, path: string, id: string) {
    const tokens = path.startsWith('/long/') ? path.split('/')[2] : '5000';
    const req = request({
      ...address,
      path,
      headers: {
        host: 'site',
        'x-test-id': id,
        'x-test-key': 'k1',
        'x-test-deadline': '15000',
        'x-test-tokens': tokens,
      },
      agent: false,
    });
    const isPatient = path.startsWith('/long/');
    const restart = () => {
      clearTimeout(this.patience);
      if (isPatient) return;
      this.patience = setTimeout(() => {
        this.end ??= 'left';
        req.destroy();
      }, PATIENCE_MS);
    };
    restart();
    req.once('error', () => this.finish('cut'));
    req.once('response', res => {
      res.on('data', chunk => {
        this.body += String(chunk);
        restart();
      });
      res.once('error', () => this.finish('cut'));
      res.once('end', () => this.finish(res.complete ? 'whole' : 'cut'));
    });
    req.end();
  }

  get isWhole(): boolean {
    return this.end === 'whole' && this.body === formatEvents(1, EVENT_COUNT);
  }

  private finish(end: 'whole' | 'cut'): void {
    this.end ??= end;
    clearTimeout(this.patience);
  }
}

/** Stream that an engine has received. */
export interface ReceivedStream {
  readonly id: string;
  /** Id of the last event that the caller has. */
  readonly after: number;
  readonly response: ServerResponse;
}

/** Engine that sends only what a test says. */
export class SilentEngine {
  readonly streams: ReceivedStream[] = [];
  private readonly sentById = new Map<string, number>();

  constructor(readonly id: string) {}

  readonly script: TargetScript = (req, response) => {
    const after = Number(req.headers['x-test-after'] ?? 0);
    const id = String(req.headers['x-test-id']);
    this.streams.push({id, after, response});
    this.sentById.set(id, after);
    response.writeHead(200, buildSignedHead(req));
  };

  /** Sends the events up to `last` to every stream. */
  stream(last: number): void {
    for (const {id, response} of this.streams) {
      const after = this.sentById.get(id) ?? 0;
      if (after >= last) continue;
      this.sentById.set(id, last);
      response.write(formatEvents(after + 1, last));
      if (last === EVENT_COUNT) response.end();
    }
  }

  /** Lists the streams whose connection is open. */
  listOpen(): readonly ReceivedStream[] {
    return this.streams.filter(
      ({response}) => !response.destroyed && !response.writableEnded,
    );
  }

  /** Breaks off every stream, as in a crash. */
  close(): void {
    for (const {response} of this.listOpen()) response.destroy();
  }
}

/** Builds a configuration of one service of engines with long iterations. */
export function buildStreamConfig(
  version: number,
  maxAttempts = 2,
  slots = 10,
): FleetConfig {
  const base = buildConfig(version);
  const stream = base.routes[3];
  const route = {...stream, timeoutMs: 15_000, maxAttempts};
  return {
    ...base,
    routes: [
      ...base.routes.slice(0, 3),
      route,
      {
        ...route,
        name: 'long',
        prefix: '/long/',
        objectiveMs: 4000,
        itlObjectiveMs: 1000,
      },
    ],
    services: [
      {name: 'orders', engine: undefined},
      {name: 'chat', engine: {...LONG_ITERATION_ENGINE, slots}},
    ],
  };
}

/**
 * Gate under a fake clock with engines that only send what a test says.
 *
 * @example
 * const bed = await openStreamBed(['a']);
 * await bed.beginStreams('a', 8);
 * await bed.clock.advance(1300);
 * await bed.close();
 */
export class StreamBed {
  readonly engines = new Map<string, SilentEngine>();
  readonly targets = new Map<string, FakeTarget>();
  readonly callers: StreamCaller[] = [];
  private lastId = 0;
  private lastShard = 0;

  constructor(
    readonly harness: GateHarness,
    readonly clock: FakeClock,
  ) {}

  /** Starts an engine, which scripts may replace. */
  async addEngine(id: string, script?: TargetScript): Promise<SilentEngine> {
    const engine = new SilentEngine(id);
    this.engines.set(id, engine);
    const target = await this.harness.addTarget(
      id,
      'chat',
      script ?? engine.script,
    );
    this.targets.set(id, target);
    await this.clock.advanceUntil(
      () => this.countLines('target_added', id) > 0,
    );
    await this.clock.advance(100);
    return engine;
  }

  /** Adds a shard that another gate has placed on an engine; returns its key. */
  addPeerShard(engine: string, prefillMs: number): string {
    const key = `peer#${++this.lastShard}`;
    this.harness.gate['tracker'].add({
      key,
      decoder: 'elsewhere',
      shards: ['elsewhere', engine].map(target => ({target, prefillMs})),
      promptTokens: 66_000,
      kvTokens: 0,
      reserved: [],
      objectiveMs: 4000,
      itlObjectiveMs: 1000,
      value: 1,
      predictedTtftMs: prefillMs,
      placedAt: this.clock.now,
    });
    return key;
  }

  /** Removes a shard that another gate has placed. */
  removePeerShard(key: string): void {
    this.harness.gate['tracker'].remove(key, this.clock.now);
  }

  /** Calls the gate for a stream. */
  call(path = '/stream/x'): StreamCaller {
    const {host, port} = this.harness;
    const id = `q${++this.lastId}`;
    const caller = new StreamCaller({host, port}, path, id);
    this.callers.push(caller);
    return caller;
  }

  /** Begins streams at the only engine; each caller receives two events. */
  async beginStreams(engine: SilentEngine, count: number): Promise<void> {
    const callers: StreamCaller[] = [];
    while (callers.length < count) {
      const caller = this.call();
      callers.push(caller);
      await this.clock.advanceUntil(
        () => engine.streams.length === callers.length,
      );
      engine.stream(1);
      await this.clock.waitUntil(() => caller.body === formatEvents(1, 1));
    }
    engine.stream(2);
    await this.clock.waitUntil(() =>
      callers.every(({body}) => body === formatEvents(1, 2)),
    );
  }

  /** Counts log lines of an event, optionally those that name `text`. */
  countLines(event: string, text = ''): number {
    return this.harness.lines.filter(
      line => line.includes(`"${event}"`) && line.includes(text),
    ).length;
  }

  /** Waits until every caller has an end. */
  async waitForEnds(): Promise<void> {
    await this.clock.waitUntil(() =>
      this.callers.every(({end}) => end !== undefined),
    );
  }

  close(): void {
    // Restores the timers first, so that the gate can stop its own.
    this.clock.stop();
    this.harness.close();
  }
}

/** Starts a gate under a fake clock without engines. */
export async function openStreamBed(
  options: {
    readonly config?: FleetConfig;
    readonly retryBounds?: RetryBounds;
  } = {},
): Promise<StreamBed> {
  const harness = await openGateHarness({
    config: options.config ?? buildStreamConfig(1),
    retryBounds: options.retryBounds,
    stopGraceMs: STOP_GRACE_MS,
  });
  // Timers that began before the fake clock would run in real time.
  await harness.waitUntil(() => harness.store.isWatched);
  return new StreamBed(harness, startFakeClock());
}
