/**
 * Reconstructs the prefill and decode spans of engines while one selected
 * prompt was served.
 */
import {isLate} from './worth.js';
import type {JudgedRequest} from './judge-request.js';
import type {ClientAttempt} from './client-attempts.js';

/** Time span in which an engine prefills one prompt or decodes one answer. */
export interface ActivitySpan {
  readonly engine: string;
  readonly phase: 'prefill' | 'decode';
  /** Start of the span as wall-clock time of the gate, in ms. */
  readonly from: number;
  readonly to: number;
  /** Whether the span belongs to the selected prompt. */
  readonly isSelected: boolean;
}

/**
 * Engine activity during one selected prompt, including the other prompts
 * served at the same time.
 */
export interface EngineActivity {
  readonly request: JudgedRequest;
  readonly from: number;
  readonly to: number;
  /** Names of the engines, those of the selected prompt first. */
  readonly engines: readonly string[];
  readonly spans: readonly ActivitySpan[];
}

/** Time shown before and after the selected prompt, in ms. */
const PLOT_MARGIN_MS = 1000;

/**
 * Picks the prompt to plot: the largest prompt with a late answer, or the
 * largest prompt if no answer is late.
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

/**
 * Resolves the end of a client attempt; if the log lacks it, returns the last
 * timestamp of the gate incarnation.
 */
function resolveEndAt({end, lastSeenAt}: ClientAttempt): number {
  return end?.t ?? lastSeenAt;
}

/** Lists the spans of all placements of a client attempt. */
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
 * Lists the spans of all engines around a selected prompt, with a margin before
 * and after.
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
