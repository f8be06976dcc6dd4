/**
 * Decides for long prompts in large fleets when they are sent: once enough
 * engines are free of prefill and no prompt at any gate goes first. Engines
 * prefill the newest prompt first, so a prompt sent to busy engines would delay
 * every prompt before it.
 */
import {estimatePrefillMs} from './engine-model.js';
import {isWithinIdleKvCapacity} from './kv-cache.js';
import {estimatePatienceMs} from './loss.js';
import {MAX_PREFILL_ENGINES, choosePromptEngines} from './place-prompt.js';
import {estimateStreamLoss} from './price-decoder.js';
import {planPrefill} from './prefill-calendar.js';
import {ANNOUNCEMENT_VALID_MS} from './waiting-prompts.js';
import {
  LONG_PREFILL_MIN_MS,
  MAX_ENGINES_FOR_DELAYS,
} from './choose-send-time.js';
import type {EngineCostModel} from '../types.js';
import type {QueuedPrefill} from './prefill-calendar.js';
import type {Candidate} from './price-prefill.js';
import type {PromptWait} from './prompt-wait.js';
import type {PromptChoice, PromptDemand} from './prompt-types.js';
import type {WaitingPrompts, WaitReport} from './waiting-prompts.js';

/** Shortest time until a waiting prompt is planned again, in ms. */
const MIN_WAIT_MS = 10;

/**
 * Longest time until a waiting prompt is planned again, in ms. Each ms is lost
 * on the engines that have become free earlier than predicted.
 */
const MAX_WAIT_MS = 20;

/** Share of its value that a late answer is worth. */
const LATE_WORTH = 0.25;

/**
 * Largest harm to decoded streams that is accepted, as a multiple of what the
 * prompt is worth. With a factor of 1, engines stay unused in a burst. The factor
 * of 4 has not been compared with others at the same number of gates.
 */
const MAX_HARM_FACTOR = 4;

/**
 * Share of the caller's patience after which a prompt waits no longer and is
 * placed as in a small fleet.
 */
const MAX_WAIT_SHARE = 0.5;

/** Long prompt that is to be planned. */
export interface PlannedRequest {
  readonly service: string;
  readonly demand: PromptDemand;
  readonly engine: EngineCostModel;
  /** Number of engines that may be chosen. */
  readonly engines: number;
  /** Describes these engines; called for long prompts of large fleets only. */
  readonly listCandidates: () => readonly Candidate[];
  /** Time until the request's deadline, in ms. */
  readonly leftMs: number;
}

/** Decision on a long prompt; `unplanned` if the calendar does not apply. */
export type SendDecision =
  | {readonly kind: 'unplanned'}
  | {readonly kind: 'send'; readonly choice: PromptChoice}
  | {
      readonly kind: 'wait';
      readonly waitMs: number;
      readonly planned: QueuedPrefill;
    }
  /** The caller leaves before the prompt can be prefilled. */
  | {readonly kind: 'refuse'; readonly roomMs: number};

const UNPLANNED: SendDecision = {kind: 'unplanned'};

/** Dependencies of {@link PlannedSends}. */
export interface PlannedSendsOptions {
  readonly waiting: WaitingPrompts;
  /** Announces a waiting prompt, or the end of its wait, to the peers. */
  readonly announce: (report: WaitReport) => void;
  readonly readNow: () => number;
}

/**
 * Plans the long prompts of one gate.
 *
 * @example
 * const decision = sends.judge(request, wait);
 * if (decision.kind === 'wait') await sleep(decision.waitMs);
 */
export class PlannedSends {
  constructor(private readonly options: PlannedSendsOptions) {}

  /** Decides whether a prompt is sent now, and announces it while it waits. */
  judge(request: PlannedRequest, wait: PromptWait): SendDecision {
    const decision = isPlanned(request)
      ? this.planSend(request, wait)
      : UNPLANNED;
    if (decision.kind === 'wait') this.announceWait(request, wait);
    else this.end(request.service, wait);
    return decision;
  }

