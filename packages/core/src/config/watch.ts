/**
 * Watches the configuration service by long polling and keeps the newest
 * accepted record in memory. The version only increases: records that are not
 * newer are ignored, and the last accepted record stays in use while the
 * service is unavailable, so an accepted configuration never reverts.
 */
import {request} from 'undici';
import {readBoundedText} from '../bounded-body.js';
import {waitMs} from '../clock.js';
import {MAX_BODY_BYTES} from '../http.js';
import {createLogger} from '../log.js';
import {ConfigDeltaSchema, applyDelta} from './delta.js';
import {SUPPORTED_SCHEMA_VERSIONS, resolveConfigRecord} from './record.js';
import type {Counters} from '../metrics.js';
import type {ConfigRecord} from './record.js';

/** Options of a configuration watcher. */
export interface ConfigWatcherOptions {
  /** Base URL of the configuration service, such as `http://127.0.0.1:7000`. */
  readonly url: string;
  /** Receives the `config.*` counters. */
  readonly counters: Counters;
  /**
   * Longest time that a long poll waits for a change, in ms.
   * @default 25000
   */
  readonly waitMs?: number;
  /**
   * Upper bound of the first backoff delay after a failed or ignored read, in
   * ms; doubles with each further such read, up to `backoffMaxMs`.
   * @default 100
   */
  readonly backoffMinMs?: number;
  /**
   * Longest backoff delay, in ms: half the time within which a change must be
   * in force.
   *
   * @default 4000
   */
  readonly backoffMaxMs?: number;
  /**
   * Sections of the record to read; agents, for example, need no client
   * accounts.
   * @default every section
   */
  readonly sections?: readonly string[];
}

/** Listener that is called with each accepted record. */
export type ConfigListener = (record: ConfigRecord) => void;

/** Result of one read of the configuration service. */
type ReadResult = 'accepted' | 'unchanged' | 'ignored' | 'failed';

/** Added to the wait time of a long poll to get the read timeout, in ms. */
const READ_TIMEOUT_MARGIN_MS = 5000;

/**
 * Long-running task that watches the configuration service and holds the
 * current record.
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

  /** The newest accepted record; undefined until a record is accepted. */
  get current(): ConfigRecord | undefined {
    return this.record;
  }

  /** Version of the newest accepted record; 0 until a record is accepted. */
  get version(): number {
    return this.record?.version ?? 0;
  }

  /** Registers a listener that is called with each accepted record. */
  onChange(listener: ConfigListener): void {
    this.listeners.push(listener);
  }

  /** Starts the watch loop, which runs until `stop` is called. */
  start(): void {
    if (this.running) return;
    this.running = true;
    void this.runLoop();
  }

  /** Stops the watch loop and aborts a pending read. */
  stop(): void {
    this.running = false;
    this.abort.abort();
  }

  /**
   * Reads the service once without waiting for a change. Returns whether the
   * current record is then the newest record of the service; false when the
   * read fails, or when the service returns an older or invalid record.
   */
  async confirmNewest(): Promise<boolean> {
    const result = await this.readOnce(0);
    return result === 'accepted' || result === 'unchanged';
  }

  /**
   * Offers a raw record or delta, and returns whether it is accepted as the
   * newest record.
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
      // A stale replica of the service can return an older record after a newer
      // one was accepted; accepting it would revert the configuration.
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
      // Full jitter avoids synchronized reads of many clients from a service
      // that recovers.
      await waitMs(Math.random() * backoffMs);
      backoffMs = Math.min(maxMs, backoffMs * 2);
    }
  }

  private async readOnce(wait: number): Promise<ReadResult> {
    const counters = this.options.counters;
    const query = new URLSearchParams({
      after: String(this.version),
      waitMs: String(wait),
      // The service may also hold records of schemas that this release cannot
      // read.
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
          headersTimeout: wait + READ_TIMEOUT_MARGIN_MS,
          bodyTimeout: wait + READ_TIMEOUT_MARGIN_MS,
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
      const text = await readBoundedText(response.body, MAX_BODY_BYTES);
      counters.add('config.bytes', text.length);
      return this.offer(JSON.parse(text)) ? 'accepted' : 'ignored';
    } catch {
      counters.add('config.read_failed');
      return 'failed';
    }
  }
}

/**
 * Creates a configuration watcher; `start` begins watching.
 *
 * @example
 * const watcher = createConfigWatcher({url: 'http://127.0.0.1:7000', counters});
 */
export function createConfigWatcher(
  options: ConfigWatcherOptions,
): ConfigWatcher {
  return new ConfigWatcher(options);
}
