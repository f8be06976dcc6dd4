/**
 * Reconstructs client attempts from the log lines of gates. A client attempt is
 * one arrival of a request at one gate.
 */
import type {GateIncarnation} from './gate-incarnations.js';
import type {TimelineEvent} from '../timeline/merge.js';

/** Engines that a gate chose for a stream, with its prediction. */
export interface PlacementRecord {
  /** Wall-clock time of the gate that placed the stream, in ms. */
  readonly t: number;
  readonly decoder: string;
  readonly helpers: readonly string[];
  /** Predicted time from the placement to the first token, in ms. */
  readonly predictedTtftMs: number;
  /** Age of the gate's copy of the fleet state at the placement, in ms. */
  readonly factsAgeMs: number;
  readonly tokens: number | undefined;
}

/** How a client attempt ended. */
export interface AttemptEnd {
  readonly t: number;
  /**
   * Outcome as logged, such as `answered` or `too_late`; for a request refused
   * before routing, the reason.
   */
  readonly outcome: string;
  /** Whether the gate refused the request before the gate chose a route. */
  readonly isRefusedBeforeRouting: boolean;
  readonly status: number | undefined;
  readonly route: string | undefined;
  readonly kind: string | undefined;
  readonly target: string | undefined;
  readonly tokens: number | undefined;
  /** Time to first token, in ms. */
  readonly ttftMs: number | undefined;
  /** Largest inter-token latency, in ms. */
  readonly maxItlMs: number | undefined;
  /** Time from the arrival to the end of the client attempt, in ms. */
  readonly ms: number;
}

/** One arrival of a request at one gate. */
export interface ClientAttempt {
  readonly proc: string;
  readonly requestId: string | undefined;
  /** Wall-clock time of the gate at the arrival, in ms. */
  readonly arrivedAt: number;
  readonly placements: readonly PlacementRecord[];
  /** Timestamps at which the gate deferred the placement, in ms. */
  readonly deferredAt: readonly number[];
  /** Failed attempts at targets, each with its timestamp in ms. */
  readonly failures: ReadonlyArray<{
    readonly t: number;
    readonly target: string;
  }>;
  readonly end: AttemptEnd | undefined;
  /**
   * Timestamp of the gate incarnation's last line, in ms; used for a client
   * attempt without an end.
   */
  readonly lastSeenAt: number;
  /**
   * Whether the gate process ended, or stopped logging for good, before the
   * client attempt ended.
   */
  readonly isLostWithGate: boolean;
}

/** Log events that belong to a client attempt. */
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
 * Longest accepted duration, in ms: larger values lead to dates that cannot be
 * formatted.
 */
const MAX_DURATION_MS = 86_400_000;

/** Largest HTTP status code (RFC 9110, 15). */
const MAX_STATUS = 599;

/** Largest accepted number of tokens, far above the longest prompt. */
const MAX_TOKENS = 1e9;

/**
 * Reads a number from 0 to `most` from a field; returns undefined if the value
 * is invalid.
 */
function readNumber(
  line: TimelineEvent,
  field: string,
  most: number,
): number | undefined {
  const value = line[field];
  const isValid = typeof value === 'number' && value >= 0 && value <= most;
  return isValid ? value : undefined;
}

function readMs(line: TimelineEvent, field: string): number | undefined {
  return readNumber(line, field, MAX_DURATION_MS);
}

function readTokens(line: TimelineEvent): number | undefined {
  return readNumber(line, 'tokens', MAX_TOKENS);
}

function readString(line: TimelineEvent, field: string): string | undefined {
  const value = line[field];
  return typeof value === 'string' ? value : undefined;
}

function readStrings(line: TimelineEvent, field: string): readonly string[] {
  const value = line[field];
  return Array.isArray(value)
    ? value.filter((item): item is string => typeof item === 'string')
    : [];
}

function toPlacements(line: TimelineEvent): readonly PlacementRecord[] {
  const decoder = readString(line, 'decoder');
  const predictedTtftMs = readMs(line, 'predictedTtftMs');
  if (decoder === undefined || predictedTtftMs === undefined) return [];
  return [
    {
      t: line.t,
      decoder,
      helpers: readStrings(line, 'helpers'),
      predictedTtftMs,
      factsAgeMs: readMs(line, 'factsAgeMs') ?? 0,
      tokens: readTokens(line),
    },
  ];
}

function toEnd(line: TimelineEvent): AttemptEnd {
  const isRefusedBeforeRouting = line.event === 'request_refused';
  return {
    t: line.t,
    isRefusedBeforeRouting,
    outcome:
      readString(line, isRefusedBeforeRouting ? 'reason' : 'outcome') ??
      'unknown',
    status: readNumber(line, 'status', MAX_STATUS),
    route: readString(line, 'route'),
    kind: readString(line, 'kind'),
    target: readString(line, 'target'),
    tokens: readTokens(line),
    ttftMs: readMs(line, 'ttftMs'),
    maxItlMs: readMs(line, 'maxItlMs'),
    ms: readMs(line, 'ms') ?? 0,
  };
}

