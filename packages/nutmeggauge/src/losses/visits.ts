/**
 * What one gate wrote of one request, put together, and the visits of one
 * request to several gates.
 */
import type {GateLife} from './gate-lives.js';
import type {TimelineEvent} from '../timeline/merge.js';

/** The engines that a stream was sent to. */
export interface PlacementRecord {
  /** Wall clock of its gate, in ms. */
  readonly t: number;
  readonly first: string;
  readonly helpers: readonly string[];
  /** Time from the placement to the first event as forecast, in ms. */
  readonly predictedFirstMs: number;
  /** Age of what the gate knew, in ms. */
  readonly factsAgeMs: number;
  readonly tokens: number | undefined;
}

/** How a visit ended. */
export interface VisitEnd {
  readonly t: number;
  /** The gate's word for it, such as `answered` or `too_late`. */
  readonly outcome: string;
  /** Refused before its route was known. */
  readonly isEarly: boolean;
  readonly status: number | undefined;
  readonly route: string | undefined;
  readonly kind: string | undefined;
  readonly target: string | undefined;
  readonly tokens: number | undefined;
  /** First event since the arrival, in ms. */
  readonly firstMs: number | undefined;
  /** Longest pause between two events, in ms. */
  readonly gapMs: number | undefined;
  /** Whole answer since the arrival, in ms. */
  readonly ms: number;
}

/** One arrival of a request at one gate. */
export interface Visit {
  readonly proc: string;
  readonly requestId: string | undefined;
  /** Wall clock of the gate, in ms. */
  readonly arrivedAt: number;
  readonly placements: readonly PlacementRecord[];
  /** Times at which it was looked at and kept back. */
  readonly keptAt: readonly number[];
  /** Targets of attempts that failed, and when. */
  readonly failures: ReadonlyArray<{
    readonly t: number;
    readonly target: string;
  }>;
  readonly end: VisitEnd | undefined;
  /** Last line of the gate's life, for a visit without an end. */
  readonly lastSeenAt: number;
  /** The gate's process ended, or fell silent for good, before the visit did. */
  readonly isGateGone: boolean;
}

/** Events that belong to a request's way. */
const VISIT_EVENTS: ReadonlySet<string> = new Set([
  'stream_placed',
  'stream_kept',
  'waited_for_place',
  'attempt_failed',
  'request_given_up',
  'request_ended',
  'request_refused',
]);

/**
 * Longest duration that a line is believed, in ms: a day. Windows are told by
 * dates, and with a duration of 8.6e15 ms an arrival had none: a RangeError.
 */
const MAX_DURATION_MS = 86_400_000;

/** Largest status of HTTP (RFC 9110, 15). */
const MAX_STATUS = 599;

/** Most tokens that a line is believed: 1,000 times the longest prompt. */
const MAX_TOKENS = 1e9;

/** Reads a figure from 0 to `most`; nothing when it is none. */
function readFigure(
  line: TimelineEvent,
  field: string,
  most: number,
): number | undefined {
  const value = line[field];
  const isSound = typeof value === 'number' && value >= 0 && value <= most;
  return isSound ? value : undefined;
}

function readMs(line: TimelineEvent, field: string): number | undefined {
  return readFigure(line, field, MAX_DURATION_MS);
}

function readTokens(line: TimelineEvent): number | undefined {
  return readFigure(line, 'tokens', MAX_TOKENS);
}

function readText(line: TimelineEvent, field: string): string | undefined {
  const value = line[field];
  return typeof value === 'string' ? value : undefined;
}

function readTexts(line: TimelineEvent, field: string): readonly string[] {
  const value = line[field];
  return Array.isArray(value)
    ? value.filter((item): item is string => typeof item === 'string')
    : [];
}

function toPlacements(line: TimelineEvent): readonly PlacementRecord[] {
  const first = readText(line, 'first');
  const predictedFirstMs = readMs(line, 'predictedFirstMs');
  if (first === undefined || predictedFirstMs === undefined) return [];
  return [
    {
      t: line.t,
      first,
      helpers: readTexts(line, 'helpers'),
      predictedFirstMs,
      factsAgeMs: readMs(line, 'factsAgeMs') ?? 0,
      tokens: readTokens(line),
    },
  ];
}

function toEnd(line: TimelineEvent): VisitEnd {
  const isEarly = line.event === 'request_refused';
  return {
    t: line.t,
    isEarly,
    outcome: readText(line, isEarly ? 'reason' : 'outcome') ?? 'unknown',
    status: readFigure(line, 'status', MAX_STATUS),
    route: readText(line, 'route'),
    kind: readText(line, 'kind'),
    target: readText(line, 'target'),
    tokens: readTokens(line),
    firstMs: readMs(line, 'firstMs'),
    gapMs: readMs(line, 'gapMs'),
    ms: readMs(line, 'ms') ?? 0,
  };
}

