/**
 * Places streams on engines: collects the candidate engines, chooses among
 * them, and informs the load tracker and the peers.
 */
import {CandidateEngines} from './candidate-engines.js';
import {isWithinIdleKvCapacity} from './kv-cache.js';
import {chooseSendTime} from './choose-send-time.js';
import {PlacedPrompt} from './placed-prompt.js';
import {PlannedSends} from './planned-sends.js';
import {NoRoom} from './prompt-request.js';
import {PromptWait} from './prompt-wait.js';
import {TargetRanking} from './target-ranking.js';
import {WaitingPrompts} from './waiting-prompts.js';
import {
  MAX_PREFILL_ENGINES,
  buildPlacement,
  estimateValue,
} from './place-prompt.js';
import type {EngineCostModel, Target} from '../types.js';
import type {TimedChoice} from './choose-send-time.js';
import type {PlacementOutcome, PromptRequest} from './prompt-request.js';
import type {PromptPlacerOptions} from './prompt-placer-options.js';
import type {WaitReport} from './waiting-prompts.js';
import type {PromptDemand} from './prompt-types.js';
import type {SendDecision} from './planned-sends.js';

export type {PromptPlacerOptions} from './prompt-placer-options.js';
export {NoRoom} from './prompt-request.js';
export type {
  Deferral,
  PlacementOutcome,
  PromptRequest,
} from './prompt-request.js';

/** Delay until the placement of a suspect that runs elsewhere is tried, in ms. */
const TRIAL_POLL_MS = 40;

/**
 * Places the prompts of one gate on engines.
 *
 * @example
 * const placed = placer.place(request, engine, new Set());
 */
export class PromptPlacer {
  private lastPlacementNumber = 0;
  private lastWaitNumber = 0;
  private readonly engines: CandidateEngines;
  private readonly ranking: TargetRanking;
  private readonly waiting: WaitingPrompts;
  private readonly sends: PlannedSends;

  constructor(private readonly options: PromptPlacerOptions) {
    this.engines = new CandidateEngines(options);
    this.ranking = new TargetRanking(options.owner);
    const {readNow, announceWait = () => undefined} = options;
    this.waiting = new WaitingPrompts(readNow);
    this.sends = new PlannedSends({
      waiting: this.waiting,
      announce: announceWait,
      readNow,
    });
  }

  /** Creates the wait of a stream that may be planned. */
  createWait(): PromptWait {
    return new PromptWait(`${this.options.owner}#${++this.lastWaitNumber}`);
  }

  /** Ends the wait of a stream that was placed, refused or left. */
  endWait(service: string, wait: PromptWait): void {
    this.sends.end(service, wait);
  }

  /** Applies what a peer has announced about a waiting prompt. */
  receiveWait(report: WaitReport): void {
    this.waiting.receive(report);
  }

