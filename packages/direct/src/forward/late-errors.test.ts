import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {waitMs} from '@nutmeggauge/core';
import {expect} from 'earl';
import fc from 'fast-check';
import {buildSignedHead, formatEvents} from '../test/fake-target.js';
import {openGateWorld} from '../test/gate-world.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {GateWorld} from '../test/gate-world.js';

/** When the target's connection is reset, as the target sees it. */
const TARGET_MOMENTS = [
  'never',
  'accepted',
  'request read',
  'amid the head',
  'behind the head',
  'amid the body',
  'behind the answer',
  'bytes behind the answer',
] as const;

/** When the caller's connection is reset, as the caller sees it. */
const CALLER_MOMENTS = [
  'never',
  'connected',
  'amid the body',
  'request sent',
  'first bytes',
  'behind the answer',
] as const;

const ERRORS = [
  () =>
    Object.assign(new Error('read ECONNRESET'), {
      code: 'ECONNRESET',
      syscall: 'read',
    }),
  () =>
    Object.assign(new Error('write EPIPE'), {code: 'EPIPE', syscall: 'write'}),
  () => new Error('plain'),
];

/** An error raised on a socket of the gate. */
interface Raised {
  readonly side: 'caller' | 'target';
  readonly error: number;
  readonly afterMs: number;
}

/** What happens to one request. */
interface Plan {
  readonly path: string;
  readonly caller: (typeof CALLER_MOMENTS)[number];
  readonly target: (typeof TARGET_MOMENTS)[number];
  /** Delay of the target's answer, in ms. */
  readonly lateMs: number;
  readonly raised: readonly Raised[];
}

const PLAN: fc.Arbitrary<Plan> = fc.record({
  path: fc.constantFrom('/safe/x', '/unsafe2/x', '/stream/x'),
  caller: fc.constantFrom(...CALLER_MOMENTS),
  target: fc.constantFrom(...TARGET_MOMENTS),
  lateMs: fc.integer({min: 0, max: 30}),
  raised: fc.array(
    fc.record({
      side: fc.constantFrom('caller' as const, 'target' as const),
      error: fc.nat({max: ERRORS.length - 1}),
      afterMs: fc.integer({min: 0, max: 30}),
    }),
    {maxLength: 2},
  ),
});

/** A complete answer, split into head and body. */
function renderAnswer(req: IncomingMessage): readonly [string, string] {
  const body = formatEvents(1, 3);
  const fields = Object.entries({
    ...buildSignedHead(req),
    'content-type': 'text/event-stream',
    'content-length': String(body.length),
  });
  const lines = fields.map(([name, value]) => `${name}: ${value}\r\n`);
  return [`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`, body];
}

/** Plays the target's part of a plan. */
async function runTarget(plan: Plan, req: IncomingMessage): Promise<void> {
  const {socket} = req;
  const [head, body] = renderAnswer(req);
  await waitMs(plan.lateMs);
  const parts: ReadonlyArray<readonly [string, Plan['target']]> = [
    ['', 'request read'],
    [head.slice(0, 30), 'amid the head'],
    [head.slice(30), 'behind the head'],
    [body.slice(0, 20), 'amid the body'],
    [body.slice(20), 'behind the answer'],
  ];
  for (const [bytes, moment] of parts) {
    if (bytes !== '') socket.write(bytes);
    if (moment !== plan.target) continue;
    // Twice: bytes in flight, then the reset.
    await waitMs(1);
    socket.resetAndDestroy();
    return;
  }
  if (plan.target === 'bytes behind the answer') {
    socket.write('HTTP/1.1 garbage');
    await waitMs(1);
    socket.resetAndDestroy();
    return;
  }
  socket.end();
}

/**
 * Plays the caller's part of a plan; resolves when its connection is closed.
 */
function runCaller(world: GateWorld, id: string, plan: Plan): Promise<void> {
  return new Promise(resolve => {
    const socket = connect(world.port, world.host);
    const reset = (moment: Plan['caller']) => {
      if (moment === plan.caller) socket.resetAndDestroy();
      return moment === plan.caller;
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
        if (socket.destroyed || reset('amid the body')) return;
        socket.write('world');
        setTimeout(() => reset('request sent'), 2);
      }, 2);
    });
    socket.on('data', () => reset('first bytes'));
    socket.on('end', () => reset('behind the answer'));
  });
}

