/** Activity of engines around one long prompt: prefill and decode spans. */
import {isLate} from './worth.js';
import type {JudgedRequest} from './judge-request.js';
import type {ClientAttempt} from './client-attempts.js';

/**
 * A time in which an engine has one prompt to prefill or one answer to decode.
 */
export interface ActivitySpan {
  readonly engine: string;
  readonly work: 'prefill' | 'decode';
  /** Wall clock of the gate, in ms. */
  readonly from: number;
  readonly to: number;
  /** Belongs to the selected prompt. */
  readonly isMarked: boolean;
}

/** Engines around one prompt. */
export interface EngineActivity {
  readonly request: JudgedRequest;
  readonly from: number;
  readonly to: number;
  /** The selected prompt's engines first. */
  readonly engines: readonly string[];
  readonly spans: readonly ActivitySpan[];
}

/** Time shown before and after the prompt, in ms. */
const AROUND_MS = 1000;

/**
 * Picks the prompt to show: the largest late one, or else the largest.
 *
 * @example
 * pickPrompt(requests)?.requestId;
 */
export function pickPrompt(
  requests: readonly JudgedRequest[],
): JudgedRequest | undefined {
  const placed = requests.filter(({attempt}) => attempt.placements.length > 0);
  const late = placed.filter(({cause}) => isLate(cause));
  const candidates = late.length > 0 ? late : placed;
  return [...candidates].sort((a, b) => (b.tokens ?? 0) - (a.tokens ?? 0))[0];
}

/** End of a client attempt, as far as the log shows. */
function readEndAt({end, lastSeenAt}: ClientAttempt): number {
  return end?.t ?? lastSeenAt;
}

/** Spans of each placement of a client attempt. */
function listSpans(
  attempt: ClientAttempt,
  isMarked: boolean,
): readonly ActivitySpan[] {
  const {placements, failures, arrivedAt, end} = attempt;
  const endAt = readEndAt(attempt);
  const firstAt =
    end?.ttftMs === undefined ? undefined : arrivedAt + end.ttftMs;
  return placements.flatMap(({t, decoder, helpers}, i) => {
    const next = placements.at(i + 1)?.t ?? endAt;
    const failedAt = failures.find(failure => failure.t >= t)?.t ?? next;
    const to = Math.min(next, failedAt);
    const readTo = firstAt === undefined ? to : Math.min(to, firstAt);
    const prefill = [decoder, ...helpers].map(engine => ({
      engine,
      work: 'prefill' as const,
      from: t,
      to: Math.max(t, readTo),
      isMarked,
    }));
    if (firstAt === undefined || to <= firstAt) return prefill;
    const from = Math.max(t, firstAt);
    return [
      ...prefill,
      {engine: decoder, work: 'decode' as const, from, to, isMarked},
    ];
  });
}

/**
 * Lists what engines did around a prompt.
 *
 * @example
 * listActivity(requests, pickPrompt(requests)).engines;
 */
export function listActivity(
  requests: readonly JudgedRequest[],
  request: JudgedRequest,
): EngineActivity {
  const from = request.attempt.arrivedAt - AROUND_MS;
  const to = readEndAt(request.attempt) + AROUND_MS;
  const spans = requests
    .flatMap(({attempt}) => listSpans(attempt, attempt === request.attempt))
    .filter(span => span.to >= from && span.from <= to);
  const own = spans.filter(({isMarked}) => isMarked);
  const others = spans.map(({engine}) => engine).sort();
  const engines = [...new Set([...own.map(({engine}) => engine), ...others])];
  return {request, from, to, engines, spans};
}
