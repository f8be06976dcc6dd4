/** Typed failures of the direct gate. */
import VError from 'verror';

/** Base of the direct gate's failures. */
abstract class DirectGateError extends VError {
  constructor(message: string, cause?: Error) {
    super({cause}, '%s', message);
  }
}

/** The store gave no whole answer in time; nothing is known from it. */
export class StoreUnavailableError extends DirectGateError {
  override name = 'StoreUnavailableError';
}

/** The store has dropped the history that a watch wanted to go on from. */
export class HistoryLostError extends DirectGateError {
  override name = 'HistoryLostError';
}

/** Another gate has the facts, and serves as many gates as it can. */
export class FactsBusyError extends DirectGateError {
  override name = 'FactsBusyError';
}

/** A value from outside that does not decode; `field` says where. */
export class DecodeError extends DirectGateError {
  override name = 'DecodeError';

  constructor(
    readonly field: string,
    message: string,
  ) {
    super(`${field}: ${message}`);
  }
}

/** Why an exchange with a target brought no whole answer. */
export type ExchangeFault =
  | 'connect'
  /** The head cannot be written; the target is not to blame. */
  | 'unwritable'
  | 'reset'
  | 'malformed'
  | 'foreign-answer'
  | 'truncated'
  | 'stalled'
  | 'cancelled';

/** An exchange with a target that brought no whole answer. */
export class ExchangeError extends DirectGateError {
  override name = 'ExchangeError';

  /**
   * @param wasSent - False only when no byte of the request left this host:
   *   the request then has not run and never will.
   */
  constructor(
    readonly fault: ExchangeFault,
    readonly wasSent: boolean,
    cause?: Error,
  ) {
    super(`exchange failed: ${fault}`, cause);
  }

  /** False when it says nothing of the target. */
  get isByTarget(): boolean {
    return this.fault !== 'cancelled' && this.fault !== 'unwritable';
  }
}