  /** Number of long prompts that are known to wait at all gates. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /**
   * Places a stream on engines that are not in `tried`.
   *
   * @param mayExceedSlots - Places the stream even if all slots are taken; the
   *   stream then waits in the queue of the engine.
   * @returns `full` if no slot or not enough KV cache is free or the prompt
   *   would break other streams, `none` if even idle engines could not hold the
   *   prompt.
   */
  place(
    request: PromptRequest,
    engine: EngineCostModel,
    tried: ReadonlySet<string>,
    mayExceedSlots: boolean,
  ): PlacementOutcome {
    const {tracker, announcer, owner, readNow} = this.options;
    const now = readNow();
    const {service, suspects = [], allowedZones} = request;
    if (tracker.trials.isRunning(suspects, now))
      return {waitMs: TRIAL_POLL_MS, predictedTtftMs: 0};
    const listed = this.engines.listTargets(service, tried, allowedZones);
    const targets = this.ranking.rank(this.engines.listTakers(listed, engine));
    const keptCount = listed.length - targets.length;
    if (keptCount > 0) this.options.counters?.add('cold.streams_kept');
    if (
      targets.length === 0 &&
      this.readWaitMs(service, tried, allowedZones) > 0
    )
      return 'full';
    const demand: PromptDemand = {
      ...request,
      value: estimateValue(request.promptTokens),
      heardShare: this.options.measureHeardShare(),
    };
    const decision = this.planSend(
      request,
      demand,
      engine,
      targets,
      mayExceedSlots,
    );
    if (decision.kind === 'refuse') return new NoRoom(decision.roomMs);
    if (decision.kind === 'wait') {
      const {waitMs, planned} = decision;
      return {waitMs, predictedTtftMs: planned.endMs, planned};
    }
    const choose = (candidates: readonly Target[]) =>
      chooseSendTime(
        candidates.map(target => this.engines.describe(target, now)),
        demand,
        engine,
        now,
        // The caller of a stream that has been attempted has waited already.
        mayExceedSlots,
      );
    const anywhere =
      decision.kind === 'send'
        ? {choice: decision.choice, waitMs: 0}
        : choose(targets);
    const apart =
      suspects.length === 0
        ? undefined
        : choose(this.engines.listEmptiest(targets, now));
    const timed = pickInTime(apart, anywhere, request.objectiveLeftMs);
    if (timed === undefined)
      return isWithinIdleKvCapacity(
        demand,
        engine,
        targets.length,
        MAX_PREFILL_ENGINES,
      )
        ? 'full'
        : 'none';
    const {choice, waitMs} = timed;
    if (waitMs > 0) return {waitMs, predictedTtftMs: choice.predictedTtftMs};
    const active = tracker.countActive(choice.decoder);
    if (!mayExceedSlots && active >= engine.slots) return 'full';
    const key = `${owner}#${++this.lastPlacementNumber}`;
    const placement = buildPlacement(key, choice, demand, now);
    tracker.add(placement);
    announcer.announcePlaced(placement);
    const byId = new Map(targets.map(target => [target.id, target]));
    const [decoder, ...helpers] = choice.shards.flatMap(
      shard => byId.get(shard.target) ?? [],
    );
    return new PlacedPrompt(
      decoder,
      helpers,
      choice,
      key,
      suspects.length > 0,
      tracker,
      announcer,
      readNow,
    );
  }

  /** Changes with each change of the load of an engine. */
  get loadVersion(): number {
    return this.options.tracker.version;
  }

  /**
   * Returns the time until an engine may take a request, in ms, if the limits of
   * all engines that are not in `tried` are reached or they rest; else 0.
   */
  readWaitMs(
    service: string,
    tried: ReadonlySet<string>,
    allowedZones?: ReadonlySet<string>,
  ): number {
    return this.options.eligible.readWaitMs(service, tried, allowedZones);
  }

  /** Forgets an engine that was removed. */
  drop(target: string): void {
    this.engines.drop(target);
    this.ranking.drop(target);
  }

  /** Checks whether an engine that is not in `tried` has a free slot. */
  isSlotFree(
    service: string,
    engine: EngineCostModel,
    tried: ReadonlySet<string>,
    allowedZones?: ReadonlySet<string>,
  ): boolean {
    const {tracker} = this.options;
    const listed = this.engines.listTargets(service, tried, allowedZones);
    return this.engines
      .listTakers(listed, engine)
      .some(({id}) => tracker.countActive(id) < engine.slots);
  }

  /** Plans a long prompt of a large fleet that has not been attempted before. */
  private planSend(
    {service, suspects = [], wait, leftMs = Infinity}: PromptRequest,
    demand: PromptDemand,
    engine: EngineCostModel,
    targets: readonly Target[],
    mayExceedSlots: boolean,
  ): SendDecision {
    if (wait === undefined || mayExceedSlots || suspects.length > 0)
      return {kind: 'unplanned'};
    const now = this.options.readNow();
    const listCandidates = () =>
      targets.map(target => this.engines.describe(target, now));
    return this.sends.judge(
      {
        service,
        demand,
        engine,
        engines: targets.length,
        listCandidates,
        leftMs,
      },
      wait,
    );
  }
}

/**
 * Picks the choice apart from other streams, unless its first token would come
 * too late because of it.
 */
function pickInTime(
  apart: TimedChoice | undefined,
  anywhere: TimedChoice | undefined,
  objectiveLeftMs: number,
): TimedChoice | undefined {
  if (apart === undefined || anywhere === undefined) return apart ?? anywhere;
  const latestMs = Math.max(objectiveLeftMs, anywhere.choice.predictedTtftMs);
  return apart.choice.predictedTtftMs <= latestMs ? apart : anywhere;
}
