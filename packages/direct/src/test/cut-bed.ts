/** Targets that cut their answers, and callers that judge what they get of them. */
import {waitMs} from '@nutmeggauge/core';
import {askOnWire} from './wire-answer.js';
import {answerOnWire, openWireTarget} from './wire-target.js';
import type {Socket} from 'node:net';
import type {GateHarness} from './gate-harness.js';
import type {WireAnswer} from './wire-answer.js';
import type {WireCall} from './wire-caller.js';
import type {WireRequest, WireTarget} from './wire-target.js';

/** Requests under way at once by default. */
const CONCURRENCY = 64;

const TARGETS_PER_SERVICE = 8;

/** Most times that a request is sent, and the time between two of them, in ms. */
const MAX_ASKS = 20;
const ASK_AGAIN_MS = 100;

/** Time between two parts of an answer, or its last byte and a reset, in ms. */
const PART_WAIT_MS = 5;

/** Body of a whole answer. */
export const BODY = 'whole answer';

/** How a target ends its connection. */
export type End = 'FIN' | 'RST';

/** Shape of an answer whose bytes are cut. */
export interface Form {
  /** Bytes before the final head, such as interim heads. */
  readonly interim?: string;
  /** Status line; of a 200 over HTTP/1.1 by default. */
  readonly status?: string;
  /** Header fields beside those that sign the answer. */
  readonly fields: readonly string[];
  /** Formats the body. */
  readonly frame: (body: string) => string;
  readonly method?: string;
}

/** Field that gives the length of the body that is sent. */
export const LENGTH = `Content-Length: ${BODY.length}`;

/** Bytes of an answer. */
export interface Parts {
  readonly head: string;
  readonly body: string;
}

/**
 * Formats an answer to the request with this id.
 *
 * @example
 * const {head, body} = formatAnswer(form, 'q1');
 */
export function formatAnswer(form: Form, id: string, body = BODY): Parts {
  const lines = [
    form.status ?? 'HTTP/1.1 200 OK',
    `x-test-id: ${id}`,
    'x-test-signature: signed',
    ...form.fields.map(field =>
      field === LENGTH ? `Content-Length: ${body.length}` : field,
    ),
  ];
  const head = `${form.interim ?? ''}${lines.join('\r\n')}\r\n\r\n`;
  return {head, body: form.frame(body)};
}

/** Answer of a target to one attempt. */
export interface Attempt {
  readonly form: Form;
  /** Number of bytes that are sent; all if absent. */
  readonly cut?: number;
  readonly end: End;
  /** Whether head and body are sent apart. */
  readonly isSplit?: boolean;
  /** Body for the event after which the request asks; `BODY` by default. */
  readonly buildBody?: (lastEventId: number) => string;
}

/** A request, and what targets answer to its attempts in turn. */
export interface Case {
  readonly name: string;
  readonly call: Omit<WireCall, 'id' | 'method' | 'framing' | 'body'>;
  readonly attempts: readonly Attempt[];
  /** Whether another request is answered first on the caller's connection. */
  readonly isKept?: boolean;
}

function sendEnd(socket: Socket, text: string, end: End): void {
  if (end === 'FIN') return void socket.end(text, 'latin1');
  socket.write(text, 'latin1');
  setTimeout(() => socket.resetAndDestroy(), PART_WAIT_MS);
}

/** Sends an answer; returns whether all its bytes are sent. */
function sendAttempt(
  {form, cut, end, isSplit, buildBody}: Attempt,
  request: WireRequest,
  socket: Socket,
): boolean {
  const lastEventId = Number(request.headers['x-test-after'] ?? 0);
  const text = buildBody?.(lastEventId) ?? BODY;
  const {head, body} = formatAnswer(form, request.headers['x-test-id'], text);
  const sent = (head + body).slice(0, cut);
  const isComplete = sent.length === head.length + body.length;
  if (isSplit !== true || sent.length <= head.length) {
    sendEnd(socket, sent, end);
    return isComplete;
  }
  socket.write(head, 'latin1');
  setTimeout(() => sendEnd(socket, sent.slice(head.length), end), PART_WAIT_MS);
  return isComplete;
}