/** A gate whose sockets are known, with targets that play plans. */
class ErrorWorld {
  readonly uncaught: unknown[] = [];
  /** Errors raised on the gate's sockets, by side. */
  readonly raisedOn = {caller: 0, target: 0};
  readonly plans = new Map<string, Plan>();
  private readonly gateSockets = {
    caller: new Set<Socket>(),
    target: new Set<Socket>(),
  };
  private readonly received: string[] = [];
  private targetPorts = new Set<number>();
  private lastId = 0;
  private readonly recordError = (error: unknown) => {
    this.uncaught.push(error);
  };
  private readonly takeAccepted = (message: unknown) => {
    const {socket} = message as {readonly socket: Socket};
    if (socket.localPort === this.world.port)
      this.recordSocket(this.gateSockets.caller, socket);
    if (this.targetPorts.has(socket.localPort ?? 0) && this.claimReset())
      socket.resetAndDestroy();
  };
  private readonly takeOpened = (message: unknown) => {
    const {socket} = message as {readonly socket: Socket};
    socket.once('connectionAttempt', (_ip, port) => {
      if (this.targetPorts.has(Number(port)))
        this.recordSocket(this.gateSockets.target, socket);
    });
  };
  private resetsLeft = 0;

  constructor(readonly world: GateWorld) {}

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
      await this.world.addTarget('a', 'orders', script),
      await this.world.addTarget('b', 'orders', script),
      await this.world.addTarget('e', 'chat', script),
      await this.world.addTarget('f', 'chat', script),
    ];
    this.targetPorts = new Set(targets.map(target => target.entry.port));
    await this.world.waitUntil(async () => {
      const known = await this.world.readGauge('targets_known');
      return known === targets.length;
    });
    subscribe('net.server.socket', this.takeAccepted);
    subscribe('net.client.socket', this.takeOpened);
    process.on('uncaughtException', this.recordError);
    process.on('unhandledRejection', this.recordError);
  }

  stop(): void {
    unsubscribe('net.server.socket', this.takeAccepted);
    unsubscribe('net.client.socket', this.takeOpened);
    process.off('uncaughtException', this.recordError);
    process.off('unhandledRejection', this.recordError);
    this.world.close();
  }

  /** Plays plans concurrently, and raises errors on the gate's sockets. */
  async run(plans: readonly Plan[]): Promise<void> {
    this.resetsLeft = plans.filter(plan => plan.target === 'accepted').length;
    await Promise.all(
      plans.map(async plan => {
        const id = `p${++this.lastId}`;
        this.plans.set(id, plan);
        const raising = plan.raised.map(raised => this.runRaised(raised));
        await runCaller(this.world, id, plan);
        await Promise.all(raising);
      }),
    );
    this.resetsLeft = 0;
  }

  /** Most times that a request reached a target. */
  countMostRuns(path: string): number {
    const runs = new Map<string, number>();
    for (const id of this.received)
      if (this.plans.get(id)?.path === path)
        runs.set(id, (runs.get(id) ?? 0) + 1);
    return Math.max(0, ...runs.values());
  }

  private async runRaised({side, error, afterMs}: Raised): Promise<void> {
    await waitMs(afterMs);
    // Closed sockets are included: errors come late.
    for (const socket of this.gateSockets[side]) {
      this.raisedOn[side]++;
      socket.emit('error', ERRORS[error]());
    }
  }

  private claimReset(): boolean {
    if (this.resetsLeft === 0) return false;
    this.resetsLeft--;
    return true;
  }

  private recordSocket(sockets: Set<Socket>, socket: Socket): void {
    sockets.add(socket);
    // Kept for a while, so that late errors still reach it.
    socket.once('close', () =>
      setTimeout(() => sockets.delete(socket), 20).unref(),
    );
  }
}

describe('errors of connections, whenever they come', () => {
  let errors: ErrorWorld;
  before(async () => {
    errors = new ErrorWorld(await openGateWorld());
    await errors.start();
  });
  after(() => errors.stop());

  it('end no gate and leave nothing counted', async () => {
    // Guards against errors on closed sockets that end the gate.
    const {world} = errors;
    await fc.assert(
      fc.asyncProperty(
        fc.array(PLAN, {minLength: 1, maxLength: 6}),
        async plans => {
          errors.uncaught.length = 0;
          await errors.run(plans);
          expect(errors.uncaught).toEqual([]);
          for (const gauge of ['requests', 'calls', 'streams'])
            await world.waitUntil(
              async () => (await world.readGauge(`${gauge}_in_flight`)) === 0,
            );
          for (const path of ['/safe/x', '/unsafe2/x', '/stream/x']) {
            const next = await world.call(path, {id: 'next', tokens: 10});
            expect([path, next.status, next.isWhole]).toEqual([
              path,
              200,
              true,
            ]);
          }
          expect(errors.uncaught).toEqual([]);
          expect(errors.countMostRuns('/unsafe2/x') <= 1).toEqual(true);
        },
      ),
      {numRuns: 60, seed: 20261203},
    );
    expect(
      Math.min(errors.raisedOn.caller, errors.raisedOn.target) > 0,
    ).toEqual(true);
  });
});
