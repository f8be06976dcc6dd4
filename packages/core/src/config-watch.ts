/**
 * Watches the configuration service with long polls and keeps the newest
 * accepted record in memory. Versions only move forward: a stale or older
 * record is ignored, and the last good record is kept while the service is
 * down, so an accepted configuration never reverts.
 */
import {request} from 'undici';
import {waitMs} from './clock.js';
import {resolveConfigRecord} from './config-record.js';
import {createLogger} from './log.js';
import type {ConfigRecord} from './config-record.js';
import type {Counters} from './metrics.js';

/** Options of a configuration watcher. */
export interface ConfigWatcherOptions {
  /** Base URL of the configuration service, such as `http://127.0.0.1:7000`. */
  readonly url: string;
  /** Counters to add `config.*` figures to. */
  readonly counters: Counters;
  /**
   * How long one watch call waits for a change, in ms.
   * @default 25000
   */
  readonly waitMs?: number;
  /**
   * First pause after a failed or stale read, in ms; doubles up to `backoffMaxMs`.
   * @default 100
   */
  readonly backoffMinMs?: number;
  /**
   * Longest pause between failed reads, in ms.
   * @default 5000
   */
  readonly backoffMaxMs?: number;
}

/** Listener called with each newly accepted record. */
export type ConfigListener = (record: ConfigRecord) => void;

/**
 * A task that owns the watch connection and the current record.
 *
 * @example
 * const watcher = createConfigWatcher({url, counters});
 * watcher.onChange(record => apply(record));
 * watcher.start();
 */
export class ConfigWatcher {
  private record: ConfigRecord | undefined;
  private readonly listeners: ConfigListener[] = [];
  private readonly abort = new AbortController();
  private running = false;
  private readonly log = createLogger('config');

  constructor(private readonly options: ConfigWatcherOptions) {}

  /** The newest accepted record, or undefined before the first one. */
  get current(): ConfigRecord | undefined {
    return this.record;
  }

  /** Registers a listener for accepted records. */
  onChange(listener: ConfigListener): void {
    this.listeners.push(listener);
  }

  /** Starts the watch loop; it runs until `stop`. */
  start(): void {
    if (this.running) return;
    this.running = true;
    void this.runLoop();
  }

  /** Stops the loop and aborts the waiting call. */
  stop(): void {
    this.running = false;
    this.abort.abort();
  }

  /**
   * Offers a raw record; returns true when it is accepted as the newest.
   * Exposed so that tests can drive the acceptance rule directly.
   */
  offer(raw: unknown): boolean {
    const counters = this.options.counters;
    let record: ConfigRecord;
    try {
      record = resolveConfigRecord(raw);
    } catch (error) {
      counters.add('config.rejected');
      this.log.warn('config_rejected', {reason: (error as Error).message});
      return false;
    }
    if (this.record !== undefined && record.version <= this.record.version) {
      // A stale replica of the service can serve an older record after a
      // newer one was accepted; taking it would revert the configuration.
      counters.add('config.stale_ignored');
      return false;
    }
    this.record = record;
    counters.add('config.accepted');
    this.log.info('config_accepted', {
      version: record.version,
      schemaVersion: record.schemaVersion,
    });
    for (const listener of this.listeners) listener(record);
    return true;
  }

  private async runLoop(): Promise<void> {
    const minMs = this.options.backoffMinMs ?? 100;
    const maxMs = this.options.backoffMaxMs ?? 5000;
    let backoffMs = minMs;
    while (this.running) {
      const progressed = await this.readOnce();
      if (progressed) {
        backoffMs = minMs;
        continue;
      }
      if (!this.running) return;
      // Full jitter keeps many readers from hitting a recovering service in step.
      await waitMs(Math.random() * backoffMs);
      backoffMs = Math.min(maxMs, backoffMs * 2);
    }
  }

  /** One watch call; true when it ended normally (new record or no change). */
  private async readOnce(): Promise<boolean> {
    const counters = this.options.counters;
    const wait = this.options.waitMs ?? 25_000;
    const after = this.record?.version ?? 0;
    counters.add('config.reads');
    try {
      const response = await request(
        `${this.options.url}/v1/records/current?after=${after}&waitMs=${wait}`,
        {
          signal: this.abort.signal,
          headersTimeout: wait + 5000,
          bodyTimeout: wait + 5000,
        },
      );
      if (response.statusCode === 304) {
        await response.body.dump();
        return true;
      }
      if (response.statusCode !== 200) {
        await response.body.dump();
        counters.add('config.read_failed');
        return false;
      }
      return this.offer(await response.body.json());
    } catch {
      counters.add('config.read_failed');
      return false;
    }
  }
}

/**
 * Creates a configuration watcher; call `start` to begin watching.
 *
 * @example
 * const watcher = createConfigWatcher({url: 'http://127.0.0.1:7000', counters});
 */
export function createConfigWatcher(
  options: ConfigWatcherOptions,
): ConfigWatcher {
  return new ConfigWatcher(options);
}
