/** Several gates that share engines, which crash when they run some requests. */
import {setTimeout as sleep} from 'node:timers/promises';
import {buildLoopbackHost} from '@nutmeggauge/core';
import {buildSignedHead, formatEvents, openFakeTarget} from './fake-target.js';
import {buildConfig, openGateHarness} from './gate-harness.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {FakeTarget} from './fake-target.js';
import type {GateHarness, ReceivedResponse} from './gate-harness.js';

/** Body of a request under which every engine crashes that runs it. */
export const CRASHING_BODY = 'crashes every engine';

/** Number of events in a complete stream. */
const EVENT_COUNT = 4;

/** Time between two events of a stream, in ms. */
const EVENT_INTERVAL_MS = 40;

/** Time from the start of a run to the crash, in ms. */
const CRASH_DELAY_MS = 20;

/** Time from a crash to the removal of the engine's entry, in ms. */
const REMOVAL_DELAY_MS = 400;

/** Time from a crash to the start of the next incarnation, in ms. */
const RESTART_DELAY_MS = 600;

/** Time for a gate to close its sockets, in ms. */
const SOCKET_CLOSE_MS = 100;

/** Request that a caller sends to a gate of the fleet. */
export interface FleetCall {
  readonly gate: number;
  readonly body: string;
  readonly path?: string;
  readonly key?: string;
  /** Ids of the parts of the prompt; the last one is the request's own. */
  readonly parts?: readonly string[];
}

/** Options of a fleet. */
export interface CrashFleetOptions {
  readonly gates: number;
  readonly targets: number;
  /**
   * Service of the targets.
   *
   * @default 'chat'
   */
  readonly service?: 'chat' | 'orders';
  /**
   * Returns whether a target crashes when it runs a request with this body and
   * these parts of its prompt.
   *
   * @default true for CRASHING_BODY
   */
  readonly isCrashing?: (body: string, parts: readonly string[]) => boolean;
  /**
   * Time from the start of a run to the crash, in ms.
   *
   * @default 20
   */
  readonly crashDelayMs?: number;
  /**
   * Text that a crashing run sends first, in an answer with neither a length nor
   * chunks; absent if the run only sends a head.
   *
   * @default none
   */
  readonly unframedText?: string;
  /**
   * Whether a crashing run only resets its connection.
   *
   * @default false
   */
  readonly isOnlyCut?: boolean;
}

/** Port of the first fleet's gates; each fleet uses the next ones. */
let lastPort = 24_000;

/**
 * Gates with a store each, and engines that all of them use.
 *
 * @example
 * const fleet = await openCrashFleet({gates: 3, targets: 6});
 * await fleet.call({gate: 0, body: CRASHING_BODY});
 * fleet.crashes; // 2
 */
export class CrashFleet {
  readonly gates: GateHarness[] = [];
  /** Bodies that reached a target, in order. */
  readonly received: string[] = [];
  /** Number of targets that have crashed. */
  crashes = 0;
  private readonly targets = new Set<FakeTarget>();
  private readonly port = (lastPort += 10);
  private lastTargetNumber = 0;
  private lastRequestNumber = 0;
  private isClosed = false;

  constructor(private readonly options: CrashFleetOptions) {}

  /** Starts all gates and targets, and waits until they know each other. */
  async start(): Promise<void> {
    const {gates, targets} = this.options;
    for (let i = 0; i < gates; i++) await this.startGate(i);
    for (let i = 0; i < targets; i++) await this.startTarget();
    await this.waitForGates();
  }

  /** Restarts a gate, which loses everything that it knew. */
  async restartGate(index: number): Promise<void> {
    this.gates[index].close();
    await sleep(SOCKET_CLOSE_MS);
    await this.startGate(index);
    for (const {entry} of this.targets)
      this.gates[index].store.publishTarget(entry);
    await this.waitForGates();
  }

  /** Sends a request under a new id and waits until the answer has ended. */
  call({
    gate,
    body,
    path = '/stream/x',
    key,
    parts,
  }: FleetCall): Promise<ReceivedResponse> {
    return this.gates[gate].call(path, {
      id: `q${++this.lastRequestNumber}`,
      method: 'POST',
      tokens: 1000,
      body,
      key,
      parts,
    });
  }

  /** Ends targets that no request has crashed. */
  async endTargets(count: number): Promise<void> {
    const ended = [...this.targets].slice(0, count);
    await Promise.all(ended.map(target => this.endTarget(target)));
  }

