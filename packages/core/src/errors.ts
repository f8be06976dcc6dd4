/**
 * Error classes shared by all packages. Each class extends VError and has a
 * stable `code`, so that callers branch on the type or code, not on messages.
 */
import VError from 'verror';

/** Stable machine-readable codes of nutmeggauge errors. */
export type ErrorCode =
  | 'settings_invalid'
  | 'config_record_invalid'
  | 'rpc_closed'
  | 'rpc_failed'
  | 'target_unreachable'
  | 'cluster_failed'
  | 'unknown_stand_in'
  | 'body_oversized'
  | 'answered_again';

/**
 * Base class of errors raised by nutmeggauge.
 *
 * @example
 * throw new SettingsError({info: {key: 'listen.port'}}, 'listen.port is not a valid port');
 */
export abstract class NutmeggaugeError extends VError {
  abstract readonly code: ErrorCode;

  constructor(options: VError.Options, message: string) {
    super(options, '%s', message);
  }

  /** Fields attached where the error is thrown (`info` of VError). */
  get details(): Readonly<Record<string, unknown>> {
    return VError.info(this);
  }
}

/** Settings or a command line that cannot be read or are invalid. */
export class SettingsError extends NutmeggaugeError {
  readonly code = 'settings_invalid';
  override name = 'SettingsError';
}

/**
 * A configuration record that is invalid or has an unsupported schema version.
 */
export class ConfigRecordError extends NutmeggaugeError {
  readonly code = 'config_record_invalid';
  override name = 'ConfigRecordError';
}

/**
 * A JSON-RPC call whose link closed before the call or while it was
 * outstanding.
 */
export class RpcClosedError extends NutmeggaugeError {
  readonly code = 'rpc_closed';
  override name = 'RpcClosedError';
}

/**
 * A JSON-RPC call that returned an error, or a call or connect that timed out.
 */
export class RpcFailedError extends NutmeggaugeError {
  readonly code = 'rpc_failed';
  override name = 'RpcFailedError';
}

/** A target that could not be reached, so nothing was sent to it. */
export class TargetUnreachableError extends NutmeggaugeError {
  readonly code = 'target_unreachable';
  override name = 'TargetUnreachableError';
}

/** A local cluster whose processes failed to start or to become ready. */
export class ClusterError extends NutmeggaugeError {
  readonly code = 'cluster_failed';
  override name = 'ClusterError';
}

/** An unknown kind of stand-in (simulated engine or service). */
export class UnknownStandInError extends NutmeggaugeError {
  readonly code = 'unknown_stand_in';
  override name = 'UnknownStandInError';
}

/** A received body or event is larger than accepted, as it may have no end. */
export class OversizedBodyError extends NutmeggaugeError {
  readonly code = 'body_oversized';
  override name = 'OversizedBodyError';

  /** @param limit - Largest accepted size, in bytes or characters. */
  constructor(
    readonly bound: 'body' | 'event',
    readonly limit: number,
  ) {
    super({info: {bound, limit}}, `${bound} is larger than ${limit}`);
  }
}

/** A stream that holds the head of a second answer. */
export class SecondAnswerError extends NutmeggaugeError {
  readonly code = 'answered_again';
  override name = 'SecondAnswerError';
}
