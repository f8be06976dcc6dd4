import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {createServer} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {waitMs} from './clock.js';
import {openListener} from './listen.js';
import {createCounters} from './metrics.js';
import {createRpcLink, openRpcLink} from './rpc.js';
import type {Server, Socket} from 'node:net';
import type {RpcLink} from './rpc.js';

const ERROR_FACTORIES = [
  () =>
    Object.assign(new Error('read ECONNRESET'), {
      code: 'ECONNRESET',
      syscall: 'read',
    }),
  () =>
    Object.assign(new Error('write EPIPE'), {code: 'EPIPE', syscall: 'write'}),
  () => new Error('plain'),
];

/** Points of an exchange at which a fault can be injected, in order. */
const FAULT_POINTS = [
  'before the connect',
  'connected',
  'between the bytes of a line',
  'call outstanding',
  'answering',
  'answered',
  'after the close',
] as const;

/** Ways to inject a fault into the socket of one end. */
const FAULT_INJECTIONS = [
  'raised',
  'raised twice',
  'destroyed',
  'reset',
] as const;

/** A fault injected into a link. */
interface Fault {
  readonly point: (typeof FAULT_POINTS)[number];
  /** `near` is the accepting end, `far` the connecting end. */
  readonly end: 'near' | 'far';
  readonly injection: (typeof FAULT_INJECTIONS)[number];
  /** Index into `ERROR_FACTORIES`. */
  readonly error: number;
}

const FAULT_ARBITRARY: fc.Arbitrary<Fault> = fc.record({
  point: fc.constantFrom(...FAULT_POINTS),
  end: fc.constantFrom('near' as const, 'far' as const),
  injection: fc.constantFrom(...FAULT_INJECTIONS),
  error: fc.nat({max: ERROR_FACTORIES.length - 1}),
});

function applyFault(socket: Socket, {injection, error}: Fault): void {
  const cause = ERROR_FACTORIES[error]();
  if (injection === 'reset') socket.resetAndDestroy();
  if (injection === 'destroyed') socket.destroy(cause);
  if (injection === 'raised' || injection === 'raised twice')
    socket.emit('error', cause);
  if (injection === 'raised twice')
    socket.emit('error', ERROR_FACTORIES[error]());
}

/**
 * Test harness that injects faults into links between a client and a listener.
 */
class LinkHarness {
  readonly uncaught: unknown[] = [];
  private readonly server: Server = createServer(socket => {
    this.near = socket;
    const link = createRpcLink(socket, createCounters());
    this.nearLink = link;
    link.handle('slow', async () => {
      this.answering();
      await waitMs(3);
      return 'late';
    });
    this.accepted();
  });
  private port = 0;
  private near: Socket | undefined;
  private nearLink: RpcLink | undefined;
  private far: Socket | undefined;
  private accepted: () => void = () => undefined;
  private answering: () => void = () => undefined;
  private faults: readonly Fault[] = [];
  private readonly recordError = (error: unknown) => {
    this.uncaught.push(error);
  };
  private readonly observeClientSocket = (message: unknown) => {
    this.far = (message as {readonly socket: Socket}).socket;
    // Runs after `openRpcLink` has registered its error handler, and before the
    // link exists.
    process.nextTick(() => this.applyFaultsAt('before the connect'));
  };

  async start(): Promise<void> {
    this.port = await openListener(this.server, {host: '127.0.0.1', port: 0});
    subscribe('net.client.socket', this.observeClientSocket);
    process.on('uncaughtException', this.recordError);
    process.on('unhandledRejection', this.recordError);
  }

  stop(): void {
    unsubscribe('net.client.socket', this.observeClientSocket);
    process.off('uncaughtException', this.recordError);
    process.off('unhandledRejection', this.recordError);
    this.server.close();
  }

  /**
   * Runs one exchange with injected faults; resolves with the answer of its
   * call, or with the error.
   */
  async run(faults: readonly Fault[]): Promise<unknown> {
    this.faults = faults;
    this.near = undefined;
    const accepted = new Promise<void>(resolve => (this.accepted = resolve));
    this.answering = () => this.applyFaultsAt('answering');
    let link: RpcLink;
    try {
      link = await openRpcLink(`127.0.0.1:${this.port}`, createCounters());
    } catch (error) {
      return error;
    }
    // Resolves even if the accepted socket has closed in the meantime.
    await accepted;
    this.applyFaultsAt('connected');
    this.far?.write('{"jsonrpc":"2.0",');
    await waitMs(1);
    this.applyFaultsAt('between the bytes of a line');
    this.far?.write('"method":"none"}\n');
    const call = link.call('slow', {}, 500).catch((error: unknown) => error);
    this.applyFaultsAt('call outstanding');
    const answer = await call;
    this.applyFaultsAt('answered');
    await this.close(link);
    this.applyFaultsAt('after the close');
    await waitMs(1);
    return answer;
  }

  /** Waits until the server has no open connection. */
  async waitForConnectionsToClose(): Promise<void> {
    const giveUpAt = performance.now() + 5000;
    const countOpen = () =>
      new Promise<number>(resolve =>
        this.server.getConnections((_error, count) => resolve(count)),
      );
    while ((await countOpen()) > 0) {
      if (performance.now() > giveUpAt)
        throw new Error('server connections are still open after 5 s');
      await waitMs(1);
    }
  }

  private async close(link: RpcLink): Promise<void> {
    const ends = [link, this.nearLink];
    const closed = ends.map(
      end => new Promise<void>(resolve => end?.onClose(resolve)),
    );
    link.close();
    await Promise.all(closed);
  }

  /** Injects the faults of the current exchange that are set for `point`. */
  private applyFaultsAt(point: Fault['point']): void {
    for (const fault of this.faults) {
      const socket = fault.end === 'near' ? this.near : this.far;
      if (fault.point === point && socket !== undefined)
        applyFault(socket, fault);
    }
  }
}

describe('JSON-RPC link with socket faults', () => {
  let harness: LinkHarness;
  before(async () => {
    harness = new LinkHarness();
    await harness.start();
  });
  after(() => harness.stop());

  it('raises no uncaught error, leaks no connection and does not affect later links for faults at any point (property)', async () => {
    // Guards against late socket errors ending the process of either end.
    await fc.assert(
      fc.asyncProperty(
        fc.array(FAULT_ARBITRARY, {maxLength: 4}),
        async faults => {
          harness.uncaught.length = 0;
          await harness.run(faults);
          expect(harness.uncaught).toEqual([]);
          expect(await harness.run([])).toEqual('late');
          await harness.waitForConnectionsToClose();
          expect(harness.uncaught).toEqual([]);
        },
      ),
      {numRuns: 150, seed: 20261203},
    );
  });
});
