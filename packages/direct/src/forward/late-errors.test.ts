import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {waitMs} from '@nutmeggauge/core';
import {expect} from 'earl';
import fc from 'fast-check';
import {buildSignedHead, formatEvents} from '../test/fake-target.js';
import {openGateHarness} from '../test/gate-harness.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {GateHarness} from '../test/gate-harness.js';

/** Points at which the target resets its connection. */
const TARGET_RESET_POINTS = [
  'never',
  'accepted',
  'request read',
  'during the head',
  'after the head',
  'during the body',
  'after the response',
  'bytes after the response',
] as const;

/** Points at which the caller resets its connection. */
const CALLER_RESET_POINTS = [
  'never',
  'connected',
  'during the body',
  'request sent',
  'after the first bytes',
  'after the response',
] as const;

const SOCKET_ERRORS = [
  () =>
    Object.assign(new Error('read ECONNRESET'), {
      code: 'ECONNRESET',
      syscall: 'read',
    }),
  () =>
    Object.assign(new Error('write EPIPE'), {code: 'EPIPE', syscall: 'write'}),
  () => new Error('plain'),
];

/** Error to emit on the gate's sockets. */
interface InjectedError {
  readonly side: 'caller' | 'target';
  readonly error: number;
  readonly afterMs: number;
}

/** Faults to inject into one request. */
interface RequestPlan {
  readonly path: string;
  readonly caller: (typeof CALLER_RESET_POINTS)[number];
  readonly target: (typeof TARGET_RESET_POINTS)[number];
  /** Delay of the target's response, in ms. */
  readonly responseDelayMs: number;
  readonly injected: readonly InjectedError[];
}

const REQUEST_PLAN: fc.Arbitrary<RequestPlan> = fc.record({
  path: fc.constantFrom('/safe/x', '/unsafe2/x', '/stream/x'),
  caller: fc.constantFrom(...CALLER_RESET_POINTS),
  target: fc.constantFrom(...TARGET_RESET_POINTS),
  responseDelayMs: fc.integer({min: 0, max: 30}),
  injected: fc.array(
    fc.record({
      side: fc.constantFrom('caller' as const, 'target' as const),
      error: fc.nat({max: SOCKET_ERRORS.length - 1}),
      afterMs: fc.integer({min: 0, max: 30}),
    }),
    {maxLength: 2},
  ),
});

/** Renders a complete response, split into head and body. */
function renderResponse(req: IncomingMessage): readonly [string, string] {
  const body = formatEvents(1, 3);
  const fields = Object.entries({
    ...buildSignedHead(req),
    'content-type': 'text/event-stream',
    'content-length': String(body.length),
  });
  const lines = fields.map(([name, value]) => `${name}: ${value}\r\n`);
  return [`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`, body];
}

/** Sends a response as the target and resets the connection as planned. */
async function runTarget(
  plan: RequestPlan,
  req: IncomingMessage,
): Promise<void> {
  const {socket} = req;
  const [head, body] = renderResponse(req);
  await waitMs(plan.responseDelayMs);
  const parts: ReadonlyArray<readonly [string, RequestPlan['target']]> = [
    ['', 'request read'],
    [head.slice(0, 30), 'during the head'],
    [head.slice(30), 'after the head'],
    [body.slice(0, 20), 'during the body'],
    [body.slice(20), 'after the response'],
  ];
  for (const [bytes, point] of parts) {
    if (bytes !== '') socket.write(bytes);
    if (point !== plan.target) continue;
    // Waits, so that the bytes are sent before the reset.
    await waitMs(1);
    socket.resetAndDestroy();
    return;
  }
  if (plan.target === 'bytes after the response') {
    socket.write('HTTP/1.1 garbage');
    await waitMs(1);
    socket.resetAndDestroy();
    return;
  }
  socket.end();
}

/**
 * Sends a request as the caller and resets the connection as planned; resolves
 * when the connection is closed.
 */
function runCaller(
  harness: GateHarness,
  id: string,
  plan: RequestPlan,
): Promise<void> {
  return new Promise(resolve => {
    const socket = connect(harness.port, harness.host);
    const reset = (point: RequestPlan['caller']) => {
      if (point === plan.caller) socket.resetAndDestroy();
      return point === plan.caller;
    };
    socket.on('error', () => undefined);
    socket.on('close', () => resolve());
    socket.on('connect', () => {
      if (reset('connected')) return;
      socket.write(
        `POST ${plan.path} HTTP/1.1\r\nHost: site\r\nx-test-key: k1\r\n` +
          `x-test-id: ${id}\r\nx-test-deadline: 1500\r\nx-test-tokens: 10\r\n` +
          'Content-Length: 10\r\nConnection: close\r\n\r\nhello',
      );
      setTimeout(() => {
        if (socket.destroyed || reset('during the body')) return;
        socket.write('world');
        setTimeout(() => reset('request sent'), 2);
      }, 2);
    });
    socket.on('data', () => reset('after the first bytes'));
    socket.on('end', () => reset('after the response'));
  });
}

