/** Summarizes late answers and lost worth by engine. */
import {isLate} from './worth.js';
import type {JudgedRequest} from './judge-request.js';

/** Late answers, lost worth and failed attempts of one engine. */
export interface EngineLosses {
  readonly target: string;
  /** Number of streams that the engine answered completely. */
  readonly answers: number;
  readonly late: number;
  /**
   * Number of late answers whose first token was in time, but whose inter-token
   * latency was above the objective.
   */
  readonly lateItl: number;
  /** Worth lost by the engine's late answers. */
  readonly lost: number;
  /**
   * Number of late answers of other engines whose prompts this engine helped to
   * prefill.
   */
  readonly helpedLate: number;
  /** Number of attempts that failed at the engine. */
  readonly failedAttempts: number;
}

type Tally = {-readonly [K in keyof EngineLosses]: EngineLosses[K]};

class EngineTallies {
  private readonly tallies = new Map<string, Tally>();

  find(target: string): Tally {
    const known = this.tallies.get(target);
    if (known !== undefined) return known;
    const tally: Tally = {
      target,
      answers: 0,
      late: 0,
      lateItl: 0,
      lost: 0,
      helpedLate: 0,
      failedAttempts: 0,
    };
    this.tallies.set(target, tally);
    return tally;
  }

  list(): readonly EngineLosses[] {
    return [...this.tallies.values()];
  }
}

function countRequest(tallies: EngineTallies, request: JudgedRequest): void {
  const {attempt, cause, lost} = request;
  const {end, placements, failures} = attempt;
  for (const {target} of failures) tallies.find(target).failedAttempts++;
  if (end?.outcome !== 'answered' || end.target === undefined) return;
  const tally = tallies.find(end.target);
  tally.answers++;
  if (!isLate(cause)) return;
  tally.late++;
  tally.lost += lost;
  if (cause === 'late-itl') tally.lateItl++;
  for (const helper of placements.at(-1)?.helpers ?? [])
    tallies.find(helper).helpedLate++;
}

/**
 * Summarizes the losses of each engine, most late answers first.
 *
 * @example
 * summarizeEngines(requests)[0].target;
 */
export function summarizeEngines(
  requests: readonly JudgedRequest[],
): readonly EngineLosses[] {
  const tallies = new EngineTallies();
  // Only streams are served by engines; calls go to plain services.
  for (const request of requests)
    if (request.kind === 'stream') countRequest(tallies, request);
  return [...tallies.list()].sort(
    (a, b) =>
      b.late - a.late || b.lost - a.lost || a.target.localeCompare(b.target),
  );
}