function buildVisit(
  life: GateLife,
  lines: readonly TimelineEvent[],
  endLine: TimelineEvent | undefined,
  span: LogSpan,
): Visit {
  const end = endLine === undefined ? undefined : toEnd(endLine);
  const pick = (event: string) => lines.filter(line => line.event === event);
  return {
    proc: life.proc,
    requestId: readText(lines[0], 'requestId'),
    arrivedAt: end === undefined ? lines[0].t : end.t - end.ms,
    placements: pick('stream_placed').flatMap(toPlacements),
    keptAt: pick('stream_kept').map(({t}) => t),
    failures: pick('attempt_failed').map(line => ({
      t: line.t,
      target: readText(line, 'target') ?? '',
    })),
    end,
    lastSeenAt: readLastStamp(life.lines),
    isGateGone: end === undefined && isGateGone(life, lines, span),
  };
}

function readLastStamp(lines: readonly TimelineEvent[]): number {
  return lines[lines.length - 1].t;
}

/**
 * Longest time that a request is taken to last, in ms, where the log shows
 * shorter ones only: the time limit that callers of every deployment set.
 */
const USUAL_LIMIT_MS = 10_000;

/** What all logs together tell. */
interface LogSpan {
  /** Last stamp of any gate, in ms. */
  readonly endsAt: number;
  /** Longest time that a request lasted, in ms. */
  readonly longestMs: number;
}

function readSpan(lives: readonly GateLife[]): LogSpan {
  let endsAt = 0;
  let longestMs = USUAL_LIMIT_MS;
  for (const line of lives.flatMap(life => life.lines)) {
    endsAt = Math.max(endsAt, line.t);
    if (line.event === 'request_ended')
      longestMs = Math.max(longestMs, readMs(line, 'ms') ?? 0);
  }
  return {endsAt, longestMs};
}

/**
 * True when a visit without an end was lost with its gate. A gate leaves lines
 * out under load, ends among them: a visit whose own last line is older than
 * any request lasts had ended before its gate did, nobody knows how.
 */
function isGateGone(
  life: GateLife,
  lines: readonly TimelineEvent[],
  {endsAt, longestMs}: LogSpan,
): boolean {
  const lastAt = readLastStamp(life.lines);
  if (lastAt - readLastStamp(lines) > longestMs) return false;
  return life.isOver || endsAt - lastAt > longestMs;
}

function listVisitsOfLife(life: GateLife, span: LogSpan): readonly Visit[] {
  const open = new Map<string, TimelineEvent[]>();
  const visits: Visit[] = [];
  for (const line of life.lines) {
    if (!VISIT_EVENTS.has(line.event)) continue;
    const id = readText(line, 'requestId');
    const lines = [...(open.get(id ?? '') ?? []), line];
    const isEnd =
      line.event === 'request_ended' || line.event === 'request_refused';
    if (isEnd) {
      open.delete(id ?? '');
      visits.push(
        buildVisit(life, id === undefined ? [line] : lines, line, span),
      );
    } else if (id !== undefined) open.set(id, lines);
  }
  for (const lines of open.values())
    visits.push(buildVisit(life, lines, undefined, span));
  return visits;
}

/**
 * Lists the visits of all requests to all gates.
 *
 * @example
 * listVisits(readGateLogs(['all.log']).lives).length;
 */
export function listVisits(lives: readonly GateLife[]): readonly Visit[] {
  const span = readSpan(lives);
  return lives.flatMap(life => listVisitsOfLife(life, span));
}

/** One request with all its visits, in the order of their arrivals. */
export interface RequestRecord {
  readonly requestId: string | undefined;
  readonly visits: readonly Visit[];
  /** The visit by which the request is judged. */
  readonly visit: Visit;
}

/** The answered visit, else the last one: a caller that came back. */
function pickVisit(visits: readonly Visit[]): Visit {
  const answered = visits.find(({end}) => end?.outcome === 'answered');
  return answered ?? visits[visits.length - 1];
}

/**
 * Puts together the visits of each request.
 *
 * @example
 * mergeVisits(listVisits(lives)).filter(({visits}) => visits.length > 1);
 */
export function mergeVisits(
  visits: readonly Visit[],
): readonly RequestRecord[] {
  const byId = new Map<string, Visit[]>();
  const nameless: RequestRecord[] = [];
  for (const visit of visits) {
    const {requestId} = visit;
    if (requestId === undefined)
      nameless.push({requestId, visits: [visit], visit});
    else byId.set(requestId, [...(byId.get(requestId) ?? []), visit]);
  }
  const named = [...byId].map(([requestId, own]) => {
    const sorted = own.sort((a, b) => a.arrivedAt - b.arrivedAt);
    return {requestId, visits: sorted, visit: pickVisit(sorted)};
  });
  return [...named, ...nameless];
}
