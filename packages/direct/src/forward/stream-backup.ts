/** Runs a backup attempt beside a stalled one. */
import {estimatePatienceMs} from '../placement/loss.js';
import {chooseHoldMs} from './choose-hold.js';
import type {PlacedPrompt} from '../placement/placed-prompt.js';
import type {AttemptChain} from './attempt-chain.js';
import type {ForwardContext} from './context.js';
import type {GateRequest} from './request.js';
import type {StreamChains} from './stream-chains.js';
import type {StreamEnding} from './stream-ending.js';
import type {StreamProgress} from './stream-progress.js';
import type {StreamRecord} from './stream-record.js';
import type {StreamRetries} from './stream-retries.js';

/** Minimum time until the deadline to try another engine, in ms. */
export const MIN_RETRY_LEFT_MS = 250;

/** Dependencies of {@link StreamBackup}. */
export interface StreamBackupOptions {
  readonly context: ForwardContext;
  readonly request: GateRequest;
  readonly progress: StreamProgress;
  readonly record: StreamRecord;
  readonly chains: StreamChains;
  readonly retries: StreamRetries;
  readonly ending: StreamEnding;
  /** Ids of the engines that later attempts avoid. */
  readonly tried: Set<string>;
  /** Starts a chain whose first attempt is a retry claimed at a time, in ms. */
  readonly startChain: (retryClaimedAt: number) => void;
  /** Gives up the only chain that is left. */
  readonly giveUp: (chain: AttemptChain, why: string) => void;
}

/**
 * Decides when a backup chain starts, which chain goes on and for how long events
 * wait for the other one.
 *
 * @example
 * if (backup.isPossible(chain)) backup.start(chain, placed);
 */
export class StreamBackup {
  constructor(private readonly options: StreamBackupOptions) {}

  /** Returns true if a backup is running or may be started for the chain. */
  isPossible(chain: AttemptChain): boolean {
    const {chains, retries} = this.options;
    return (
      chains.findOther(chain) !== undefined ||
      (!chain.isStalled && retries.isBackupAllowed())
    );
  }

  /**
   * Starts a backup chain for a stalled one if the retry budget and the deadline
   * allow it. Whichever chain receives the next event first claims the response,
   * unless only the other one can go on.
   */
  start(silent: AttemptChain, placed: PlacedPrompt): void {
    const {context, request, chains, retries, record, tried, startChain} =
      this.options;
    // The stream may end in the same event-loop turn as the stall timer.
    if (silent.isClosed || chains.findOther(silent) !== undefined) return;
    const {predictedTtftMs} = placed.choice;
    const neededMs = Math.max(MIN_RETRY_LEFT_MS, predictedTtftMs);
    if (request.expiresAt - context.readNow() < neededMs) return;
    context.health.recordStall(placed.target.id, context.readNow());
    const retryClaimedAt = retries.claim();
    if (retryClaimedAt === undefined) return;
    tried.add(placed.target.id);
    silent.isStalled = true;
    record.addStall(placed);
    startChain(retryClaimedAt);
  }

  /**
   * Returns the time for which an event of a chain waits for the engine of the
   * other chain, in ms. The first event goes to the caller at once.
   */
  chooseHoldMs(chain: AttemptChain, placed: PlacedPrompt): number {
    const {context, request, progress, record, chains} = this.options;
    const {lastEventAt} = progress;
    const other = chains.findOther(chain);
    if (other === undefined || lastEventAt === undefined) return 0;
    const {objectiveMs, itlObjectiveMs = objectiveMs} = request.route;
    const pauseMs = placed.estimatePauseMs();
    const holdMs = chooseHoldMs({
      silentMs: context.readNow() - lastEventAt,
      patienceMs: estimatePatienceMs({objectiveMs, itlObjectiveMs}),
      pauseMs,
      other: other.describeEngine(),
    });
    if (holdMs > 0) record.addHold(placed, pauseMs, holdMs);
    return holdMs;
  }

  /** Closes a chain beside which another one is running. */
  closeForOther(chain: AttemptChain): void {
    const {chains, progress} = this.options;
    const other = chains.findOther(chain);
    chains.close(chain);
    other?.attempt?.releaseHeldEvents();
    if (other?.isStalled && !progress.hasHead) void this.checkAlive(other);
  }

  /**
   * Gives up without waiting for the deadline if the stalled engine of the
   * remaining chain is dead.
   */
  private async checkAlive(chain: AttemptChain): Promise<void> {
    const {context, progress, ending, giveUp} = this.options;
    if (chain.placed === undefined) return;
    const report = await context.reports.read(chain.placed.target);
    if (report !== undefined || !chain.isStalled || chain.isClosed) return;
    // The engine may have sent the response head in the meantime.
    if (progress.hasHead) return;
    ending.mayHaveRun = true;
    giveUp(chain, 'engine_dead');
  }
}