  /** Announces that a prompt no longer waits. */
  end(service: string, wait: PromptWait): void {
    if (!wait.isAnnounced) return;
    wait.end();
    const {key} = wait;
    this.announce({key, service, prefillMs: 0, dueMs: 0, validMs: 0});
  }

  private planSend(request: PlannedRequest, wait: PromptWait): SendDecision {
    const {service, demand, engine, leftMs} = request;
    const candidates = request.listCandidates();
    const now = this.options.readNow();
    const freeMs = candidates.map(measureFreeMs);
    const planned = planPrefill(
      freeMs,
      this.options.waiting.listOthers(service, wait.key),
      {
        key: wait.key,
        prefillMs: estimatePrefillMs(demand.promptTokens, engine),
        dueMs: demand.objectiveLeftMs,
      },
    );
    if (planned === undefined) return UNPLANNED;
    const patienceMs = estimatePatienceMs(demand);
    const waitedMs = demand.objectiveMs - demand.objectiveLeftMs;
    const leavesMs = Math.min(patienceMs - waitedMs, leftMs);
    if (planned.startMs > 0 && planned.endMs > leavesMs)
      return {kind: 'refuse', roomMs: planned.startMs};
    if (waitedMs > patienceMs * MAX_WAIT_SHARE) return UNPLANNED;
    const later: SendDecision = {
      kind: 'wait',
      waitMs: Math.max(MIN_WAIT_MS, Math.min(planned.startMs, MAX_WAIT_MS)),
      planned,
    };
    if (planned.startMs > 0) return later;
    if (wait.isYielding(planned.isBehind, now)) return later;
    const free = candidates.filter((_, i) => freeMs[i] <= 0);
    const choice = choosePromptEngines(free, demand, engine, now);
    if (choice !== undefined && isAcceptable(choice, demand))
      return {kind: 'send', choice};
    return free.length === candidates.length
      ? UNPLANNED
      : {...later, waitMs: MAX_WAIT_MS};
  }

  private announceWait(
    {service, demand, engine}: PlannedRequest,
    wait: PromptWait,
  ): void {
    if (!wait.claimAnnouncement(this.options.readNow())) return;
    this.announce({
      key: wait.key,
      service,
      prefillMs: Math.round(estimatePrefillMs(demand.promptTokens, engine)),
      dueMs: Math.round(demand.objectiveLeftMs),
      validMs: ANNOUNCEMENT_VALID_MS,
    });
  }

  private announce(report: WaitReport): void {
    this.options.waiting.receive(report);
    this.options.announce(report);
  }
}

/** Checks whether the calendar applies to a prompt. */
function isPlanned({demand, engine, engines}: PlannedRequest): boolean {
  if (engines <= MAX_ENGINES_FOR_DELAYS) return false;
  const prefillMs = estimatePrefillMs(demand.promptTokens, engine);
  return (
    prefillMs > LONG_PREFILL_MIN_MS &&
    isWithinIdleKvCapacity(demand, engine, engines, MAX_PREFILL_ENGINES)
  );
}

/** Returns the time until an engine has no queued prefill, in ms. */
function measureFreeMs({load}: Candidate): number {
  return load.queued.length === 0 ? 0 : load.backlogMs;
}

/**
 * Checks whether a prompt harms the streams that free engines decode by less
 * than what its answer is worth to it allows.
 */
function isAcceptable(choice: PromptChoice, demand: PromptDemand): boolean {
  const {predictedTtftMs, iterationMs, cost, brokenStreams} = choice;
  if (brokenStreams > 0) return false;
  const ownLoss = estimateStreamLoss(predictedTtftMs, iterationMs, demand);
  const worth = Math.max(demand.value - ownLoss, demand.value * LATE_WORTH);
  return cost - ownLoss <= MAX_HARM_FACTOR * worth;
}
