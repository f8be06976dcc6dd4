/**
 * The load tool's caller: sends one planned request through a gate and
 * measures what a caller sees (status, time to first token, whole answer).
 */
import {readClockMs, readSseEvents, waitMs} from '@nutmeggauge/core';
import {request} from 'undici';
import type {Dispatcher} from 'undici';

/**
 * - `answered`: the whole answer came.
 * - `refused`: told that it did not run, and when to come back.
 * - `unknown`: told that it may have run.
 * - `broken`: no whole answer and no final word.
 */
export type Verdict = 'answered' | 'refused' | 'unknown' | 'broken';

/** What the caller saw of one request. */
export interface CallerResult {
  readonly index: number;
  readonly kind: 'generate' | 'order';
  readonly httpStatus: number;
  readonly verdict: Verdict;
  readonly gateUrl: string;
  /** When it was sent, in epoch ms. */
  readonly sentAt: number;
  /** Id that the gate gave the request, when an error body told it. */
  readonly requestId?: string;
  readonly errorType?: string;
  readonly reason?: string;
  readonly ttftMs?: number;
  readonly totalMs: number;
  /** Pauses between the pieces of a streamed answer, in ms. */
  readonly gapsMs: readonly number[];
  readonly slip?: number;
  /** How a broken answer showed, at which gate and when. */
  readonly brokenBy?: string;
  /** Code of the connection's error. */
  readonly errorCode?: string;
}

/** How a caller reaches the system. */
export interface CallerOptions {
  readonly gateUrl: string;
  /** API key of the caller's client account. */
  readonly key: string;
  /** Window of the request, in ms. */
  readonly deadlineMs: number;
  /** Time that a message takes from the caller to the gate, one way, in ms. */
  readonly distanceMs: number;
  /**
   * Connections of the caller.
   * @default undici's global ones
   */
  readonly dispatcher?: Dispatcher;
}

interface GateError {
  readonly type?: string;
  readonly reason?: string;
  readonly request_id?: string;
}

/** Time past its window after which a caller gives a request up, in ms. */
const TIMEOUT_SLACK_MS = 10_000;

/** Whole-answer check: the stand-in engines emit ` t0 t1 …` in order. */
function isWholeAnswer(text: string, expected: number): boolean {
  return text === Array.from({length: expected}, (_, i) => ` t${i}`).join('');
}

function judgeError(error: GateError | undefined): Verdict {
  if (error === undefined) return 'broken';
  const mayHaveRun =
    error.type === 'outcome_unknown' ||
    error.reason === 'deadline_passed_may_have_run';
  return mayHaveRun ? 'unknown' : 'refused';
}

/** What is left to trace a lost request by: its caller alone saw it. */
function describeFailure(
  options: CallerOptions,
  startedAt: number,
  error: unknown,
): string {
  const {code, message, cause} = error as NodeJS.ErrnoException & {
    readonly cause?: unknown;
  };
  const from = cause instanceof Error ? ` from ${cause.message}` : '';
  const ms = Math.round(performance.now() - startedAt);
  return `${options.gateUrl} after ${ms} ms, at ${readClockMs()}: ${code ?? ''} ${message}${from}`;
}

function toErrorFields(error: GateError | undefined) {
  return {
    errorType: error?.type,
    reason: error?.reason,
    requestId: error?.request_id,
  };
}

function buildResultBase({gateUrl}: CallerOptions, index: number) {
  return {index, gateUrl, sentAt: readClockMs(), gapsMs: []};
}

