/**
 * What engines did around one long prompt: for each, when it had prompts to
 * read and when it wrote answers.
 */
import {isLate} from './worth.js';
import type {JudgedRequest} from './judge-request.js';
import type {Visit} from './visits.js';

/** A time in which an engine had one prompt to read or one answer to write. */
export interface ActivitySpan {
  readonly engine: string;
  readonly work: 'reading' | 'writing';
  /** Wall clock of the gate, in ms. */
  readonly from: number;
  readonly to: number;
  /** It is part of the marked prompt. */
  readonly isMarked: boolean;
}

/** Engines around one prompt. */
export interface EngineActivity {
  readonly request: JudgedRequest;
  readonly from: number;
  readonly to: number;
  /** Those of the prompt first. */
  readonly engines: readonly string[];
  readonly spans: readonly ActivitySpan[];
}

/** How much of the time before and after the prompt is shown, in ms. */
const AROUND_MS = 1000;

/**
 * Picks the prompt to show: the largest late one, or the largest of all when
 * none was late.
 *
 * @example
 * pickPrompt(requests)?.requestId;
 */
export function pickPrompt(
  requests: readonly JudgedRequest[],
): JudgedRequest | undefined {
  const placed = requests.filter(({visit}) => visit.placements.length > 0);
  const late = placed.filter(({cause}) => isLate(cause));
  const candidates = late.length > 0 ? late : placed;
  return [...candidates].sort((a, b) => (b.tokens ?? 0) - (a.tokens ?? 0))[0];
}

/** When a visit was over, as far as the log tells. */
function readEndAt({end, lastSeenAt}: Visit): number {
  return end?.t ?? lastSeenAt;
}

/** Spans of each attempt of a visit; the last one wrote what came after. */
function listSpans(visit: Visit, isMarked: boolean): readonly ActivitySpan[] {
  const {placements, failures, arrivedAt, end} = visit;
  const endAt = readEndAt(visit);
  const firstAt =
    end?.firstMs === undefined ? undefined : arrivedAt + end.firstMs;
  return placements.flatMap(({t, first, helpers}, i) => {
    const next = placements.at(i + 1)?.t ?? endAt;
    const failedAt = failures.find(failure => failure.t >= t)?.t ?? next;
    const to = Math.min(next, failedAt);
    const readTo = firstAt === undefined ? to : Math.min(to, firstAt);
    const reading = [first, ...helpers].map(engine => ({
      engine,
      work: 'reading' as const,
      from: t,
      to: Math.max(t, readTo),
      isMarked,
    }));
    if (firstAt === undefined || to <= firstAt) return reading;
    const from = Math.max(t, firstAt);
    return [
      ...reading,
      {engine: first, work: 'writing' as const, from, to, isMarked},
    ];
  });
}

/**
 * Lists what engines did around one prompt.
 *
 * @example
 * listActivity(requests, pickPrompt(requests)).engines;
 */
export function listActivity(
  requests: readonly JudgedRequest[],
  request: JudgedRequest,
): EngineActivity {
  const from = request.visit.arrivedAt - AROUND_MS;
  const to = readEndAt(request.visit) + AROUND_MS;
  const spans = requests
    .flatMap(({visit}) => listSpans(visit, visit === request.visit))
    .filter(span => span.to >= from && span.from <= to);
  const own = spans.filter(({isMarked}) => isMarked);
  const others = spans.map(({engine}) => engine).sort();
  const engines = [...new Set([...own.map(({engine}) => engine), ...others])];
  return {request, from, to, engines, spans};
}
