/** In-memory store of facts whose outages are controlled by a test. */
import {HistoryLostError, StoreUnavailableError} from '../errors.js';
import {FactStore} from '../ports.js';
import {buildPosition} from './build-target.js';
import type {FactPosition} from '../fleet/fact-position.js';
import type {FactChange, FactChanges, FactSnapshot} from '../ports.js';
import type {FleetConfig, Target} from '../types.js';

interface LoggedChange {
  readonly revision: number;
  readonly change: FactChange;
}

/**
 * Store whose facts and outages are set by a test.
 *
 * @example
 * const store = new FakeStore();
 * store.publishTarget(target);
 */
export class FakeStore extends FactStore {
  isDown = false;
  /** Number of received calls, answered or failed. */
  calls = 0;
  private revision = 1;
  private config: FleetConfig | undefined;
  private readonly targets = new Map<string, Target>();
  private readonly evacuations = new Map<string, FactPosition>();
  private history: LoggedChange[] = [];
  private readonly waiters = new Set<() => void>();

  /** True while a gate waits for changes. */
  get isWatched(): boolean {
    return this.waiters.size > 0;
  }

  /** Publishes a configuration. */
  publishConfig(config: FleetConfig): void {
    this.config = config;
    this.record({kind: 'config', config});
  }

  /** Publishes a target at the next revision, whatever its own position is. */
  publishTarget(target: Target): void {
    const position = buildPosition(this.revision + 1);
    const stored = {...target, position};
    this.targets.set(target.id, stored);
    this.record({kind: 'target', target: stored});
  }

  /** Removes the entry of a target. */
  dropTarget(id: string): void {
    this.targets.delete(id);
    this.record({
      kind: 'target-gone',
      name: id,
      position: buildPosition(this.revision + 1),
      isMalformed: false,
    });
  }

  /** Writes the evacuation of a zone. */
  publishEvacuation(zone: string): void {
    const position = buildPosition(this.revision + 1);
    this.evacuations.set(zone, position);
    this.record({kind: 'zone-evacuated', zone, position});
  }

  /** Deletes the evacuation of a zone. */
  dropEvacuation(zone: string): void {
    const position = buildPosition(this.revision + 1);
    this.evacuations.delete(zone);
    this.record({kind: 'zone-restored', zone, position});
  }

  /** Drops the history, so that watchers must read a full snapshot again. */
  dropHistory(): void {
    this.history = [];
    this.notify();
  }

  override async readSnapshot(): Promise<FactSnapshot> {
    this.calls++;
    if (this.isDown) throw new StoreUnavailableError('down');
    return {
      position: buildPosition(this.revision),
      config: this.config,
      targets: [...this.targets.values()],
      malformed: [],
      evacuations: [...this.evacuations].map(([zone, position]) => ({
        zone,
        position,
      })),
    };
  }

  override async waitForChanges(
    {revision: after}: FactPosition,
    waitMs: number,
  ): Promise<FactChanges> {
    this.calls++;
    if (this.isDown) throw new StoreUnavailableError('down');
    if (this.revision === after) await this.waitForNotification(waitMs);
    if (this.isDown) throw new StoreUnavailableError('down');
    const oldest = this.history[0]?.revision ?? this.revision + 1;
    if (this.revision > after && oldest > after + 1)
      throw new HistoryLostError('history dropped');
    return {
      position: buildPosition(this.revision),
      changes: this.history
        .filter(logged => logged.revision > after)
        .map(logged => logged.change),
    };
  }

  private waitForNotification(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        this.waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      timer.unref();
      this.waiters.add(finish);
    });
  }

  private record(change: FactChange): void {
    this.revision++;
    this.history.push({revision: this.revision, change});
    this.notify();
  }

  private notify(): void {
    for (const waiter of [...this.waiters]) waiter();
  }
}
