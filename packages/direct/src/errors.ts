/** Errors thrown by the direct gate. */
import VError from 'verror';

/** Base class of the direct gate's errors. */
abstract class DirectGateError extends VError {
  constructor(message: string, cause?: Error) {
    super({cause}, '%s', message);
  }
}

/** The store did not answer completely within the timeout. */
export class StoreUnavailableError extends DirectGateError {
  override name = 'StoreUnavailableError';
}

/** The store no longer has the history after the position of a watch. */
export class HistoryLostError extends DirectGateError {
  override name = 'HistoryLostError';
}

/** A peer has the facts but already serves its maximum number of gates. */
export class FactsBusyError extends DirectGateError {
  override name = 'FactsBusyError';
}

/** A received value cannot be decoded; `field` is its path. */
export class DecodeError extends DirectGateError {
  override name = 'DecodeError';

  constructor(
    readonly field: string,
    message: string,
  ) {
    super(`${field}: ${message}`);
  }
}

/** Cause of the failure of an exchange with a target. */
export type ExchangeFault =
  | 'connect'
  /** The request head cannot be written, which is not a fault of the target. */
  | 'unwritable'
  /** The request was no longer wanted once the connection was open. */
  | 'withheld'
  | 'reset'
  | 'malformed'
  | 'foreign-answer'
  /** Another answer follows in a body whose end its connection marks. */
  | 'second-answer'
  | 'truncated'
  /** The answer passes a bound on its size. */
  | 'oversized'
  /** The gate holds too many bytes of other answers. */
  | 'no-buffer'
  | 'stalled'
  | 'cancelled';

/** Faults that say nothing about the target. */
const GATE_FAULTS: ReadonlySet<ExchangeFault> = new Set([
  'cancelled',
  'unwritable',
  'withheld',
  'no-buffer',
]);

/** An exchange with a target failed before a complete answer was received. */
export class ExchangeError extends DirectGateError {
  override name = 'ExchangeError';

  /**
   * @param wasSent - False only if no byte of the request left this host, so
   *   the request has not run and never will.
   */
  constructor(
    readonly fault: ExchangeFault,
    readonly wasSent: boolean,
    cause?: Error,
  ) {
    super(`exchange failed: ${fault}`, cause);
  }

  /**
   * Whether the connection ended before the answer did, as it does when the
   * target crashes.
   */
  get isConnectionEnd(): boolean {
    return (
      this.wasSent && (this.fault === 'reset' || this.fault === 'truncated')
    );
  }

  /** Whether nothing listens on the target's port. */
  get isRefusedConnection(): boolean {
    const {code} = (this.cause() ?? {}) as NodeJS.ErrnoException;
    return this.fault === 'connect' && code === 'ECONNREFUSED';
  }

  /** Whether the failure indicates a fault of the target. */
  get isTargetFault(): boolean {
    return !GATE_FAULTS.has(this.fault);
  }
}

/**
 * What is bounded of an answer: the number of interim heads before it, the bytes
 * of one event, of an error's body, of a body without a length, or of what frames
 * the body.
 */
export type AnswerBound =
  'interim-heads' | 'event' | 'error-body' | 'body' | 'framing';

/** An answer passes a bound, as it may have no end. */
export class OversizedAnswerError extends ExchangeError {
  override name = 'OversizedAnswerError';

  /** @param limit - Largest accepted size, in bytes or heads. */
  constructor(
    readonly bound: AnswerBound,
    readonly limit: number,
  ) {
    super('oversized', true);
  }
}
