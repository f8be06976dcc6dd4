#!/usr/bin/env node
/**
 * `nutmeggauge`: the operators' and developers' command line.
 *   demo      whole deployment on loopback with the default workload
 *   bench     run experiment files and write their reports
 *   measure   measure the slopes behind docs/CAPACITY.md
 *   capacity  work out docs/capacity/figures.md from those slopes
 *   soak      real gates under random faults, promises checked
 *   timeline  merge the logs of every process of a run
 *   explain   one request's way through the logs of every process
 *   losses    the worth that requests lost, by cause, from gates' logs
 *   standin   run one stand-in of the platform (used by demo and bench)
 */
import {
  ClusterError,
  EXIT_BAD_SETTINGS,
  SettingsError,
  UnknownStandInError,
} from '@nutmeggauge/core';
import {findCommand} from './cli/commands.js';
import {CommandError, EXIT_NOT_FOUND} from './cli/errors.js';
import {parseCommandLine} from './cli/flags.js';

/** Exit status of a failure that the user can mend; nothing for a fault. */
function judgeFailure(error: unknown): number | undefined {
  if (error instanceof CommandError) return error.exitStatus;
  if (error instanceof SettingsError) return EXIT_BAD_SETTINGS;
  if (error instanceof UnknownStandInError) return EXIT_BAD_SETTINGS;
  if (error instanceof ClusterError) return EXIT_NOT_FOUND;
  return undefined;
}

try {
  const words = process.argv.slice(2);
  const {input, flags, showHelp} = parseCommandLine(words, import.meta);
  const [name, ...rest] = input;
  if (name === undefined) showHelp(EXIT_BAD_SETTINGS);
  const status = await findCommand(name)(rest, flags);
  if (typeof status === 'number') process.exit(status);
} catch (error) {
  const status = judgeFailure(error);
  if (status === undefined) throw error;
  // The YAML parser shows the bad line below its message.
  const [line] = (error as Error).message.split('\n');
  process.stderr.write(`nutmeggauge: ${line}\n`);
  process.exit(status);
}
