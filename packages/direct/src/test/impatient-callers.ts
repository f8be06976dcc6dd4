/** Callers that leave at a set time, and choices of engines that take long. */
import {connect} from 'node:net';
import {mock} from 'node:test';
import {OpenExchanges} from '../forward/open-exchanges.js';
import {PromptPlacer} from '../placement/prompt-placer.js';
import type {Socket} from 'node:net';
import type {ExchangeOptions} from '../forward/exchange-options.js';
import type {FakeClock} from './fake-clock.js';

/** Request of an impatient caller. */
export interface ImpatientRequest {
  readonly id: string;
  readonly path: string;
  readonly tokens: number;
  /** Time for which the caller waits, in ms. @default 30_000 */
  readonly deadlineMs?: number;
}

/** Time at which a connection for a request was opened. */
export interface RecordedSend {
  readonly id: string;
  readonly at: number;
}

/**
 * Callers of one gate. They leave while the gate computes, as callers on other
 * hosts do.
 *
 * @example
 * const callers = new ImpatientCallers(clock, {host, port});
 * callers.setChoiceMs(40);
 * callers.connect({id: 'q1', path: '/stream/x', tokens: 1000});
 * callers.leaveAt(clock.now + 1000);
 */
export class ImpatientCallers {
  readonly sends: RecordedSend[] = [];
  private readonly sockets = new Map<string, Socket>();
  private leavesAt = Infinity;
  /** Time for which the next send holds the event loop, in ms. */
  private heldMs = 0;

  constructor(
    private readonly clock: FakeClock,
    private readonly gate: {readonly host: string; readonly port: number},
  ) {
    const {sends} = this;
    const holdOnce = () => this.holdOnce();
    const open = OpenExchanges.prototype.open;
    mock.method(
      OpenExchanges.prototype,
      'open',
      function (this: OpenExchanges, options: ExchangeOptions) {
        const headers = options.buildHeaders();
        const id = headers[headers.indexOf('x-test-id') + 1];
        sends.push({id, at: clock.now});
        const exchange = open.call(this, options);
        holdOnce();
        return exchange;
      },
    );
  }

  /** Makes each choice of engines take `ms`. */
  setChoiceMs(ms: number): void {
    const place = PromptPlacer.prototype.place;
    const spendTime = () => {
      this.clock.now += ms;
      this.leaveIfDue();
    };
    mock.method(
      PromptPlacer.prototype,
      'place',
      function (this: PromptPlacer, ...args: Parameters<typeof place>) {
        spendTime();
        return place.apply(this, args);
      },
    );
  }

  /**
   * Holds the event loop for `ms` right after the next connection to a target was
   * begun.
   */
  holdAfterSend(ms: number): void {
    this.heldMs = ms;
  }

  /** Connects a caller and sends its request. */
  connect({id, path, tokens, deadlineMs = 30_000}: ImpatientRequest): void {
    const socket = connect(this.gate.port, this.gate.host);
    socket.on('error', () => undefined);
    socket.resume();
    socket.write(
      [
        `GET ${path} HTTP/1.1`,
        'host: site',
        `x-test-id: ${id}`,
        'x-test-key: k1',
        `x-test-deadline: ${deadlineMs}`,
        `x-test-tokens: ${tokens}`,
        '\r\n',
      ].join('\r\n'),
    );
    this.sockets.set(id, socket);
  }

  /** Makes all callers leave at `at` on the fake clock. */
  leaveAt(at: number): void {
    this.leavesAt = at;
  }

  /** Lets time pass; callers leave when it is time. */
  async advance(ms: number): Promise<void> {
    const endsAt = this.clock.now + ms;
    while (this.clock.now < endsAt) {
      this.leaveIfDue();
      await this.clock.advance(10);
    }
  }

  /** Lists the sends that began more than `ms` after the caller had left. */
  listSendsAfterLeave(ms: number): readonly RecordedSend[] {
    return this.sends.filter(({at}) => at > this.leavesAt + ms);
  }

  /** Disconnects all callers and restores what was replaced. */
  close(): void {
    for (const socket of this.sockets.values()) socket.destroy();
    mock.restoreAll();
  }

  private holdOnce(): void {
    this.clock.now += this.heldMs;
    this.heldMs = 0;
    this.leaveIfDue();
  }

  private leaveIfDue(): void {
    if (this.clock.now < this.leavesAt) return;
    for (const socket of this.sockets.values()) socket.destroy();
  }
}
