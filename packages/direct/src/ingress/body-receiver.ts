/**
 * Receives the bodies of requests, and refuses those that are too large, that there is
 * no memory for, or that have not arrived when their callers stop waiting.
 */
import {
  HeldBody,
  ReadTimeout,
  dropHead,
  measureHead,
  readAnnouncedBytes,
  receiveBody,
} from '@nutmeggauge/core';
import {DEFAULT_DEADLINE_MS} from './early-refusals.js';
import type {IncomingMessage} from 'node:http';
import type {MemoryClaim} from '@nutmeggauge/core';
import type {CallerResponse} from '../forward/caller-response.js';
import type {ForwardContext} from '../forward/context.js';
import type {RequestMetadata} from '../types.js';
import type {ArrivingRequest} from './arriving-request.js';

/** Largest body until a configuration is applied, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

/** A request whose head has arrived. */
export interface ArrivedHead {
  readonly req: IncomingMessage;
  readonly caller: CallerResponse;
  readonly facts: RequestMetadata;
  readonly arriving: ArrivingRequest;
  /** Time of its arrival on the monotonic clock, in ms. */
  readonly arrivedAt: number;
}

/** A request whose body arrives. */
interface ArrivingBody extends Pick<
  ArrivedHead,
  'caller' | 'facts' | 'arriving'
> {
  /** Time at which its caller stops waiting, in ms. */
  readonly expiresAt: number;
}

/**
 * Receives the bodies of one gate's requests.
 *
 * @example
 * const body = await receiver.receive({req, caller, facts, arriving});
 * if (body === undefined) return; // answered, or the caller has left
 */
export class BodyReceiver {
  private readonly bodies = new Set<ArrivingBody>();

  constructor(private readonly context: ForwardContext) {}

  /** Whether the head of a request announces a larger body than is accepted. */
  isTooLarge({headers}: IncomingMessage): boolean {
    return (readAnnouncedBytes(headers) ?? 0) > this.readMaxBytes();
  }

  /**
   * Resolves with the whole body, which is charged until the answer has been sent;
   * undefined if the request was refused or its caller has left.
   */
  async receive(head: ArrivedHead): Promise<Buffer | undefined> {
    const {req, caller, facts, arriving, arrivedAt} = head;
    if (this.isTooLarge(req)) {
      arriving.refuse(413, 'body_too_large', facts);
      return undefined;
    }
    const headBytes = measureHead(req.rawHeaders);
    const {claim, body} = this.open(head, headBytes);
    const expiresAt = arrivedAt + (facts.deadlineMs ?? DEFAULT_DEADLINE_MS);
    const entry: ArrivingBody = {caller, facts, arriving, expiresAt};
    arriving.onRefuse(() => {
      body.drop();
      dropHead(req);
      claim.release();
    });
    if (!claim.setBytes(headBytes)) {
      this.refuseForMemory(head, claim);
      return undefined;
    }
    this.bodies.add(entry);
    try {
      const {bytes, fault} = await receiveBody(req, body);
      if (caller.isOver) return undefined;
      if (bytes !== undefined) {
        arriving.hasBody = true;
        return bytes;
      }
      if (fault === 'no_room') this.refuseForMemory(head, claim);
      else arriving.refuse(413, 'body_too_large', facts);
    } catch {
      // The caller disconnected while sending its body: nothing runs, and no
      // response is sent.
      this.context.counters.add('ingress.caller_left');
    } finally {
      this.bodies.delete(entry);
    }
    return undefined;
  }

  /** Refuses the requests whose callers wait no longer for the rest of a body. */
  expire(): void {
    const now = this.context.readNow();
    for (const body of this.bodies) {
      if (body.expiresAt > now) continue;
      this.bodies.delete(body);
      // The rest may have arrived while the process was suspended.
      new ReadTimeout(() => this.refuseLate(body), 0);
    }
  }

  private refuseLate({caller, facts, arriving}: ArrivingBody): void {
    if (!arriving.hasBody && !caller.isOver)
      arriving.refuse(503, 'too_late', facts);
  }

  private open(
    head: ArrivedHead,
    headBytes: number,
  ): {
    readonly claim: MemoryClaim;
    readonly body: HeldBody;
  } {
    const {req, caller, facts} = head;
    const {callerMemory, state} = this.context;
    const account =
      facts.apiKey === undefined ? undefined : state.findAccount(facts.apiKey);
    const claim = callerMemory.open(account?.name, {
      onGiveUp: () => this.refuseForMemory(head, claim),
    });
    caller.onClose(() => claim.release());
    const body = new HeldBody({
      maxBytes: this.readMaxBytes(),
      announcedBytes: readAnnouncedBytes(req.headers),
      headBytes,
      claim,
    });
    return {claim, body};
  }

  private refuseForMemory(
    {caller, facts, arriving}: ArrivedHead,
    claim: MemoryClaim,
  ): void {
    if (caller.isOver) return;
    const {callerMemory, log} = this.context;
    log.warn('memory_refused', {
      requestId: facts.requestId,
      account: claim.owner,
      isGivenUp: claim.isGivenUp,
      accountBytes: callerMemory.countHeld(claim.owner),
      heldBytes: callerMemory.heldBytes,
      limitBytes: callerMemory.limitBytes,
    });
    arriving.refuse(503, 'no_memory', facts);
  }

  private readMaxBytes(): number {
    const {config} = this.context.state;
    return config?.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  }
}
