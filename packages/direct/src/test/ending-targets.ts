/** Targets whose answers end with their connection, in several ways. */
import {waitMs} from '@nutmeggauge/core';
import {formatEvents} from './fake-target.js';
import {openGateHarness} from './gate-harness.js';
import {askOnWire} from './wire-answer.js';
import {buildWireHead, openWireTarget} from './wire-target.js';
import type {Socket} from 'node:net';
import type {GateHarness} from './gate-harness.js';
import type {WireAnswer} from './wire-answer.js';
import type {WireCall} from './wire-caller.js';
import type {WireRequest, WireTarget} from './wire-target.js';

/** Time until a late second answer, in ms. */
const LATE_MS = 100;

/** How a target ends an answer whose end its connection marks. */
export type Ending =
  /** Sends all of it and closes. */
  | 'close'
  /** Sends a part and closes. */
  | 'cut'
  /** Sends a part and resets at once. */
  | 'reset'
  /** Sends all of it and resets at once. */
  | 'reset-after-all'
  /** Sends all of it, then all of it again. */
  | 'twice'
  /** Sends all of it, and after a while an answer to another request. */
  | 'other-late';

/** Bodies that targets send. */
export interface EndingBody {
  readonly fields: readonly string[];
  readonly whole: string;
  /** Part of the body that a target sends before it breaks off. */
  readonly part: string;
}

/**
 * Builds the body of a call.
 *
 * @example
 * buildCallBody(900).whole.length; // 900
 */
export function buildCallBody(bytes: number): EndingBody {
  const whole = 'body of an answer '.repeat(bytes / 18 + 1).slice(0, bytes);
  const part = whole.slice(0, Math.floor(bytes * 0.6));
  return {fields: [], whole, part};
}

/** Number of events of a whole stream. */
const EVENTS = 5;

/** A stream that breaks off between two events. */
export const STREAM_BODY: EndingBody = {
  fields: ['Content-Type: text/event-stream'],
  whole: formatEvents(1, EVENTS),
  part: formatEvents(1, 3),
};

/** Options of {@link openEndingTargets}. */
export interface EndingTargetOptions {
  readonly service: 'orders' | 'chat';
  readonly body: EndingBody;
  /** Ends of the answers to the attempts at one request in turn; the last repeats. */
  readonly endings: readonly Ending[];
  /** @default '200 OK' */
  readonly status?: string;
}

/** A gate with targets. */
export class EndingTargets {
  private readonly targets: WireTarget[] = [];
  private readonly attempts = new Map<string, number>();
  private lastId = 0;

  constructor(
    readonly harness: GateHarness,
    private readonly options: EndingTargetOptions,
  ) {}

  /** Starts the targets. */
  async start(count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      const target = await openWireTarget(
        `t${i}`,
        this.options.service,
        (request, socket) => void this.answer(request, socket),
      );
      this.targets.push(target);
      this.harness.store.publishTarget(target.entry);
    }
    await this.harness.waitUntil(
      async () => (await this.harness.readGauge('targets_known')) === count,
    );
  }

  /** Sends requests at once, and returns the answers as their framing delimits them. */
  askAll(
    count: number,
    call: Pick<WireCall, 'path' | 'method' | 'version'>,
  ): Promise<readonly WireAnswer[]> {
    const {host, port} = this.harness;
    return Promise.all(
      Array.from({length: count}, () =>
        askOnWire({host, port}, [
          {...call, id: `q${++this.lastId}`, framing: 'none', body: ''},
        ]),
      ),
    );
  }

  /** Closes the gate and the targets. */
  close(): void {
    this.harness.close();
    for (const target of this.targets) target.close();
  }

  private async answer(request: WireRequest, socket: Socket): Promise<void> {
    const id = request.headers['x-test-id'];
    const attempt = this.attempts.get(id) ?? 0;
    this.attempts.set(id, attempt + 1);
    const {endings, body, status} = this.options;
    const ending = endings[Math.min(attempt, endings.length - 1)];
    const after = Number(request.headers['x-test-after'] ?? 0);
    if (after > 0 && ending === 'close')
      return this.answerRest(request, socket, after);
    const {whole} = body;
    const head = buildWireHead(request, body.fields, status);
    switch (ending) {
      case 'close':
        return void socket.end(head + whole);
      case 'cut':
        return void socket.end(head + body.part);
      case 'reset':
      case 'reset-after-all':
        socket.write(head + (ending === 'reset' ? body.part : whole));
        return void socket.resetAndDestroy();
      case 'twice':
        return void socket.end(head + whole + head + whole);
      case 'other-late':
        socket.write(head + whole);
        await waitMs(LATE_MS);
        return void socket.end(head.replace(id, 'other') + whole);
    }
  }

  /** Sends what is left of a stream, with a length, as it may be nothing. */
  private answerRest(
    request: WireRequest,
    socket: Socket,
    after: number,
  ): void {
    const rest = formatEvents(after + 1, EVENTS);
    const length = `Content-Length: ${rest.length}`;
    const fields = [...this.options.body.fields, length];
    socket.end(buildWireHead(request, fields) + rest);
  }
}

/**
 * Starts a gate and targets.
 *
 * @example
 * const targets = await openEndingTargets({service: 'orders', body, endings: ['reset']});
 */
export async function openEndingTargets(
  options: EndingTargetOptions,
  count = 8,
): Promise<EndingTargets> {
  const targets = new EndingTargets(await openGateHarness(), options);
  await targets.start(count);
  return targets;
}