/** What became of cases. */
export interface Tally {
  /** Cases whose answer looks whole though no target sent it completely. */
  readonly wrong: ReadonlyArray<readonly [name: string, answer: WireAnswer]>;
  /** Cases whose answer is whole, and which a target sent completely. */
  readonly whole: ReadonlyArray<readonly [name: string, answer: WireAnswer]>;
  /** Names of cases of which no target got the request. */
  readonly unsent: readonly string[];
}

/**
 * A gate with targets that cut their answers.
 *
 * @example
 * const {wrong} = await bed.run(cases);
 */
export class CutBed {
  private readonly cases = new Map<string, Case>();
  private readonly counts = new Map<string, number>();
  private readonly targets: WireTarget[] = [];
  /** Ids of requests that a target has answered completely. */
  private readonly complete = new Set<string>();
  private lastId = 0;

  constructor(private readonly harness: GateHarness) {}

  /** Starts the targets. */
  async start(): Promise<void> {
    for (let i = 0; i < TARGETS_PER_SERVICE; i++)
      for (const service of ['orders', 'chat']) {
        const target = await openWireTarget(
          `${service}-${i}`,
          service,
          (request, socket) => this.answer(request, socket),
        );
        this.targets.push(target);
        this.harness.store.publishTarget(target.entry);
      }
    await this.harness.waitUntil(
      async () =>
        (await this.harness.readGauge('targets_known')) === this.targets.length,
    );
  }

  /** Closes the gate and the targets. */
  close(): void {
    this.harness.close();
    for (const target of this.targets) target.close();
  }

  /** Runs cases, many at once. */
  async run(cases: readonly Case[], concurrency = CONCURRENCY): Promise<Tally> {
    const whole: Array<readonly [string, WireAnswer]> = [];
    const wrong: Array<readonly [string, WireAnswer]> = [];
    const unsent: string[] = [];
    const left = [...cases];
    const runNext = async () => {
      for (let next = left.pop(); next !== undefined; next = left.pop()) {
        const id = `c${String(++this.lastId).padStart(6, '0')}`;
        this.cases.set(id, next);
        const answer = await this.askUntilSent(next, id);
        if (answer.isWhole && (answer.status ?? 0) < 500)
          (this.complete.has(id) ? whole : wrong).push([next.name, answer]);
        if (!this.counts.has(id)) unsent.push(next.name);
      }
    };
    await Promise.all(Array.from({length: concurrency}, runNext));
    return {wrong, whole, unsent};
  }

  /** Asks again, as callers do, while the gate refuses the request unsent. */
  private async askUntilSent(next: Case, id: string): Promise<WireAnswer> {
    for (let i = 1; ; i++) {
      const answer = await this.ask(next, id);
      if (this.counts.has(id) || i === MAX_ASKS) return answer;
      await waitMs(ASK_AGAIN_MS);
    }
  }

  private ask({call, attempts, isKept}: Case, id: string): Promise<WireAnswer> {
    const {host, port} = this.harness;
    const method = attempts[0].form.method ?? 'GET';
    const last = {...call, id, method, framing: 'none', body: ''} as const;
    if (isKept !== true) return askOnWire({host, port}, [last]);
    const first = {...last, id: 'first', method: 'GET', path: '/safe/x'};
    return askOnWire({host, port}, [{...first, fields: []}, last]);
  }

  private answer(request: WireRequest, socket: Socket): void {
    const id = request.headers['x-test-id'];
    const found = this.cases.get(id);
    if (found === undefined) return answerOnWire(request, socket);
    const count = this.counts.get(id) ?? 0;
    this.counts.set(id, count + 1);
    const {attempts} = found;
    const attempt = attempts[count % attempts.length];
    const isFailure = attempt.form.status?.includes(' 50') === true;
    if (sendAttempt(attempt, request, socket) && !isFailure)
      this.complete.add(id);
  }
}
