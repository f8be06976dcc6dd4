/** Implementations of the commands of `nutmeggauge`, by command name. */
import {join} from 'node:path';
import {runBench} from '../bench/bench.js';
import {runDemo} from '../demo.js';
import {isClean} from '../load/summary.js';
import {runLosses} from '../losses/losses.js';
import {writeCapacity} from '../measure/capacity.js';
import {runMeasure} from '../measure/measure.js';
import {runSoaks} from '../soak/run-soaks.js';
import {runStandIn} from '../standin/run-standin.js';
import {explainRequest} from '../timeline/explain.js';
import {formatTimelineEvent, mergeTimeline} from '../timeline/merge.js';
import {InputFileError, UnknownRequestError, UsageError} from './errors.js';
import type {TimelineEvent} from '../timeline/merge.js';
import type {CommandFlags} from './flags.js';

/**
 * Runs one command with the arguments that follow its name.
 *
 * @returns Exit status if the process is to exit at once, even with open
 *     connections; nothing if the process ends by itself.
 */
type Command = (
  cliArgs: readonly string[],
  flags: CommandFlags,
) => number | void | Promise<number | void>;

function resolveRunDir(command: string, {runDir}: CommandFlags): string {
  const timestamp = new Date().toISOString().replace(/[:.]/g, '-');
  return runDir ?? join('runs', `${command}-${timestamp}`);
}

function printEvents(events: readonly TimelineEvent[]): void {
  for (const event of events)
    process.stdout.write(formatTimelineEvent(event) + '\n');
}

function printExplanation(requestId: string, paths: readonly string[]): void {
  const events = explainRequest(mergeTimeline(paths), requestId);
  if (events.length === 0)
    throw new UnknownRequestError(
      {info: {requestId, paths}},
      `no log line names the request ${requestId}`,
    );
  printEvents(events);
}

function printCapacity(folder: string): void {
  let text: string;
  try {
    text = writeCapacity(folder);
  } catch (cause) {
    // The folder or measured.json is missing, unreadable or not valid JSON, or
    // figures.md cannot be written.
    if (!isFileError(cause)) throw cause;
    throw new InputFileError(
      {cause, info: {folder}},
      `${join(folder, 'measured.json')}: cannot be used`,
    );
  }
  process.stdout.write(text);
}

function isFileError(error: unknown): error is Error {
  return (
    error instanceof SyntaxError || (error instanceof Error && 'code' in error)
  );
}

const COMMANDS: Readonly<Record<string, Command>> = {
  demo: async (_, flags) => {
    const runDir = resolveRunDir('demo', flags);
    return isClean(await runDemo({...flags, runDir})) ? 0 : 1;
  },
  bench: async (files, flags) => {
    if (files.length === 0)
      throw new UsageError({}, 'bench needs an experiment file');
    const runDir = resolveRunDir('bench', flags);
    return (await runBench({files, runDir})) ? 0 : 1;
  },
  measure: async (_, flags) => {
    const runDir = resolveRunDir('measure', flags);
    await runMeasure({outDir: flags.out ?? runDir, runDir});
    return 0;
  },
  capacity: ([folder = join('docs', 'capacity')]) => printCapacity(folder),
  soak: async (_, flags) => {
    const runDir = resolveRunDir('soak', flags);
    const hasTiming = flags.timing;
    const hasAgents = flags.agents;
    return (await runSoaks({...flags, hasTiming, hasAgents, runDir})) ? 0 : 1;
  },
  timeline: paths => printEvents(mergeTimeline(paths)),
  explain: ([requestId, ...paths]) => {
    if (requestId === undefined)
      throw new UsageError({}, 'explain needs the id of a request');
    printExplanation(requestId, paths);
  },
  losses: (paths, flags) => {
    process.stdout.write(runLosses({...flags, paths}));
  },
  standin: ([kind = ''], flags) => runStandIn(kind, flags),
};

/**
 * Finds a command by its name.
 *
 * @throws UsageError when no command has that name.
 * @example
 * await findCommand('timeline')(['runs/demo-1'], flags);
 */
export function findCommand(name: string): Command {
  if (Object.hasOwn(COMMANDS, name)) return COMMANDS[name];
  throw new UsageError(
    {info: {name}},
    `unknown command ${name}; see nutmeggauge --help`,
  );
}
