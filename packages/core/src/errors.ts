/**
 * Typed failures shared by every package. Each failure is a VError subclass
 * with a stable `code`, so callers branch on the type, never on message text.
 */
import VError from 'verror';

/** Stable machine-readable codes carried by every nutmeggauge failure. */
export type ErrorCode =
  | 'settings_invalid'
  | 'config_record_invalid'
  | 'rpc_closed'
  | 'rpc_failed'
  | 'target_unreachable'
  | 'cluster_failed'
  | 'unknown_stand_in';

/**
 * Base of every failure raised by nutmeggauge.
 *
 * @example
 * throw new SettingsError({info: {key: 'listen.port'}}, 'bad port');
 */
export abstract class NutmeggaugeError extends VError {
  abstract readonly code: ErrorCode;

  constructor(options: VError.Options, message: string) {
    super(options, '%s', message);
  }

  /** Fields attached at the throw site (`info` of VError). */
  get details(): Readonly<Record<string, unknown>> {
    return VError.info(this);
  }
}

/** A settings file that cannot be read or does not match its schema. */
export class SettingsError extends NutmeggaugeError {
  readonly code = 'settings_invalid';
  override name = 'SettingsError';
}

/** A configuration record from the configuration service that is rejected. */
export class ConfigRecordError extends NutmeggaugeError {
  readonly code = 'config_record_invalid';
  override name = 'ConfigRecordError';
}

/** The json-rpc link closed while a call was outstanding. */
export class RpcClosedError extends NutmeggaugeError {
  readonly code = 'rpc_closed';
  override name = 'RpcClosedError';
}

/** A json-rpc call that returned an error response. */
export class RpcFailedError extends NutmeggaugeError {
  readonly code = 'rpc_failed';
  override name = 'RpcFailedError';
}

/** A target that could not be reached: nothing was sent to it. */
export class TargetUnreachableError extends NutmeggaugeError {
  readonly code = 'target_unreachable';
  override name = 'TargetUnreachableError';
}

/** A local cluster whose processes did not start or become ready. */
export class ClusterError extends NutmeggaugeError {
  readonly code = 'cluster_failed';
  override name = 'ClusterError';
}

/** A kind of stand-in that does not exist. */
export class UnknownStandInError extends NutmeggaugeError {
  readonly code = 'unknown_stand_in';
  override name = 'UnknownStandInError';
}
