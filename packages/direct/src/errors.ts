/** Errors of the direct gate. */
import VError from 'verror';

/** Base class of the direct gate's errors. */
abstract class DirectGateError extends VError {
  constructor(message: string, cause?: Error) {
    super({cause}, '%s', message);
  }
}

/** The store gave no complete answer in time. */
export class StoreUnavailableError extends DirectGateError {
  override name = 'StoreUnavailableError';
}

/** The store does not have the history after a watch's position. */
export class HistoryLostError extends DirectGateError {
  override name = 'HistoryLostError';
}

/** A peer has the facts, but serves as many gates as it can. */
export class FactsBusyError extends DirectGateError {
  override name = 'FactsBusyError';
}

/** A value from outside that cannot be decoded; `field` says where. */
export class DecodeError extends DirectGateError {
  override name = 'DecodeError';

  constructor(
    readonly field: string,
    message: string,
  ) {
    super(`${field}: ${message}`);
  }
}

/** Why an exchange with a target failed. */
export type ExchangeFault =
  | 'connect'
  /** The head cannot be written; the target is not at fault. */
  | 'unwritable'
  | 'reset'
  | 'malformed'
  | 'foreign-answer'
  | 'truncated'
  | 'stalled'
  | 'cancelled';

/** An exchange that brought no complete answer. */
export class ExchangeError extends DirectGateError {
  override name = 'ExchangeError';

  /**
   * @param wasSent - False only if no byte of the request left this host, so
   *   it has not run and never will.
   */
  constructor(
    readonly fault: ExchangeFault,
    readonly wasSent: boolean,
    cause?: Error,
  ) {
    super(`exchange failed: ${fault}`, cause);
  }

  /** False if the failure says nothing about the target. */
  get isByTarget(): boolean {
    return this.fault !== 'cancelled' && this.fault !== 'unwritable';
  }
}
