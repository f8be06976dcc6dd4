/**
 * The start of both binaries: read `--config`, check the settings, run the
 * task, drain on SIGTERM or SIGINT.
 */
import meow from 'meow';
import {SettingsError} from './errors.js';
import {createLastResort, observeUncaught} from './last-resort.js';
import {createLogger, setProcessName} from './log.js';
import {loadSettings} from './settings.js';
import type {z} from 'zod';

/** Exit status of a process whose settings are bad. */
export const EXIT_BAD_SETTINGS = 2;

/** Exit status of a process that could not start. */
const EXIT_START_FAILED = 1;

/** A long-running task that a binary hosts. */
export interface DaemonTask {
  start(): Promise<void>;
  /**
   * Finishes what is in flight; resolves when the process may exit. Called
   * again, it waits for the drain that is under way.
   */
  drain(): Promise<void>;
  /** Longest time that a drain takes, in ms. */
  readonly drainLimitMs: number;
}

/** What a binary is made of. */
export interface DaemonOptions<S extends z.ZodType> {
  /** Name on the command line, such as `nutmeggauge-gate`. */
  readonly name: string;
  /** `import.meta` of the binary. */
  readonly importMeta: ImportMeta;
  /** What the settings file holds, for `--help`. */
  readonly settingsHelp: string;
  readonly schema: S;
  readonly createTask: (settings: z.output<S>) => DaemonTask;
}

/**
 * Runs a binary until it is told to stop.
 *
 * @example
 * await runDaemon({name: 'nutmeggauge-gate', importMeta: import.meta, settingsHelp: '…', schema, createTask: createGate});
 */
export async function runDaemon<S extends z.ZodType<{id: string}>>(
  options: DaemonOptions<S>,
): Promise<void> {
  let settings: z.output<S>;
  try {
    settings = loadSettings(options.schema, parseConfigPath(options));
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`${options.name}: ${error.message}\n`);
    process.exit(EXIT_BAD_SETTINGS);
  }
  setProcessName(settings.id);
  const task = options.createTask(settings);
  const log = createLogger('daemon');
  observeUncaught(
    createLastResort({
      log,
      drain: () => task.drain(),
      drainLimitMs: task.drainLimitMs,
      exit: status => process.exit(status),
    }),
  );
  const stop = (signal: string) => {
    log.info('signal_received', {signal});
    void task.drain().then(() => process.exit(0));
  };
  // They stay registered: a second signal would otherwise end the process
  // during the drain.
  process.on('SIGTERM', () => stop('SIGTERM'));
  process.on('SIGINT', () => stop('SIGINT'));
  try {
    await task.start();
  } catch (error) {
    log.error('start_failed', {reason: (error as Error).message});
    process.exit(EXIT_START_FAILED);
  }
}

/**
 * Reads the path of the settings file off the command line.
 *
 * @throws SettingsError that names the word at fault.
 */
function parseConfigPath(options: DaemonOptions<z.ZodType>): string {
  const {flags, input} = readWords(options);
  const foreign = Object.keys(flags).find(key => key !== 'config');
  if (foreign !== undefined)
    throw new SettingsError({info: {foreign}}, `unknown flag --${foreign}`);
  if (input.length > 0)
    throw new SettingsError({info: {input}}, `unknown word ${input[0]}`);
  const {config} = flags;
  if (config === undefined || config === '')
    throw new SettingsError({}, '--config needs the path of a settings file');
  return config;
}

function readWords({name, importMeta, settingsHelp}: DaemonOptions<z.ZodType>) {
  try {
    return meow(
      `
  Usage
    $ ${name} --config <file.yaml>

  Options
    --config, -c  YAML settings file (${settingsHelp})
`,
      {importMeta, flags: {config: {type: 'string', shortFlag: 'c'}}},
    );
  } catch (cause) {
    // meow throws for a flag that is set twice, in several lines.
    const message = (cause as Error).message.replace(/\s+/g, ' ');
    throw new SettingsError({cause: cause as Error}, message);
  }
}
