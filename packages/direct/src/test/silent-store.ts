/** Store that may stop answering; calls that it has taken by then stay unanswered. */
import {StoreUnavailableError} from '../errors.js';
import {FactStore} from '../ports.js';
import {buildPosition} from './build-target.js';
import type {FactPosition} from '../fleet/fact-position.js';
import type {FactChanges, FactSnapshot} from '../ports.js';
import type {FleetConfig} from '../types.js';

interface PendingWatch {
  readonly answer: () => void;
}

/**
 * Store of one configuration.
 *
 * @example
 * const store = new SilentStore(buildConfig(1));
 * store.setSilent(true);
 */
export class SilentStore extends FactStore {
  private isSilent = false;
  private revision = 1;
  private readonly watches = new Set<PendingWatch>();

  constructor(private config: FleetConfig) {
    super();
  }

  /** Makes the store answer nothing, or answer new calls again. */
  setSilent(isSilent: boolean): void {
    this.isSilent = isSilent;
    // Calls that were taken before are never answered.
    this.watches.clear();
  }

  /** Publishes a configuration. */
  publishConfig(config: FleetConfig): void {
    this.config = config;
    this.revision++;
    for (const {answer} of [...this.watches]) answer();
  }

  override readSnapshot(timeoutMs: number): Promise<FactSnapshot> {
    if (this.isSilent) return this.waitAndReject(timeoutMs);
    return Promise.resolve({
      position: buildPosition(this.revision),
      config: this.config,
      targets: [],
      malformed: [],
    });
  }

  override waitForChanges(
    {revision}: FactPosition,
    waitMs: number,
    timeoutMs: number,
  ): Promise<FactChanges> {
    if (this.isSilent) return this.waitAndReject(timeoutMs);
    if (revision < this.revision) return Promise.resolve(this.buildChanges());
    return new Promise((resolve, reject) => {
      const watch: PendingWatch = {
        answer: () => {
          clearTimeout(failTimer);
          this.watches.delete(watch);
          resolve(this.buildChanges());
        },
      };
      const failTimer = setTimeout(
        () => reject(new StoreUnavailableError('no answer')),
        timeoutMs,
      );
      setTimeout(() => {
        if (this.watches.has(watch)) watch.answer();
      }, waitMs);
      this.watches.add(watch);
    });
  }

  private buildChanges(): FactChanges {
    return {
      position: buildPosition(this.revision),
      changes: [{kind: 'config', config: this.config}],
    };
  }

  private waitAndReject(ms: number): Promise<never> {
    return new Promise((_, reject) =>
      setTimeout(() => reject(new StoreUnavailableError('no answer')), ms),
    );
  }
}
