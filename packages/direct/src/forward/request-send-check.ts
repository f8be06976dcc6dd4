/**
 * Looks at a request once more when the connection to its target is open, right
 * before its bytes are sent. The event loop may have been held since the target
 * was chosen.
 */
import {SendCheck} from './send-check.js';
import type {Target} from '../types.js';
import type {ForwardContext} from './context.js';
import type {GateRequest} from './request.js';

/**
 * Time since the target was chosen after which what has arrived meanwhile is
 * read before the request is sent, in ms; above the time to connect within a
 * region.
 */
const LATE_SEND_MS = 100;

/** Reason for which a request is not sent although it has a connection. */
export type WithholdReason =
  | 'caller_left'
  | 'deadline_passed'
  | 'target_left'
  | 'target_rests'
  | 'no_permit';

/**
 * Checks one attempt at a request of a caller.
 *
 * @example
 * context.exchanges.open({target, sendCheck: new RequestSendCheck(context, request, target), …});
 */
export class RequestSendCheck extends SendCheck {
  private readonly createdAt: number;

  constructor(
    private readonly context: ForwardContext,
    private readonly request: GateRequest,
    private readonly target: Target,
  ) {
    super();
    this.createdAt = context.readNow();
  }

  override get isLate(): boolean {
    return this.readAgeMs() >= LATE_SEND_MS;
  }

  override waitForReads(): Promise<void> {
    this.context.counters.add('send.late');
    return this.context.reads.wait();
  }

  override isWanted(): boolean {
    const reason = this.findReason();
    if (reason === undefined) return true;
    const {counters, log} = this.context;
    counters.add(`send.withheld_${reason}`);
    log.info('send_withheld', {
      requestId: this.request.facts.requestId,
      target: this.target.id,
      reason,
      ms: Math.round(this.readAgeMs()),
    });
    return false;
  }

  private findReason(): WithholdReason | undefined {
    const {caller, expiresAt} = this.request;
    if (caller.isDisconnected) return 'caller_left';
    if (this.context.readNow() >= expiresAt) return 'deadline_passed';
    const {state, access} = this.context;
    if (!state.isUsable(this.target)) return 'target_left';
    if (access.isResting(this.target.id)) return 'target_rests';
    if (!access.settlePermit(this.target.id)) return 'no_permit';
    return undefined;
  }

  private readAgeMs(): number {
    return this.context.readNow() - this.createdAt;
  }
}
