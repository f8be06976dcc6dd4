/**
 * Errors that the user of a command can correct: `nutmeggauge` reports them in
 * one line on stderr and exits with their status.
 */
import VError from 'verror';
import {EXIT_BAD_SETTINGS} from '@nutmeggauge/core';

/** Exit status of a command that finds nothing or finds violated invariants. */
export const EXIT_NOT_FOUND = 1;

/**
 * Base class of the errors that the user of a command can correct.
 *
 * @example
 * throw new UsageError({info: {flag: '--seed'}}, '--seed needs a number');
 */
export abstract class CommandError extends VError {
  abstract readonly code: string;
  /** Status with which the process exits. */
  readonly exitStatus: number = EXIT_BAD_SETTINGS;

  constructor(options: VError.Options, message: string) {
    super(options, '%s', message);
  }
}

/** Reports a missing, unknown or malformed command, flag or argument. */
export class UsageError extends CommandError {
  readonly code = 'usage';
  override name = 'UsageError';
}

/** Reports input files that are missing, unreadable or without usable data. */
export class InputFileError extends CommandError {
  readonly code = 'input_file';
  override name = 'InputFileError';
}

/** Reports an output file that cannot be written. */
export class OutputFileError extends CommandError {
  readonly code = 'output_file';
  override name = 'OutputFileError';
}

/** Reports a request id that no line of the given log files contains. */
export class UnknownRequestError extends CommandError {
  readonly code = 'unknown_request';
  override name = 'UnknownRequestError';
  override readonly exitStatus = EXIT_NOT_FOUND;
}
