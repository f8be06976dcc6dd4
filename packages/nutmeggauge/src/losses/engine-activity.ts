/** Activity of engines around one long prompt: prefill and decode spans. */
import {isLate} from './worth.js';
import type {JudgedRequest} from './judge-request.js';
import type {ClientAttempt} from './client-attempts.js';

/**
 * A time in which an engine has one prompt to prefill or one answer to decode.
 */
export interface ActivitySpan {
  readonly engine: string;
  readonly phase: 'prefill' | 'decode';
  /** Wall clock of the gate, in ms. */
  readonly from: number;
  readonly to: number;
  /** Belongs to the selected prompt. */
  readonly isSelected: boolean;
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
const PLOT_MARGIN_MS = 1000;

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
function resolveEndAt({end, lastSeenAt}: ClientAttempt): number {
  return end?.t ?? lastSeenAt;
}

/** Spans of each placement of a client attempt. */
function listSpans(
  attempt: ClientAttempt,
  isSelected: boolean,
): readonly ActivitySpan[] {
  const {placements, failures, arrivedAt, end} = attempt;
  const endAt = resolveEndAt(attempt);
  const firstTokenAt =
    end?.ttftMs === undefined ? undefined : arrivedAt + end.ttftMs;
  return placements.flatMap(({t, decoder, helpers}, i) => {
    const nextPlacementAt = placements.at(i + 1)?.t ?? endAt;
    const failedAt =
      failures.find(failure => failure.t >= t)?.t ?? nextPlacementAt;
    const to = Math.min(nextPlacementAt, failedAt);
    const prefillEndAt =
      firstTokenAt === undefined ? to : Math.min(to, firstTokenAt);
    const prefill = [decoder, ...helpers].map(engine => ({
      engine,
      phase: 'prefill' as const,
      from: t,
      to: Math.max(t, prefillEndAt),
      isSelected,
    }));
    if (firstTokenAt === undefined || to <= firstTokenAt) return prefill;
    const from = Math.max(t, firstTokenAt);
    return [
      ...prefill,
      {engine: decoder, phase: 'decode' as const, from, to, isSelected},
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
  const from = request.attempt.arrivedAt - PLOT_MARGIN_MS;
  const to = resolveEndAt(request.attempt) + PLOT_MARGIN_MS;
  const spans = requests
    .flatMap(({attempt}) => listSpans(attempt, attempt === request.attempt))
    .filter(span => span.to >= from && span.from <= to);
  const selectedSpans = spans.filter(({isSelected}) => isSelected);
  const others = spans.map(({engine}) => engine).sort();
  const engines = [
    ...new Set([...selectedSpans.map(({engine}) => engine), ...others]),
  ];
  return {request, from, to, engines, spans};
}
