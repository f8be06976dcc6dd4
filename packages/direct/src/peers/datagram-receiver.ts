/** Applies the datagrams of peers. */
import {ZodError} from 'zod';
import {formatDatagram, parseDatagram} from './messages.js';
import {decodePlacementMessage, isPlacementMessage} from './placement-codec.js';
import type {SuspectRequests} from '@nutmeggauge/core';
import type {PermitAnswer, PermitQuestion} from '../limits/permits.js';
import type {RequestLimits} from '../limits/request-limits.js';
import type {DecisionLog} from '../observe/decision-log.js';
import type {WaitReport} from '../placement/waiting-prompts.js';
import type {DatagramTransport} from './datagram-transport.js';
import type {Datagram, Heartbeat} from './messages.js';
import type {PeerPlacements} from './peer-placements.js';
import type {ZoneRelay} from './zone-relay.js';

/** Largest length of the logged reason why a datagram is malformed. */
const MAX_REASON_LENGTH = 200;

/** Dependencies of {@link DatagramReceiver}. */
export interface DatagramReceiverOptions {
  readonly relay: ZoneRelay;
  readonly placements: PeerPlacements;
  readonly limits: RequestLimits;
  readonly suspects: SuspectRequests;
  readonly transport: DatagramTransport;
  readonly log: DecisionLog;
  readonly onHeartbeat: (heartbeat: Heartbeat) => void;
  /** Called when a peer reports that a target has ended. */
  readonly onTargetEnd: (target: string) => void;
  /** Answers the question of a peer for a permit. */
  readonly answerPermit: (question: PermitQuestion) => PermitAnswer;
  /** Called with the answer of a peer to a question of this gate. */
  readonly onPermitAnswer: (answer: PermitAnswer) => void;
  /**
   * Called with what a peer announces about a waiting prompt.
   *
   * @default ignored
   */
  readonly onPromptWait?: (report: WaitReport) => void;
}

/**
 * Receives the datagrams of one gate; a malformed one is logged.
 *
 * @example
 * receiver.receive(bytes);
 */
export class DatagramReceiver {
  constructor(private readonly options: DatagramReceiverOptions) {}

  /** Applies one datagram; one for the gates of this zone is passed on first. */
  receive(bytes: Buffer): void {
    const {relay, placements, log} = this.options;
    const datagram = relay.receive(bytes);
    try {
      if (isPlacementMessage(datagram))
        placements.apply(decodePlacementMessage(datagram));
      else this.apply(parseDatagram(datagram));
    } catch (error) {
      if (!(error instanceof SyntaxError || error instanceof ZodError))
        throw error;
      log.warn('peer_message_malformed', {
        bytes: bytes.length,
        reason: error.message.slice(0, MAX_REASON_LENGTH),
      });
    }
  }

  private apply(message: Datagram): void {
    const {options} = this;
    if (message.method === 'heartbeat') options.onHeartbeat(message.params);
    if (message.method === 'target-ended')
      options.onTargetEnd(message.params.target);
    if (message.method === 'limited') options.limits.merge([message.params]);
    if (message.method === 'permit-asked') this.answer(message.params);
    if (message.method === 'permit-answered')
      options.onPermitAnswer(message.params);
    if (message.method === 'crashed') options.suspects.merge(message.params);
    if (message.method === 'prompt-waits')
      options.onPromptWait?.(message.params);
  }

  private answer(question: PermitQuestion): void {
    const {transport, answerPermit} = this.options;
    transport.send(
      question.from,
      formatDatagram({
        jsonrpc: '2.0',
        method: 'permit-answered',
        params: answerPermit(question),
      }),
    );
  }
}
