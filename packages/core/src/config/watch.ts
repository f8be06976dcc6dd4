/**
 * Watches the configuration service with long polls and keeps the newest
 * accepted record in memory. Versions only move forward: a stale or older
 * record is ignored, and the last good record is kept while the service is
 * down, so an accepted configuration never reverts.
 */
import {request} from 'undici';
import {waitMs} from '../clock.js';
import {createLogger} from '../log.js';
import {ConfigDeltaSchema, applyDelta} from './delta.js';
import {SUPPORTED_SCHEMA_VERSIONS, resolveConfigRecord} from './record.js';
import type {Counters} from '../metrics.js';
import type {ConfigRecord} from './record.js';

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
   * Longest pause between failed reads, in ms: half the time in which a change
   * must be in force.
   *
   * @default 4000
   */
  readonly backoffMaxMs?: number;
  /**
   * Sections of the record to read; an agent needs no client accounts.
   * @default every section
   */
  readonly sections?: readonly string[];
}

/** Listener called with each newly accepted record. */
export type ConfigListener = (record: ConfigRecord) => void;

/** How one read of the service ended. */
type ReadResult = 'accepted' | 'unchanged' | 'ignored' | 'failed';

/** Slack on top of the service's own wait before a read counts as lost, in ms. */
const READ_SLACK_MS = 5000;

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

  /** Version of the newest accepted record; 0 before the first one. */
  get version(): number {
    return this.record?.version ?? 0;
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
   * Reads the service once without waiting, and tells whether the record now
   * held is the newest one the service knows. False when the service cannot
   * be read or serves a record older than the one held.
   */
  async confirmNewest(): Promise<boolean> {
    const result = await this.readOnce(0);
    return result === 'accepted' || result === 'unchanged';
  }

  /**
   * Offers a raw record or delta; returns true when it is accepted as the
   * newest. Exposed so that tests can drive the acceptance rule directly.
   */
  offer(raw: unknown): boolean {
    const counters = this.options.counters;
    let record: ConfigRecord;
    try {
      record = resolveConfigRecord(this.toWholeRecord(raw));
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

  private toWholeRecord(raw: unknown): unknown {
    if ((raw as {base?: unknown} | null)?.base === undefined) return raw;
    const delta = ConfigDeltaSchema.safeParse(raw);
    if (!delta.success || this.record === undefined) return undefined;
    return applyDelta(this.record, delta.data);
  }

  private async runLoop(): Promise<void> {
    const minMs = this.options.backoffMinMs ?? 100;
    const maxMs = this.options.backoffMaxMs ?? 4000;
    let backoffMs = minMs;
    while (this.running) {
      const result = await this.readOnce(this.options.waitMs ?? 25_000);
      if (result === 'accepted' || result === 'unchanged') {
        backoffMs = minMs;
        continue;
      }
      if (!this.running) return;
      // Full jitter keeps many readers from hitting a recovering service in step.
      await waitMs(Math.random() * backoffMs);
      backoffMs = Math.min(maxMs, backoffMs * 2);
    }
  }

  private async readOnce(wait: number): Promise<ReadResult> {
    const counters = this.options.counters;
    const query = new URLSearchParams({
      after: String(this.version),
      waitMs: String(wait),
      // Records of newer schemas may stand beside those this release reads.
      schemas: SUPPORTED_SCHEMA_VERSIONS.join(','),
    });
    if (this.options.sections !== undefined)
      query.set('sections', this.options.sections.join(','));
    counters.add('config.reads');
    try {
      const response = await request(
        `${this.options.url}/v1/records/current?${query.toString()}`,
        {
          signal: this.abort.signal,
          headersTimeout: wait + READ_SLACK_MS,
          bodyTimeout: wait + READ_SLACK_MS,
        },
      );
      if (response.statusCode === 304) {
        await response.body.dump();
        return 'unchanged';
      }
      if (response.statusCode !== 200) {
        await response.body.dump();
        counters.add('config.read_failed');
        return 'failed';
      }
      const text = await response.body.text();
      counters.add('config.bytes', text.length);
      return this.offer(JSON.parse(text)) ? 'accepted' : 'ignored';
    } catch {
      counters.add('config.read_failed');
      return 'failed';
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