/** Injects errors into the connections of a gate. */
class ErrorInjector {
  readonly uncaught: unknown[] = [];
  /** Number of errors emitted on the gate's sockets, by side. */
  readonly injectedOn = {caller: 0, target: 0};
  readonly plans = new Map<string, RequestPlan>();
  private readonly gateSockets = {
    caller: new Set<Socket>(),
    target: new Set<Socket>(),
  };
  private readonly received: string[] = [];
  private targetPorts = new Set<number>();
  private lastId = 0;
  private readonly recordUncaught = (error: unknown) => {
    this.uncaught.push(error);
  };
  private readonly handleAcceptedSocket = (message: unknown) => {
    const {socket} = message as {readonly socket: Socket};
    if (socket.localPort === this.harness.port)
      this.recordSocket(this.gateSockets.caller, socket);
    if (this.targetPorts.has(socket.localPort ?? 0) && this.claimReset())
      socket.resetAndDestroy();
  };
  private readonly handleOpenedSocket = (message: unknown) => {
    const {socket} = message as {readonly socket: Socket};
    socket.once('connectionAttempt', (_ip, port) => {
      if (this.targetPorts.has(Number(port)))
        this.recordSocket(this.gateSockets.target, socket);
    });
  };
  private resetsLeft = 0;

  constructor(readonly harness: GateHarness) {}

  async start(): Promise<void> {
    const script = (req: IncomingMessage, res: ServerResponse) => {
      const id = String(req.headers['x-test-id']);
      this.received.push(id);
      const plan = this.plans.get(id);
      if (plan !== undefined) return void runTarget(plan, req);
      res.writeHead(200, buildSignedHead(req));
      res.end(formatEvents(1, 1));
    };
    const targets = [
      await this.harness.addTarget('a', 'orders', script),
      await this.harness.addTarget('b', 'orders', script),
      await this.harness.addTarget('e', 'chat', script),
      await this.harness.addTarget('f', 'chat', script),
    ];
    this.targetPorts = new Set(targets.map(target => target.entry.port));
    await this.harness.waitUntil(async () => {
      const known = await this.harness.readGauge('targets_known');
      return known === targets.length;
    });
    subscribe('net.server.socket', this.handleAcceptedSocket);
    subscribe('net.client.socket', this.handleOpenedSocket);
    process.on('uncaughtException', this.recordUncaught);
    process.on('unhandledRejection', this.recordUncaught);
  }

  stop(): void {
    unsubscribe('net.server.socket', this.handleAcceptedSocket);
    unsubscribe('net.client.socket', this.handleOpenedSocket);
    process.off('uncaughtException', this.recordUncaught);
    process.off('unhandledRejection', this.recordUncaught);
    this.harness.close();
  }

  /** Runs plans concurrently and emits errors on the gate's sockets. */
  async run(plans: readonly RequestPlan[]): Promise<void> {
    this.resetsLeft = plans.filter(plan => plan.target === 'accepted').length;
    await Promise.all(
      plans.map(async plan => {
        const id = `p${++this.lastId}`;
        this.plans.set(id, plan);
        const injecting = plan.injected.map(injected =>
          this.runInjectedError(injected),
        );
        await runCaller(this.harness, id, plan);
        await Promise.all(injecting);
      }),
    );
    this.resetsLeft = 0;
  }

  /** Returns how often a request to `path` reached a target at most. */
  countMaxRuns(path: string): number {
    const runs = new Map<string, number>();
    for (const id of this.received)
      if (this.plans.get(id)?.path === path)
        runs.set(id, (runs.get(id) ?? 0) + 1);
    return Math.max(0, ...runs.values());
  }

  private async runInjectedError({
    side,
    error,
    afterMs,
  }: InjectedError): Promise<void> {
    await waitMs(afterMs);
    // Sockets that closed recently are included, as errors may occur late.
    for (const socket of this.gateSockets[side]) {
      this.injectedOn[side]++;
      socket.emit('error', SOCKET_ERRORS[error]());
    }
  }

  private claimReset(): boolean {
    if (this.resetsLeft === 0) return false;
    this.resetsLeft--;
    return true;
  }

  private recordSocket(sockets: Set<Socket>, socket: Socket): void {
    sockets.add(socket);
    // Keeps the socket for 20 ms, so that late errors still reach it.
    socket.once('close', () =>
      setTimeout(() => sockets.delete(socket), 20).unref(),
    );
  }
}

describe('gate with connection errors at arbitrary times', () => {
  let injector: ErrorInjector;
  before(async () => {
    injector = new ErrorInjector(await openGateHarness());
    await injector.start();
  });
  after(() => injector.stop());

  it('raises no uncaught error, leaves no request in flight and keeps serving', async () => {
    // Guards against errors on closed sockets that terminate the gate.
    const {harness} = injector;
    await fc.assert(
      fc.asyncProperty(
        fc.array(REQUEST_PLAN, {minLength: 1, maxLength: 6}),
        async plans => {
          injector.uncaught.length = 0;
          await injector.run(plans);
          expect(injector.uncaught).toEqual([]);
          for (const gauge of ['requests', 'calls', 'streams'])
            await harness.waitUntil(
              async () => (await harness.readGauge(`${gauge}_in_flight`)) === 0,
            );
          for (const path of ['/safe/x', '/unsafe2/x', '/stream/x']) {
            const next = await harness.call(path, {id: 'next', tokens: 10});
            expect([path, next.status, next.isWhole]).toEqual([
              path,
              200,
              true,
            ]);
          }
          expect(injector.uncaught).toEqual([]);
          expect(injector.countMaxRuns('/unsafe2/x') <= 1).toEqual(true);
        },
      ),
      {numRuns: 60, seed: 20261203},
    );
    expect(
      Math.min(injector.injectedOn.caller, injector.injectedOn.target) > 0,
    ).toEqual(true);
  });
});