async function post(
  options: CallerOptions,
  index: number,
  path: string,
  body: object,
  headers: Readonly<Record<string, string>> = {},
): Promise<Dispatcher.ResponseData> {
  await waitMs(options.distanceMs);
  return request(`${options.gateUrl}${path}`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${options.key}`,
      'content-type': 'application/json',
      'x-deadline-ms': String(options.deadlineMs),
      'x-request-id': String(index),
      ...headers,
    },
    body: JSON.stringify(body),
    headersTimeout: options.deadlineMs + TIMEOUT_SLACK_MS,
    bodyTimeout: options.deadlineMs + TIMEOUT_SLACK_MS,
    dispatcher: options.dispatcher,
  });
}

/** Reads one streamed answer; times are from the caller's send. */
async function readStream(
  response: Dispatcher.ResponseData,
  startedAt: number,
  distanceMs: number,
) {
  let text = '';
  let isDone = false;
  let error: GateError | undefined;
  let ttftMs: number | undefined;
  let lastAt = 0;
  const gapsMs: number[] = [];
  for await (const {event, data} of readSseEvents(response.body)) {
    if (event === 'error') {
      error = (JSON.parse(data) as {error: GateError}).error;
      continue;
    }
    if (data === '[DONE]') {
      isDone = true;
      continue;
    }
    const now = performance.now();
    if (ttftMs === undefined) ttftMs = now - startedAt + distanceMs;
    else gapsMs.push(now - lastAt);
    lastAt = now;
    text += (JSON.parse(data) as {choices: Array<{text: string}>}).choices[0]
      .text;
  }
  return {text, isDone, error, ttftMs, gapsMs};
}

/**
 * Streams one completion and classifies the answer.
 *
 * @example
 * const result = await sendCompletion(options, 0, prompt, 32);
 */
export async function sendCompletion(
  options: CallerOptions,
  index: number,
  prompt: string,
  maxTokens: number,
): Promise<CallerResult> {
  const startedAt = performance.now();
  const base = {...buildResultBase(options, index), kind: 'generate' as const};
  const readElapsedMs = () => performance.now() - startedAt;
  try {
    const response = await post(options, index, '/v1/completions', {
      model: 'chat',
      prompt,
      max_tokens: maxTokens,
      stream: true,
    });
    if (response.statusCode !== 200) {
      const {error} = (await response.body.json()) as {error?: GateError};
      return {
        ...base,
        ...toErrorFields(error),
        httpStatus: response.statusCode,
        verdict: judgeError(error),
        totalMs: readElapsedMs(),
      };
    }
    const answer = await readStream(response, startedAt, options.distanceMs);
    const isWhole = answer.isDone && isWholeAnswer(answer.text, maxTokens);
    const mismatch = `${answer.isDone ? 'other' : 'no'} end, ${answer.text.length} characters`;
    return {
      ...base,
      ...toErrorFields(answer.error),
      brokenBy: isWhole
        ? undefined
        : describeFailure(options, startedAt, new Error(mismatch)),
      httpStatus: 200,
      verdict: isWhole ? 'answered' : judgeError(answer.error),
      ttftMs: answer.ttftMs,
      gapsMs: answer.gapsMs,
      totalMs: readElapsedMs(),
    };
  } catch (error) {
    const brokenBy = describeFailure(options, startedAt, error);
    return {
      ...base,
      httpStatus: 0,
      verdict: 'broken',
      totalMs: readElapsedMs(),
      brokenBy,
      errorCode: (error as NodeJS.ErrnoException).code,
    };
  }
}

/**
 * Places one not-repeatable order call with an Idempotency-Key.
 *
 * @example
 * await sendOrder(options, 7, uuidv7());
 */
export async function sendOrder(
  options: CallerOptions,
  index: number,
  idempotencyKey: string,
): Promise<CallerResult> {
  const startedAt = performance.now();
  const base = {...buildResultBase(options, index), kind: 'order' as const};
  const readElapsedMs = () => performance.now() - startedAt;
  try {
    const response = await post(
      options,
      index,
      '/v1/services/orders/place-order',
      {sku: 'lens-30', quantity: 1},
      {'idempotency-key': idempotencyKey},
    );
    const body = (await response.body.json()) as {
      result?: {slip?: number};
      error?: GateError;
    };
    const isAnswered = response.statusCode === 200;
    return {
      ...base,
      ...toErrorFields(body.error),
      httpStatus: response.statusCode,
      verdict: isAnswered ? 'answered' : judgeError(body.error),
      slip: body.result?.slip,
      totalMs: readElapsedMs(),
    };
  } catch (error) {
    const brokenBy = describeFailure(options, startedAt, error);
    return {
      ...base,
      httpStatus: 0,
      verdict: 'broken',
      totalMs: readElapsedMs(),
      brokenBy,
      errorCode: (error as NodeJS.ErrnoException).code,
    };
  }
}
