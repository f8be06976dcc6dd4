/**
 * Entry point shared by the gate and agent binaries: reads `--config`,
 * validates the settings, runs the task, drains it on SIGTERM or SIGINT, and
 * reloads its settings on SIGHUP.
 */
import meow from 'meow';
import {SettingsError} from './errors.js';
import {
  createUncaughtErrorHandler,
  handleUncaughtErrors,
} from './uncaught-errors.js';
import {createLogger, setProcessName} from './log.js';
import {loadSettings} from './settings.js';
import {SettingsReloader} from './settings-reload.js';
import type {z} from 'zod';
import type {ReloadableTask, SettingsSection} from './settings-reload.js';

/** Exit status of a process whose settings or command line are invalid. */
export const EXIT_BAD_SETTINGS = 2;

/** Exit status of a process whose task failed to start. */
const EXIT_START_FAILED = 1;

/** Schema of the settings of a binary. */
type SettingsSchema = z.ZodType<SettingsSection & {readonly id: string}>;

/** Long-running task of a binary. */
export interface DaemonTask<
  T extends SettingsSection,
> extends ReloadableTask<T> {
  start(): Promise<void>;
  /**
   * Finishes the requests in flight; resolves when the process may exit. A
   * repeated call waits for the drain that is under way.
   */
  drain(): Promise<void>;
  /** Longest duration of a drain, in ms. */
  readonly drainLimitMs: number;
}

/** Definition of a binary. */
export interface DaemonOptions<S extends SettingsSchema> {
  /** Name on the command line, such as `nutmeggauge-gate`. */
  readonly name: string;
  /** `import.meta` of the binary. */
  readonly importMeta: ImportMeta;
  /** Contents of the settings file, as shown by `--help`. */
  readonly settingsHelp: string;
  readonly schema: S;
  readonly createTask: (settings: z.output<S>) => DaemonTask<z.output<S>>;
}

/**
 * Runs a binary until SIGTERM or SIGINT stops it.
 *
 * @example
 * await runDaemon({name: 'nutmeggauge-gate', importMeta: import.meta, settingsHelp: '…', schema, createTask: createGate});
 */
export async function runDaemon<S extends SettingsSchema>(
  options: DaemonOptions<S>,
): Promise<void> {
  let settings: z.output<S>;
  let load: () => z.output<S>;
  try {
    const path = parseConfigPath(options);
    load = () => loadSettings(options.schema, path);
    settings = load();
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`${options.name}: ${error.message}\n`);
    process.exit(EXIT_BAD_SETTINGS);
  }
  setProcessName(settings.id);
  const task = options.createTask(settings);
  const log = createLogger('daemon');
  handleUncaughtErrors(
    createUncaughtErrorHandler({
      log,
      drain: () => task.drain(),
      // A reload may change the limit.
      get drainLimitMs() {
        return task.drainLimitMs;
      },
      exit: status => process.exit(status),
    }),
  );
  const stop = (signal: string) => {
    log.info('signal_received', {signal});
    void task.drain().then(() => process.exit(0));
  };
  // The signal handlers stay registered: a second signal would otherwise end
  // the process during the drain.
  replaceSignalListeners('SIGTERM', () => stop('SIGTERM'));
  replaceSignalListeners('SIGINT', () => stop('SIGINT'));
  const reloader = new SettingsReloader({settings, load, task, log});
  process.on('SIGHUP', () => reloader.reload());
  try {
    await task.start();
  } catch (error) {
    log.error('start_failed', {reason: (error as Error).message});
    process.exit(EXIT_START_FAILED);
  }
}

/**
 * Replaces the listeners of a signal, such as those of the command's wrapper.
 * The signal stays handled throughout.
 */
function replaceSignalListeners(
  signal: NodeJS.Signals,
  listener: () => void,
): void {
  const replaced = process.listeners(signal);
  process.on(signal, listener);
  for (const old of replaced) process.off(signal, old);
}

/**
 * Returns the path of the settings file from the command line.
 *
 * @throws SettingsError that names the invalid flag or argument.
 */
function parseConfigPath<S extends SettingsSchema>(
  options: DaemonOptions<S>,
): string {
  const {flags, input} = parseCommandLine(options);
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

function parseCommandLine<S extends SettingsSchema>({
  name,
  importMeta,
  settingsHelp,
}: DaemonOptions<S>) {
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
    // meow throws an error with a multi-line message for a repeated flag.
    const message = (cause as Error).message.replace(/\s+/g, ' ');
    throw new SettingsError({cause: cause as Error}, message);
  }
}
