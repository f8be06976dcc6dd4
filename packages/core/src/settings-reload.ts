/**
 * Reloading of settings at run time. Keys that a task cannot apply without a
 * restart are named in the log line.
 */
import {isDeepStrictEqual} from 'node:util';
import {SettingsError} from './errors.js';
import type {Logger} from './log.js';

/** Settings by key; nested sections are settings themselves. */
export type SettingsSection = Readonly<Record<string, unknown>>;

/** Task whose settings can be replaced, in part, at run time. */
export interface ReloadableTask<T extends SettingsSection> {
  /** Top-level keys whose values `applySettings` puts into force. */
  readonly reloadableKeys: ReadonlyArray<keyof T & string>;
  /** Puts the reloadable keys of `settings` into force. */
  applySettings(settings: T): void;
}

/** Options of a settings reloader. */
export interface SettingsReloaderOptions<T extends SettingsSection> {
  /** Settings with which the task was created. */
  readonly settings: T;
  /**
   * Reads and validates the settings file.
   *
   * @throws SettingsError when the file is invalid.
   */
  readonly load: () => T;
  readonly task: ReloadableTask<T>;
  readonly log: Pick<Logger, 'info' | 'warn'>;
}

/**
 * Lists the keys whose values differ, as dotted paths.
 *
 * @example
 * listChangedKeys({listen: {port: 1}}, {listen: {port: 2}}); // ['listen.port']
 */
export function listChangedKeys(
  before: SettingsSection,
  after: SettingsSection,
): readonly string[] {
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys].flatMap(key => {
    const [old, current] = [before[key], after[key]];
    if (isDeepStrictEqual(old, current)) return [];
    if (!isSection(old) || !isSection(current)) return [key];
    return listChangedKeys(old, current).map(path => `${key}.${path}`);
  });
}

function isSection(value: unknown): value is SettingsSection {
  return (
    typeof value === 'object' && value !== null && !(value instanceof Array)
  );
}

/**
 * Reloads the settings of a task and logs the outcome: `settings_reloaded` with
 * the keys that were applied and the changed keys that need a restart, or
 * `settings_reload_failed`, after which the settings in force are unchanged.
 *
 * @example
 * const reloader = new SettingsReloader({settings, load, task, log});
 * process.on('SIGHUP', () => reloader.reload());
 */
export class SettingsReloader<T extends SettingsSection> {
  private inForce: T;

  constructor(private readonly options: SettingsReloaderOptions<T>) {
    this.inForce = options.settings;
  }

  reload(): void {
    const {log, task} = this.options;
    const loaded = this.loadOrLog();
    if (loaded === undefined) return;
    const changedKeys = listChangedKeys(this.inForce, loaded);
    const isReloadable = (path: string) =>
      task.reloadableKeys.some(key => key === path.split('.')[0]);
    const update = Object.fromEntries(
      task.reloadableKeys.map(key => [key, loaded[key]]),
    );
    this.inForce = {...this.inForce, ...update};
    task.applySettings(this.inForce);
    log.info('settings_reloaded', {
      applied: changedKeys.filter(isReloadable),
      needRestart: changedKeys.filter(path => !isReloadable(path)),
    });
  }

  private loadOrLog(): T | undefined {
    try {
      return this.options.load();
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error;
      const {code, message} = error;
      this.options.log.warn('settings_reload_failed', {code, reason: message});
      return undefined;
    }
  }
}
