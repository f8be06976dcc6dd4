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

/** Points of an exchange at which an error may occur, in order. */
const MOMENTS = [
  'before the connect',
  'connected',
  'between the bytes of a line',
  'call outstanding',
  'answering',
  'answered',
  'after the close',
] as const;

/** How an error occurs: raised on one end's socket, or a reset by that end. */
const WAYS = ['raised', 'raised twice', 'destroyed', 'reset'] as const;

interface Fault {
  readonly moment: (typeof MOMENTS)[number];
  readonly end: 'near' | 'far';
  readonly way: (typeof WAYS)[number];
  readonly error: number;
}

const FAULT: fc.Arbitrary<Fault> = fc.record({
  moment: fc.constantFrom(...MOMENTS),
  end: fc.constantFrom('near' as const, 'far' as const),
  way: fc.constantFrom(...WAYS),
  error: fc.nat({max: ERRORS.length - 1}),
});

function beginFault(socket: Socket, {way, error}: Fault): void {
  const cause = ERRORS[error]();
  if (way === 'reset') socket.resetAndDestroy();
  if (way === 'destroyed') socket.destroy(cause);
  if (way === 'raised' || way === 'raised twice') socket.emit('error', cause);
  if (way === 'raised twice') socket.emit('error', ERRORS[error]());
}

/** A listener whose links answer, and the sockets of both ends. */
class LinkWorld {
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
  private readonly takeOpened = (message: unknown) => {
    this.far = (message as {readonly socket: Socket}).socket;
    // The link's own listeners are not there yet: this is the opener's time.
    process.nextTick(() => this.enter('before the connect'));
  };

  async start(): Promise<void> {
    this.port = await openListener(this.server, {host: '127.0.0.1', port: 0});
    subscribe('net.client.socket', this.takeOpened);
    process.on('uncaughtException', this.recordError);
    process.on('unhandledRejection', this.recordError);
  }

  stop(): void {
    unsubscribe('net.client.socket', this.takeOpened);
    process.off('uncaughtException', this.recordError);
    process.off('unhandledRejection', this.recordError);
    this.server.close();
  }

  /** Runs one exchange with its faults; resolves with the call's answer. */
  async run(faults: readonly Fault[]): Promise<unknown> {
    this.faults = faults;
    this.near = undefined;
    const accepted = new Promise<void>(resolve => (this.accepted = resolve));
    this.answering = () => this.enter('answering');
    let link: RpcLink;
    try {
      link = await openRpcLink(`127.0.0.1:${this.port}`, createCounters());
    } catch (error) {
      return error;
    }
    // An accepted socket may be gone already, but it was accepted.
    await accepted;
    this.enter('connected');
    this.far?.write('{"jsonrpc":"2.0",');
    await waitMs(1);
    this.enter('between the bytes of a line');
    this.far?.write('"method":"none"}\n');
    const call = link.call('slow', {}, 500).catch((error: unknown) => error);
    this.enter('call outstanding');
    const answer = await call;
    this.enter('answered');
    await this.close(link);
    this.enter('after the close');
    await waitMs(1);
    return answer;
  }

  /** Whatever failed, no connection is left that nobody closes. */
  async waitForNoConnection(): Promise<void> {
    const giveUpAt = performance.now() + 5000;
    const countOpen = () =>
      new Promise<number>(resolve =>
        this.server.getConnections((_error, count) => resolve(count)),
      );
    while ((await countOpen()) > 0) {
      if (performance.now() > giveUpAt) throw new Error('left open');
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

  private enter(moment: Fault['moment']): void {
    for (const fault of this.faults) {
      const socket = fault.end === 'near' ? this.near : this.far;
      if (fault.moment === moment && socket !== undefined)
        beginFault(socket, fault);
    }
  }
}

describe('errors of a link, whenever they come', () => {
  let world: LinkWorld;
  before(async () => {
    world = new LinkWorld();
    await world.start();
  });
  after(() => world.stop());

  it('end the link and nothing else', async () => {
    // Guards against late socket errors that end the process of either side.
    await fc.assert(
      fc.asyncProperty(fc.array(FAULT, {maxLength: 4}), async faults => {
        world.uncaught.length = 0;
        await world.run(faults);
        expect(world.uncaught).toEqual([]);
        expect(await world.run([])).toEqual('late');
        await world.waitForNoConnection();
        expect(world.uncaught).toEqual([]);
      }),
      {numRuns: 150, seed: 20261203},
    );
  });
});
