/**
 * Client attempts, reconstructed from the log lines of gates: one for each
 * arrival of a request at a gate.
 */
import type {GateLife} from './gate-lives.js';
import type {TimelineEvent} from '../timeline/merge.js';

/** The engines of a placement. */
export interface PlacementRecord {
  /** Wall clock of its gate, in ms. */
  readonly t: number;
  readonly decoder: string;
  readonly helpers: readonly string[];
  /** Predicted time from the placement to the first token, in ms. */
  readonly predictedTtftMs: number;
  /** Age of the gate's facts, in ms. */
  readonly factsAgeMs: number;
  readonly tokens: number | undefined;
}

/** How a client attempt ended. */
export interface AttemptEnd {
  readonly t: number;
  /** Outcome as logged, such as `answered` or `too_late`. */
  readonly outcome: string;
  /** Refused before routing. */
  readonly isEarly: boolean;
  readonly status: number | undefined;
  readonly route: string | undefined;
  readonly kind: string | undefined;
  readonly target: string | undefined;
  readonly tokens: number | undefined;
  /** Time to first token, in ms. */
  readonly ttftMs: number | undefined;
  /** Largest inter-token latency, in ms. */
  readonly maxItlMs: number | undefined;
  /** Time to the complete answer, in ms. */
  readonly ms: number;
}

/** One arrival of a request at one gate. */
export interface ClientAttempt {
  readonly proc: string;
  readonly requestId: string | undefined;
  /** Wall clock of the gate, in ms. */
  readonly arrivedAt: number;
  readonly placements: readonly PlacementRecord[];
  /** Times at which it was deferred. */
  readonly deferredAt: readonly number[];
  /** Targets of failed attempts, and when. */
  readonly failures: ReadonlyArray<{
    readonly t: number;
    readonly target: string;
  }>;
  readonly end: AttemptEnd | undefined;
  /** Last line of the gate's life, for a client attempt without an end. */
  readonly lastSeenAt: number;
  /** The gate ended, or fell silent for good, before the client attempt did. */
  readonly isGateGone: boolean;
}

/** Events of a client attempt. */
const ATTEMPT_EVENTS: ReadonlySet<string> = new Set([
  'stream_placed',
  'stream_deferred',
  'waited_for_slot',
  'attempt_failed',
  'request_given_up',
  'request_ended',
  'request_refused',
]);

/**
 * Longest credible duration, in ms: larger ones lead to dates that cannot be
 * printed.
 */
const MAX_DURATION_MS = 86_400_000;

/** Largest HTTP status (RFC 9110, 15). */
const MAX_STATUS = 599;

/** Most credible tokens: far above the longest prompt. */
const MAX_TOKENS = 1e9;

/** Reads a figure from 0 to `most`; nothing if it is invalid. */
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
  const decoder = readText(line, 'decoder');
  const predictedTtftMs = readMs(line, 'predictedTtftMs');
  if (decoder === undefined || predictedTtftMs === undefined) return [];
  return [
    {
      t: line.t,
      decoder,
      helpers: readTexts(line, 'helpers'),
      predictedTtftMs,
      factsAgeMs: readMs(line, 'factsAgeMs') ?? 0,
      tokens: readTokens(line),
    },
  ];
}

function toEnd(line: TimelineEvent): AttemptEnd {
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
    ttftMs: readMs(line, 'ttftMs'),
    maxItlMs: readMs(line, 'maxItlMs'),
    ms: readMs(line, 'ms') ?? 0,
  };
}

function buildAttempt(
  life: GateLife,
  lines: readonly TimelineEvent[],
  endLine: TimelineEvent | undefined,
  span: LogSpan,
): ClientAttempt {
  const end = endLine === undefined ? undefined : toEnd(endLine);
  const pick = (event: string) => lines.filter(line => line.event === event);
  return {
    proc: life.proc,
    requestId: readText(lines[0], 'requestId'),
    arrivedAt: end === undefined ? lines[0].t : end.t - end.ms,
    placements: pick('stream_placed').flatMap(toPlacements),
    deferredAt: pick('stream_deferred').map(({t}) => t),
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
 * Assumed longest duration of a request, in ms, unless the log shows a longer
 * one.
 */
const USUAL_LIMIT_MS = 10_000;

/** Range of all logs. */
interface LogSpan {
  /** Last timestamp of any gate, in ms. */
  readonly endsAt: number;
  /** Longest duration of a request, in ms. */
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
 * True if a client attempt without an end was lost with its gate. If its last
 * line is older than any request lasts, its end was dropped from the log
 * instead.
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

function listAttemptsOfLife(
  life: GateLife,
  span: LogSpan,
): readonly ClientAttempt[] {
  const open = new Map<string, TimelineEvent[]>();
  const attempts: ClientAttempt[] = [];
  for (const line of life.lines) {
    if (!ATTEMPT_EVENTS.has(line.event)) continue;
    const id = readText(line, 'requestId');
    const lines = [...(open.get(id ?? '') ?? []), line];
    const isEnd =
      line.event === 'request_ended' || line.event === 'request_refused';
    if (isEnd) {
      open.delete(id ?? '');
      attempts.push(
        buildAttempt(life, id === undefined ? [line] : lines, line, span),
      );
    } else if (id !== undefined) open.set(id, lines);
  }
  for (const lines of open.values())
    attempts.push(buildAttempt(life, lines, undefined, span));
  return attempts;
}

/**
 * Lists the client attempts of all requests.
 *
 * @example
 * listClientAttempts(readGateLogs(['all.log']).lives).length;
 */
export function listClientAttempts(
  lives: readonly GateLife[],
): readonly ClientAttempt[] {
  const span = readSpan(lives);
  return lives.flatMap(life => listAttemptsOfLife(life, span));
}

/** A request with all its client attempts, by time of arrival. */
export interface RequestRecord {
  readonly requestId: string | undefined;
  readonly attempts: readonly ClientAttempt[];
  /** The client attempt by which the request is judged. */
  readonly attempt: ClientAttempt;
}

/** The answered attempt, or else the last one. */
function pickAttempt(attempts: readonly ClientAttempt[]): ClientAttempt {
  const answered = attempts.find(({end}) => end?.outcome === 'answered');
  return answered ?? attempts[attempts.length - 1];
}

/**
 * Groups client attempts by request.
 *
 * @example
 * mergeClientAttempts(listClientAttempts(lives)).filter(({attempts}) => attempts.length > 1);
 */
export function mergeClientAttempts(
  attempts: readonly ClientAttempt[],
): readonly RequestRecord[] {
  const byId = new Map<string, ClientAttempt[]>();
  const nameless: RequestRecord[] = [];
  for (const attempt of attempts) {
    const {requestId} = attempt;
    if (requestId === undefined)
      nameless.push({requestId, attempts: [attempt], attempt});
    else byId.set(requestId, [...(byId.get(requestId) ?? []), attempt]);
  }
  const named = [...byId].map(([requestId, own]) => {
    const sorted = own.sort((a, b) => a.arrivedAt - b.arrivedAt);
    return {requestId, attempts: sorted, attempt: pickAttempt(sorted)};
  });
  return [...named, ...nameless];
}
