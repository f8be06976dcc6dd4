/**
 * HTTP client of the load generator: sends one planned request through a gate
 * and measures what the caller observes (status, time to first token, total
 * time, completeness of the answer).
 */
import {readClockMs, readSseEvents, waitMs} from '@nutmeggauge/core';
import {request} from 'undici';
import type {Dispatcher} from 'undici';

/**
 * Outcome of a request as its caller observes it.
 *
 * - `answered`: the complete answer arrived.
 * - `refused`: the gate reported that the request was not executed, usually
 *   with a delay after which to retry.
 * - `unknown`: the gate reported that the request may have been executed.
 * - `broken`: neither a complete answer nor an error report arrived.
 */
export type Verdict = 'answered' | 'refused' | 'unknown' | 'broken';

/** Result of one request as its caller observes it. */
export interface CallerResult {
  readonly index: number;
  readonly kind: 'generate' | 'order';
  readonly httpStatus: number;
  readonly verdict: Verdict;
  readonly gateUrl: string;
  /** Time at which the caller sent the request, in epoch ms. */
  readonly sentAt: number;
  /** Request id assigned by the gate, if an error body contains it. */
  readonly requestId?: string;
  readonly errorType?: string;
  readonly reason?: string;
  readonly ttftMs?: number;
  readonly totalMs: number;
  /**
   * Inter-token latencies: times between chunks of a streamed answer, in ms.
   */
  readonly gapsMs: readonly number[];
  readonly slip?: number;
  /** Error text of a broken answer, with the gate's URL and the time. */
  readonly brokenBy?: string;
  /** Error code of the connection, such as `ECONNRESET`. */
  readonly errorCode?: string;
}

/** Gate, credentials and timing with which a caller sends a request. */
export interface CallerOptions {
  readonly gateUrl: string;
  /** API key of the caller's client account. */
  readonly key: string;
  /** Time from sending the request to its deadline, in ms. */
  readonly deadlineMs: number;
  /** One-way network latency between caller and gate, in ms. */
  readonly distanceMs: number;
  /**
   * HTTP connection pool of the caller.
   * @default undici's global dispatcher
   */
  readonly dispatcher?: Dispatcher;
}

interface GateError {
  readonly type?: string;
  readonly reason?: string;
  readonly request_id?: string;
}

/** Time past the deadline after which a caller abandons a request, in ms. */
const TIMEOUT_SLACK_MS = 10_000;

/**
 * Checks that `text` is a complete answer of `expected` tokens. The stand-in
 * engines emit the tokens ` t0 t1 …` in order.
 */
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

/**
 * Describes a failed request for troubleshooting. A lost request may have
 * left no trace except at its caller.
 */
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

/** Reads one streamed answer; `ttftMs` counts from the caller's send. */
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
 * Sends one streaming completion request and classifies the answer.
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
    const mismatch = `${answer.isDone ? 'unexpected text' : 'stream ended early'}, ${answer.text.length} characters`;
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
 * Sends one non-idempotent order call with an Idempotency-Key.
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
