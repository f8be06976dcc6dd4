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
  | 'zone_evacuated'
  | 'target_left'
  | 'target_rests'
  | 'no_permit';

/**
 * Checks one attempt at a request of a caller, with the engines that would help.
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
    private readonly helpers: readonly Target[] = [],
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
    return this.judge(this.findReason() ?? this.findMissingPermit());
  }

  /**
   * Returns whether the request may still be sent, for instance before memory is
   * reserved for it. Unlike {@link isWanted}, it uses up no permit.
   */
  isCurrent(): boolean {
    return this.judge(this.findReason());
  }

  private judge(reason: WithholdReason | undefined): boolean {
    if (reason === undefined) return true;
    const {counters, log} = this.context;
    counters.add(`send.withheld_${reason}`);
    log.info('send_withheld', {
      requestId: this.request.facts.requestId,
      target: this.target.id,
      helpers: this.helpers.map(({id}) => id),
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
    const unusable = [this.target, ...this.helpers].find(
      target => !state.isUsable(target),
    );
    if (unusable !== undefined)
      return state.isEvacuated(unusable.zone)
        ? 'zone_evacuated'
        : 'target_left';
    if (access.isResting(this.target.id)) return 'target_rests';
    return undefined;
  }

  /** Uses up the permit of a target that needs one. */
  private findMissingPermit(): WithholdReason | undefined {
    const {access} = this.context;
    return access.settlePermit(this.target.id) ? undefined : 'no_permit';
  }

  private readAgeMs(): number {
    return this.context.readNow() - this.createdAt;
  }
}
