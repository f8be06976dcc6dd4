/**
 * Errors that the user can correct, reported in one line on stderr with an exit
 * status.
 */
import VError from 'verror';
import {EXIT_BAD_SETTINGS} from '@nutmeggauge/core';

/** Exit status of a command that found nothing, or broken invariants. */
export const EXIT_NOT_FOUND = 1;

/**
 * Base class of these errors.
 *
 * @example
 * throw new UsageError({info: {flag: '--seed'}}, '--seed needs a number');
 */
export abstract class CommandError extends VError {
  abstract readonly code: string;
  /** Exit status of the process. */
  readonly exitStatus: number = EXIT_BAD_SETTINGS;

  constructor(options: VError.Options, message: string) {
    super(options, '%s', message);
  }
}

/** A command, flag or argument that is missing, unknown or malformed. */
export class UsageError extends CommandError {
  readonly code = 'usage';
  override name = 'UsageError';
}

/** Files that are missing, cannot be read, or hold nothing to work on. */
export class InputFileError extends CommandError {
  readonly code = 'input_file';
  override name = 'InputFileError';
}

/** A file that a command was to write and could not. */
export class OutputFileError extends CommandError {
  readonly code = 'output_file';
  override name = 'OutputFileError';
}

/** A request that no line of the given files names. */
export class UnknownRequestError extends CommandError {
  readonly code = 'unknown_request';
  override name = 'UnknownRequestError';
  override readonly exitStatus = EXIT_NOT_FOUND;
}