function buildAttempt(
  gateIncarnation: GateIncarnation,
  lines: readonly TimelineEvent[],
  endLine: TimelineEvent | undefined,
  span: LogSpan,
): ClientAttempt {
  const end = endLine === undefined ? undefined : toEnd(endLine);
  const pick = (event: string) => lines.filter(line => line.event === event);
  return {
    proc: gateIncarnation.proc,
    requestId: readString(lines[0], 'requestId'),
    arrivedAt: end === undefined ? lines[0].t : end.t - end.ms,
    placements: pick('stream_placed').flatMap(toPlacements),
    deferredAt: pick('stream_deferred').map(({t}) => t),
    failures: pick('attempt_failed').map(line => ({
      t: line.t,
      target: readString(line, 'target') ?? '',
    })),
    end,
    lastSeenAt: readLastTimestamp(gateIncarnation.lines),
    isLostWithGate:
      end === undefined && isLostWithGate(gateIncarnation, lines, span),
  };
}

function readLastTimestamp(lines: readonly TimelineEvent[]): number {
  return lines[lines.length - 1].t;
}

/**
 * Assumed longest duration of a request, in ms, unless the logs contain a
 * longer one.
 */
const DEFAULT_LONGEST_REQUEST_MS = 10_000;

/** Time span of the logs, and longest request in them. */
interface LogSpan {
  /** Last timestamp of any gate, in ms. */
  readonly lastTimestamp: number;
  /** Longest duration of a request, in ms. */
  readonly longestRequestMs: number;
}

function readLogSpan(incarnations: readonly GateIncarnation[]): LogSpan {
  let lastTimestamp = 0;
  let longestRequestMs = DEFAULT_LONGEST_REQUEST_MS;
  for (const line of incarnations.flatMap(
    gateIncarnation => gateIncarnation.lines,
  )) {
    lastTimestamp = Math.max(lastTimestamp, line.t);
    if (line.event === 'request_ended')
      longestRequestMs = Math.max(longestRequestMs, readMs(line, 'ms') ?? 0);
  }
  return {lastTimestamp, longestRequestMs};
}

/**
 * Returns whether a client attempt without an end was lost because its gate
 * process ended. If the gate logged for longer than the longest request after
 * the attempt's last line, the line of its end was dropped from the log
 * instead.
 */
function isLostWithGate(
  gateIncarnation: GateIncarnation,
  lines: readonly TimelineEvent[],
  {lastTimestamp, longestRequestMs}: LogSpan,
): boolean {
  const lastAt = readLastTimestamp(gateIncarnation.lines);
  if (lastAt - readLastTimestamp(lines) > longestRequestMs) return false;
  return (
    gateIncarnation.hasSuccessor || lastTimestamp - lastAt > longestRequestMs
  );
}

function listAttemptsOfIncarnation(
  gateIncarnation: GateIncarnation,
  span: LogSpan,
): readonly ClientAttempt[] {
  const open = new Map<string, TimelineEvent[]>();
  const attempts: ClientAttempt[] = [];
  for (const line of gateIncarnation.lines) {
    if (!ATTEMPT_EVENTS.has(line.event)) continue;
    const id = readString(line, 'requestId');
    const lines = [...(open.get(id ?? '') ?? []), line];
    const isEnd =
      line.event === 'request_ended' || line.event === 'request_refused';
    if (isEnd) {
      open.delete(id ?? '');
      attempts.push(
        buildAttempt(
          gateIncarnation,
          id === undefined ? [line] : lines,
          line,
          span,
        ),
      );
    } else if (id !== undefined) open.set(id, lines);
  }
  for (const lines of open.values())
    attempts.push(buildAttempt(gateIncarnation, lines, undefined, span));
  return attempts;
}

/**
 * Lists the client attempts of all requests.
 *
 * @example
 * listClientAttempts(readGateLogs(['all.log']).incarnations).length;
 */
export function listClientAttempts(
  incarnations: readonly GateIncarnation[],
): readonly ClientAttempt[] {
  const span = readLogSpan(incarnations);
  return incarnations.flatMap(gateIncarnation =>
    listAttemptsOfIncarnation(gateIncarnation, span),
  );
}

/** A request with all its client attempts, in order of arrival. */
export interface RequestRecord {
  readonly requestId: string | undefined;
  readonly attempts: readonly ClientAttempt[];
  /** The client attempt by which the request is judged. */
  readonly attempt: ClientAttempt;
}

/** Picks the answered client attempt, or else the last one. */
function pickAttempt(attempts: readonly ClientAttempt[]): ClientAttempt {
  const answered = attempts.find(({end}) => end?.outcome === 'answered');
  return answered ?? attempts[attempts.length - 1];
}

/**
 * Groups client attempts by request.
 *
 * @example
 * mergeClientAttempts(listClientAttempts(incarnations)).filter(({attempts}) => attempts.length > 1);
 */
export function mergeClientAttempts(
  attempts: readonly ClientAttempt[],
): readonly RequestRecord[] {
  const byId = new Map<string, ClientAttempt[]>();
  const withoutId: RequestRecord[] = [];
  for (const attempt of attempts) {
    const {requestId} = attempt;
    if (requestId === undefined)
      withoutId.push({requestId, attempts: [attempt], attempt});
    else byId.set(requestId, [...(byId.get(requestId) ?? []), attempt]);
  }
  const withId = [...byId].map(([requestId, ownAttempts]) => {
    const sorted = ownAttempts.sort((a, b) => a.arrivedAt - b.arrivedAt);
    return {requestId, attempts: sorted, attempt: pickAttempt(sorted)};
  });
  return [...withId, ...withoutId];
}
