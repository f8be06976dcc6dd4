/** Test harness: a gate on loopback with a fake store and fake targets. */
import {request} from 'node:http';
import {Writable} from 'node:stream';
import {buildLoopbackHost} from '@nutmeggauge/core';
import {findFraming} from '../forward/exchange.js';
import {createDirectGate} from '../gate.js';
import {createDecisionLog} from '../observe/decision-log.js';
import {FakeReports} from './fake-reports.js';
import {FakeReservations} from './fake-reservations.js';
import {FakeStore} from './fake-store.js';
import {openFakeTarget} from './fake-target.js';
import {buildConfig} from './test-config.js';
import {TestDialect} from './test-dialect.js';
import type {DirectGate} from '../gate.js';
import type {ColdBounds} from '../gate-settings.js';
import type {RetryBounds} from '../retry/shared-retry-budget.js';
import type {FleetConfig} from '../types.js';
import type {FakeTarget, TargetScript} from './fake-target.js';

export {ENGINE, buildConfig, buildLargeConfig} from './test-config.js';

const RETRY_BOUNDS: RetryBounds = {ratio: 0.2, slack: 100, windowMs: 10_000};

/** Answer that a caller received from the gate. */
export interface ReceivedResponse {
  readonly status: number;
  readonly body: string;
  /** False if the connection broke before the answer was complete. */
  readonly isWhole: boolean;
  /** Whether a length or chunks mark the end of the answer. */
  readonly isFramed: boolean;
  readonly retryAfter: string | undefined;
  readonly ms: number;
}

/** Options of a call to the gate. */
export interface CallOptions {
  readonly id?: string;
  readonly key?: string;
  readonly deadlineMs?: number;
  readonly tokens?: number;
  /**
   * Largest number of tokens to generate.
   *
   * @default 100
   */
  readonly maxOutputTokens?: number;
  /** Ids of the parts of the prompt; the last one is the request's own. */
  readonly parts?: readonly string[];
  readonly method?: string;
  readonly body?: string;
  /** Called when the head of the answer has arrived. */
  readonly onHead?: () => void;
  /** Time after which the caller disconnects, in ms. */
  readonly disconnectAfterMs?: number;
}

/**
 * Gate under test with its fake store and fake targets.
 *
 * @example
 * const harness = await openGateHarness();
 * await harness.addTarget('t1', 'orders', answerCompletely);
 * await harness.call('/safe/x');
 */
export class GateHarness {
  readonly store = new FakeStore();
  readonly reservations = new FakeReservations();
  readonly reports = new FakeReports();
  readonly gate: DirectGate;
  readonly lines: string[] = [];
  private readonly targets: FakeTarget[] = [];

  constructor(
    readonly host: string,
    readonly port: number,
    seedHosts: readonly string[],
    retryBounds: RetryBounds = RETRY_BOUNDS,
    regionByZone?: ReadonlyMap<string, string>,
    coldBounds?: ColdBounds,
    stopGraceMs = 2000,
  ) {
    const output = new Writable({
      write: (chunk, _, done) => {
        this.lines.push(String(chunk));
        done();
      },
    });
    this.gate = createDirectGate(
      {
        node: `gate-${host}`,
        zone: 'az-1',
        regionByZone,
        ingress: {host, port},
        ready: {host, port: port + 1},
        peers: {host, port: port + 2},
        metrics: {host, port: port + 3},
        seedHosts,
        retryBounds,
        isFirstStart: true,
        stopGraceMs,
        crashRefusalMs: 600_000,
        coldBounds,
      },
      {
        dialect: new TestDialect(),
        store: this.store,
        reservations: this.reservations,
        reports: this.reports,
        log: createDecisionLog({
          proc: host,
          output,
          readWallMs: Date.now,
        }),
      },
    );
  }

  /** Starts a target and publishes it in the store. */
  async addTarget(
    id: string,
    service: string,
    script: TargetScript,
    zone = 'az-1',
  ): Promise<FakeTarget> {
    const target = await openFakeTarget(id, service, script);
    this.targets.push(target);
    this.store.publishTarget({...target.entry, zone});
    return target;
  }