  /** Counts how often a body reached a target. */
  countReceived(body: string): number {
    return this.received.filter(received => received === body).length;
  }

  /** Returns whether an answer is a complete stream. */
  isWholeStream({status, isWhole, body}: ReceivedResponse): boolean {
    return status === 200 && isWhole && body === formatEvents(1, EVENT_COUNT);
  }

  close(): void {
    this.isClosed = true;
    for (const gate of this.gates) gate.close();
    for (const target of this.targets) target.close();
  }

  private async startGate(index: number): Promise<void> {
    this.gates[index] = await openGateHarness({
      host: buildLoopbackHost(index),
      port: this.port,
      seedHosts: [buildLoopbackHost(0), buildLoopbackHost(1)],
      config: buildConfig(1, {
        accounts: [
          {name: 'acme', keys: ['k1']},
          {name: 'other', keys: ['k2']},
        ],
      }),
    });
  }

  private async waitForGates(): Promise<void> {
    for (const gate of this.gates)
      await gate.waitUntil(
        async () =>
          gate.gate['peers'].countGates() === this.gates.length &&
          (await gate.readGauge('targets_known')) === this.targets.size,
      );
  }

  private async startTarget(): Promise<void> {
    const id = `t${++this.lastTargetNumber}`;
    const {service = 'chat'} = this.options;
    const target: FakeTarget = await openFakeTarget(
      id,
      service,
      (req, res, body = '') => this.runRequest(target, req, res, body),
    );
    this.targets.add(target);
    for (const {store} of this.gates) store.publishTarget(target.entry);
  }

  private runRequest(
    target: FakeTarget,
    req: IncomingMessage,
    res: ServerResponse,
    body: string,
  ): void {
    this.received.push(body);
    const {isCrashing = text => text === CRASHING_BODY, crashDelayMs} =
      this.options;
    const parts = String(req.headers['x-test-parts'] ?? '').split(',');
    if (isCrashing(body, parts)) {
      const {unframedText} = this.options;
      if (unframedText !== undefined) startUnframed(req, res, unframedText);
      else if (target.service === 'chat')
        res.writeHead(200, buildSignedHead(req));
      setTimeout(
        () => void this.endRun(target, res),
        crashDelayMs ?? CRASH_DELAY_MS,
      );
    } else if (target.service === 'chat') {
      void streamEvents(req, res);
    } else {
      res.writeHead(200, buildSignedHead(req));
      res.end('whole');
    }
  }

  private async endRun(target: FakeTarget, res: ServerResponse): Promise<void> {
    if (res.destroyed) return;
    if (this.options.isOnlyCut === true) res.destroy();
    else await this.endTarget(target);
  }

  /** Ends a target and all its connections, and starts it again later. */
  private async endTarget(target: FakeTarget): Promise<void> {
    if (!this.targets.delete(target)) return;
    this.crashes++;
    target.close();
    await sleep(REMOVAL_DELAY_MS);
    for (const {store} of this.gates) store.dropTarget(target.id);
    await sleep(RESTART_DELAY_MS - REMOVAL_DELAY_MS);
    if (!this.isClosed) await this.startTarget();
  }
}

/** Starts an answer whose end only the end of the connection marks. */
export function startUnframed(
  req: IncomingMessage,
  res: ServerResponse,
  text: string,
): void {
  res.useChunkedEncodingByDefault = false;
  res.writeHead(200, {...buildSignedHead(req), connection: 'close'});
  res.flushHeaders();
  if (text !== '') res.write(text);
}

async function streamEvents(
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  res.writeHead(200, buildSignedHead(req));
  const after = Number(req.headers['x-test-after'] ?? 0);
  for (let id = after + 1; id <= EVENT_COUNT; id++) {
    await sleep(EVENT_INTERVAL_MS);
    if (res.destroyed) return;
    res.write(formatEvents(id, id));
  }
  res.end();
}

/**
 * Starts a fleet.
 *
 * @example
 * const fleet = await openCrashFleet({gates: 3, targets: 6});
 */
export async function openCrashFleet(
  options: CrashFleetOptions,
): Promise<CrashFleet> {
  const fleet = new CrashFleet(options);
  try {
    await fleet.start();
  } catch (error) {
    fleet.close();
    throw error;
  }
  return fleet;
}
