#!/usr/bin/env node
/**
 * `nutmeggauge`: the command line for operators and developers.
 *   demo      run a complete deployment on loopback with the default workload
 *   bench     run experiment files and write their reports
 *   measure   measure the slopes behind docs/CAPACITY.md
 *   capacity  compute docs/capacity/figures.md from the measured slopes
 *   soak      run real gates under random faults and check their guarantees
 *   timeline  merge the logs of all processes of a run
 *   explain   show the events of one request in the logs of all processes
 *   losses    sum up the value that requests lost, by cause, from gate logs
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

/**
 * Returns the exit status for an error that the user can correct, or undefined
 * for any other error.
 */
function findExitStatus(error: unknown): number | undefined {
  if (error instanceof CommandError) return error.exitStatus;
  if (error instanceof SettingsError) return EXIT_BAD_SETTINGS;
  if (error instanceof UnknownStandInError) return EXIT_BAD_SETTINGS;
  if (error instanceof ClusterError) return EXIT_NOT_FOUND;
  return undefined;
}

try {
  const cliArgs = process.argv.slice(2);
  const {input, flags, showHelp} = parseCommandLine(cliArgs, import.meta);
  const [name, ...rest] = input;
  if (name === undefined) showHelp(EXIT_BAD_SETTINGS);
  const status = await findCommand(name)(rest, flags);
  if (typeof status === 'number') process.exit(status);
} catch (error) {
  const status = findExitStatus(error);
  if (status === undefined) throw error;
  // The YAML parser appends the invalid line below its message.
  const [line] = (error as Error).message.split('\n');
  process.stderr.write(`nutmeggauge: ${line}\n`);
  process.exit(status);
}
