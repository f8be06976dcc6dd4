/** Judges a stream without events: whether another engine should run it too. */
import {ITERATION_SLACK_MS} from '../placement/engine-iterations.js';
import {estimatePatienceMs} from '../placement/loss.js';
import {LIVENESS_WINDOW_MS} from './stall-timer.js';
import type {PlacedPrompt} from '../placement/placed-prompt.js';
import type {EngineCostModel} from '../types.js';
import type {ForwardContext} from './context.js';
import type {GateRequest} from './request.js';

/** Time until the first event of a backup attempt, in ms. */
const BACKUP_START_MS = 350;

/** Attempt that has had no event for a while. */
export interface SilentAttempt {
  readonly context: ForwardContext;
  readonly request: GateRequest;
  readonly engine: EngineCostModel;
  readonly placed: PlacedPrompt;
  /** Time of its newest event, in ms; absent before the first one. */
  readonly lastEventAt: number | undefined;
}

/** What is done about a silent attempt: a backup, or another wait in ms. */
export type SilenceVerdict = 'backup' | 'wait' | number;

/**
 * Chooses a backup only if another engine has a free slot, and this engine is
 * neither expected to be prefilling nor sending bytes for other requests, since a
 * second prefill adds load.
 *
 * @example
 * judgeSilence({context, request, engine, placed, lastEventAt}); // 'backup'
 */
export function judgeSilence(attempt: SilentAttempt): SilenceVerdict {
  const {context, request, engine, placed} = attempt;
  const {health, readNow, prompts} = context;
  if (placed.isPrefilling()) return 'wait';
  const others = new Set([placed.target.id]);
  if (
    !prompts.isSlotFree(request.service, engine, others, request.allowedZones)
  )
    return 'wait';
  if (health.isActiveSince(placed.target.id, readNow() - LIVENESS_WINDOW_MS))
    return 'wait';
  const waitMs = chooseIterationWaitMs(attempt);
  return waitMs > 0 ? waitMs : 'backup';
}

/**
 * Returns the time until the engine of a begun stream ends its predicted
 * iteration, in ms; 0 if a backup that starts then would come too late.
 */
function chooseIterationWaitMs(attempt: SilentAttempt): number {
  const {context, request, placed, lastEventAt} = attempt;
  if (lastEventAt === undefined) return 0;
  const leftMs = placed.estimateIterationLeftMs();
  if (leftMs === 0) return 0;
  const {objectiveMs, itlObjectiveMs = objectiveMs} = request.route;
  const patienceMs = estimatePatienceMs({objectiveMs, itlObjectiveMs});
  const silentMs = context.readNow() - lastEventAt;
  const waitMs = leftMs + ITERATION_SLACK_MS;
  return silentMs + waitMs + BACKUP_START_MS <= patienceMs ? waitMs : 0;
}
