/** Finds out which engine an attempt at a stream has failed by, and records it. */
import type {ExchangeError} from '../errors.js';
import type {PlacedPrompt} from '../placement/placed-prompt.js';
import type {Target} from '../types.js';
import type {AttemptChain} from './attempt-chain.js';
import type {ForwardContext} from './context.js';
import type {GateRequest} from './request.js';
import type {FailedEnd} from './stream-attempt.js';
import type {AttemptFault} from './stream-record.js';

/**
 * Records the faults of the engines of one stream.
 *
 * @example
 * new StreamFaults(context, request, tried).recordFault(placed, end);
 */
export class StreamFaults {
  /** @param tried - Ids of the engines that later attempts avoid. */
  constructor(
    private readonly context: ForwardContext,
    private readonly request: GateRequest,
    private readonly tried: Set<string>,
  ) {}

  /** Marks the target that failed, so that later attempts avoid it. */
  recordFault(placed: PlacedPrompt, end: FailedEnd): void {
    const {health, readNow, state} = this.context;
    // A withheld prompt whose helpers left says nothing of its decoding engine.
    if (isWithheld(end) && !placed.helpers.every(one => state.isUsable(one)))
      return;
    if (end.kind === 'no-memory') {
      // A helper without free KV cache is healthy; only this stream avoids it.
      for (const {target} of placed.choice.reservations) this.tried.add(target);
      return;
    }
    const faulty = end.kind === 'not-run' ? end.faultyAddress : undefined;
    const helper = placed.helpers.find(
      ({host, port}) => `${host}:${port}` === faulty,
    );
    const faultyTarget = helper ?? placed.target;
    const isUnsent = end.kind === 'failed' && !end.error.wasSent;
    this.tried.add(faultyTarget.id);
    if (end.kind === 'failed' && !end.error.isTargetFault) return;
    health.recordFailure(
      faultyTarget.id,
      readNow(),
      isUnsent || helper !== undefined,
    );
  }

  /** Finds out whether the engine has crashed that broke off an attempt. */
  async checkCrash(
    {attempt}: AttemptChain,
    target: Target,
    error: ExchangeError,
  ): Promise<void> {
    const {crashes} = this.context;
    if (error.isRefusedConnection) return crashes.recordRefusal(target);
    if (!error.isConnectionEnd || attempt?.isEngineReplaced !== false) return;
    await crashes.waitForVerdict({
      request: this.request,
      target,
      firstEventAt: attempt.firstEventAt,
      sentAt: attempt.sentAt,
    });
  }
}

function isWithheld(end: FailedEnd): boolean {
  return end.kind === 'failed' && end.error.fault === 'withheld';
}

/**
 * Names the fault of an attempt, as logged.
 *
 * @example
 * findFault(chain, end); // 'reset'
 */
export function findFault(chain: AttemptChain, end: FailedEnd): AttemptFault {
  if (chain.isClosed) return chain.isStalled ? 'stalled' : 'overtaken';
  return end.kind === 'failed' ? end.error.fault : end.kind;
}