  /** Replaces the script of every target. */
  setScripts(script: TargetScript): void {
    for (const target of this.targets) target.script = script;
  }

  /** Calls the gate and waits until the answer has ended. */
  call(path: string, options: CallOptions = {}): Promise<ReceivedResponse> {
    return callGate({host: this.host, port: this.port}, path, options);
  }

  /** Sends a readiness check as the load balancer does; returns the status. */
  async askReady(): Promise<number> {
    const answer = await callGate(
      {host: this.host, port: this.port + 1},
      '/ready',
      {},
    );
    return answer.status;
  }

  /** Reads a gauge from the metrics by its name without the prefix. */
  async readGauge(name: string): Promise<number> {
    const address = {host: this.host, port: this.port + 3};
    const {body} = await callGate(address, '/metrics', {});
    const line = body.split('\n').find(text => text.includes(`_${name} `));
    return Number(line?.split(' ')[1]);
  }

  /** Waits until `check` returns true; fails the test after two seconds. */
  async waitUntil(check: () => boolean | Promise<boolean>): Promise<void> {
    const giveUpAt = performance.now() + 2000;
    while (!(await check())) {
      if (performance.now() > giveUpAt)
        throw new Error('condition not met within 2,000 ms');
      await new Promise(resolve => setTimeout(resolve, 10));
    }
  }

  /** Closes the gate and all targets. */
  close(): void {
    this.gate.close();
    for (const target of this.targets) target.close();
  }
}

function callGate(
  address: {readonly host: string; readonly port: number},
  path: string,
  options: CallOptions,
): Promise<ReceivedResponse> {
  const startedAt = performance.now();
  return new Promise(resolve => {
    let status = 0;
    let body = '';
    let retryAfter: string | undefined;
    let isFramed = false;
    const finish = (isWhole: boolean) =>
      resolve({
        status,
        body,
        isWhole,
        isFramed,
        retryAfter,
        ms: performance.now() - startedAt,
      });
    const headers: Record<string, string> = {
      host: 'site',
      'x-test-id': options.id ?? 'q1',
      'x-test-key': options.key ?? 'k1',
      'x-test-deadline': String(options.deadlineMs ?? 4000),
    };
    if (options.tokens !== undefined)
      headers['x-test-tokens'] = String(options.tokens);
    if (options.maxOutputTokens !== undefined)
      headers['x-test-output'] = String(options.maxOutputTokens);
    if (options.parts !== undefined)
      headers['x-test-parts'] = options.parts.join();
    const req = request({
      ...address,
      path,
      method: options.method ?? 'GET',
      headers,
      agent: false,
    });
    req.once('error', () => finish(false));
    req.once('response', res => {
      status = res.statusCode ?? 0;
      retryAfter = res.headers['retry-after'];
      isFramed = findFraming(res) !== 'by-close';
      options.onHead?.();
      res.on('data', chunk => (body += String(chunk)));
      res.once('error', () => finish(false));
      res.once('end', () => finish(res.complete));
    });
    if (options.disconnectAfterMs !== undefined)
      setTimeout(() => req.destroy(), options.disconnectAfterMs);
    req.end(options.body);
  });
}

let lastPort = 21_000;

/**
 * Starts a gate, with the default configuration unless another is given.
 *
 * @example
 * const harness = await openGateHarness({host: '127.0.0.2'});
 */
export async function openGateHarness(
  options: {
    readonly host?: string;
    readonly port?: number;
    readonly seedHosts?: readonly string[];
    readonly config?: FleetConfig | 'none';
    readonly retryBounds?: RetryBounds;
    readonly regionByZone?: ReadonlyMap<string, string>;
    readonly coldBounds?: ColdBounds;
    readonly stopGraceMs?: number;
  } = {},
): Promise<GateHarness> {
  const port = options.port ?? (lastPort += 10);
  const harness = new GateHarness(
    options.host ?? buildLoopbackHost(0),
    port,
    options.seedHosts ?? [],
    options.retryBounds,
    options.regionByZone,
    options.coldBounds,
    options.stopGraceMs,
  );
  if (options.config !== 'none')
    harness.store.publishConfig(options.config ?? buildConfig(1));
  await harness.gate.start();
  return harness;
}
