/**
 * The load tool's caller: sends one planned request through a gate and
 * measures what a caller sees (status, time to first token, whole answer).
 */
import {request} from 'undici';

/** What the caller saw of one request. */
export interface CallerResult {
  readonly index: number;
  readonly kind: 'generate' | 'order';
  readonly httpStatus: number;
  /** `answered`: whole answer; `refused`: told no or not run; `unknown`; `broken`: no whole answer and no final word. */
  readonly verdict: 'answered' | 'refused' | 'unknown' | 'broken';
  readonly errorType?: string;
  readonly reason?: string;
  readonly ttftMs?: number;
  readonly totalMs: number;
  readonly pieces: number;
  readonly retryAfter?: string;
  readonly slip?: number;
}

/** Whole-answer check: the stand-in engines emit ` t0 t1 …` in order. */
function isWholeAnswer(text: string, expected: number): boolean {
  return text === Array.from({length: expected}, (_, i) => ` t${i}`).join('');
}

/**
 * Streams one completion and classifies the answer.
 *
 * @example
 * const result = await sendCompletion(gateUrl, key, 0, prompt, 32, 30_000);
 */
export async function sendCompletion(
  gateUrl: string,
  key: string,
  index: number,
  prompt: string,
  maxTokens: number,
  deadlineMs: number,
): Promise<CallerResult> {
  const startedAt = performance.now();
  let ttftMs: number | undefined;
  try {
    const response = await request(`${gateUrl}/v1/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
        'x-deadline-ms': String(deadlineMs),
      },
      body: JSON.stringify({
        model: 'chat',
        prompt,
        max_tokens: maxTokens,
        stream: true,
      }),
      headersTimeout: deadlineMs + 10_000,
      bodyTimeout: deadlineMs + 10_000,
    });
    if (response.statusCode !== 200) {
      const body = (await response.body.json()) as {
        error?: {type?: string; reason?: string};
      };
      const type = body.error?.type;
      return {
        index,
        kind: 'generate',
        httpStatus: response.statusCode,
        verdict: type === 'outcome_unknown' ? 'unknown' : 'refused',
        errorType: type,
        reason: body.error?.reason,
        totalMs: performance.now() - startedAt,
        pieces: 0,
        retryAfter: response.headers['retry-after'] as string | undefined,
      };
    }
    let buffer = '';
    let text = '';
    let pieces = 0;
    let done = false;
    let failure: {type?: string; reason?: string} | undefined;
    for await (const part of response.body) {
      buffer += part.toString();
      const blocks = buffer.split('\n\n');
      buffer = blocks.pop() ?? '';
      for (const block of blocks) {
        const data =
          block
            .split('\n')
            .find(line => line.startsWith('data: '))
            ?.slice(6) ?? '';
        if (block.startsWith('event: error'))
          failure = (JSON.parse(data) as {error: typeof failure}).error;
        else if (data === '[DONE]') done = true;
        else {
          ttftMs ??= performance.now() - startedAt;
          text += (JSON.parse(data) as {choices: Array<{text: string}>})
            .choices[0].text;
          pieces++;
        }
      }
    }
    const whole = done && isWholeAnswer(text, maxTokens);
    return {
      index,
      kind: 'generate',
      httpStatus: 200,
      verdict: whole
        ? 'answered'
        : failure?.type === 'outcome_unknown'
          ? 'unknown'
          : failure !== undefined
            ? 'refused'
            : 'broken',
      errorType: failure?.type,
      reason: failure?.reason,
      ttftMs,
      totalMs: performance.now() - startedAt,
      pieces,
    };
  } catch {
    return {
      index,
      kind: 'generate',
      httpStatus: 0,
      verdict: 'broken',
      ttftMs,
      totalMs: performance.now() - startedAt,
      pieces: 0,
    };
  }
}

/**
 * Places one not-repeatable order call with an Idempotency-Key.
 *
 * @example
 * await sendOrder(gateUrl, key, 7, 'order-1');
 */
export async function sendOrder(
  gateUrl: string,
  key: string,
  index: number,
  idempotencyKey: string,
): Promise<CallerResult> {
  const startedAt = performance.now();
  try {
    const response = await request(
      `${gateUrl}/v1/services/orders/place-order`,
      {
        method: 'POST',
        headers: {
          authorization: `Bearer ${key}`,
          'content-type': 'application/json',
          'idempotency-key': idempotencyKey,
        },
        body: JSON.stringify({sku: 'lens-30', quantity: 1}),
      },
    );
    const body = (await response.body.json()) as {
      result?: {slip?: number};
      error?: {type?: string; reason?: string};
    };
    const verdict =
      response.statusCode === 200
        ? 'answered'
        : body.error?.type === 'outcome_unknown'
          ? 'unknown'
          : 'refused';
    return {
      index,
      kind: 'order',
      httpStatus: response.statusCode,
      verdict,
      errorType: body.error?.type,
      reason: body.error?.reason,
      totalMs: performance.now() - startedAt,
      pieces: 0,
      slip: body.result?.slip,
    };
  } catch {
    return {
      index,
      kind: 'order',
      httpStatus: 0,
      verdict: 'broken',
      totalMs: performance.now() - startedAt,
      pieces: 0,
    };
  }
}
