/**
 * The start of both binaries: read `--config`, check the settings, run the
 * task, drain on SIGTERM or SIGINT.
 */
import meow from 'meow';
import {SettingsError} from './errors.js';
import {createLogger, setProcessName} from './log.js';
import {loadSettings} from './settings.js';
import type {z} from 'zod';

/** Exit status of a process whose settings are bad. */
export const EXIT_BAD_SETTINGS = 2;

/** A long-running task that a binary hosts. */
export interface DaemonTask {
  start(): Promise<void>;
  /** Finishes what is in flight; resolves when the process may exit. */
  drain(): Promise<void>;
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
  const cli = meow(
    `
  Usage
    $ ${options.name} --config <file.yaml>

  Options
    --config, -c  YAML settings file (${options.settingsHelp})
`,
    {
      importMeta: options.importMeta,
      flags: {config: {type: 'string', shortFlag: 'c', isRequired: true}},
    },
  );
  let settings: z.output<S>;
  try {
    settings = loadSettings(options.schema, cli.flags.config);
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`${options.name}: ${error.message}\n`);
    process.exit(EXIT_BAD_SETTINGS);
  }
  setProcessName(settings.id);
  const task = options.createTask(settings);
  await task.start();
  const log = createLogger('daemon');
  const stop = (signal: string) => {
    log.info('signal_received', {signal});
    void task.drain().then(() => process.exit(0));
  };
  process.once('SIGTERM', () => stop('SIGTERM'));
  process.once('SIGINT', () => stop('SIGINT'));
}
