/** Targets of the soak: stand-ins, each behind a faulty link. */
import {ColdLoad, LONG_SERVICE, TargetStandin} from '@nutmeggauge/platform';
import {COLD_START} from './cold-starts.js';
import {FaultyLink} from './faulty-link.js';
import {SOAK_ZONES, chooseZone} from './soak-zones.js';
import type {
  ColdPeak,
  StoreStandin,
  TargetRefusal,
  TargetReservation,
  TargetRun,
} from '@nutmeggauge/platform';
import type {NamedLimit, PublishedFact, TargetCrash} from './history.js';

/** Index of the first plain service; targets with a lower index are engines. */
const FIRST_PLAIN_TARGET = 4;

/** Number of engines of long streams, after all other targets. */
const LONG_ENGINES = 4;

/** Index of the engine that names a limit for a while. */
const LIMITED_ENGINE = 0;

/** Time until the store entry of a killed target expires, in ms. */
const ENTRY_EXPIRY_MS = 1500;

/** Time for which a draining target still serves requests, in ms. */
const DRAIN_MS = 3500;

/** What the targets of a soak have beside their services. */
export interface SoakTargetOptions {
  /** Limit that two targets name, in requests per second; 0 for none. */
  readonly limit: number;
  /**
   * Whether the targets are in several zones, not in one.
   *
   * @default false
   */
  readonly hasZones?: boolean;
  /**
   * Whether targets that replace others are cold for a while.
   *
   * @default false
   */
  readonly hasColdStarts?: boolean;
  /**
   * Whether there are engines of long streams.
   *
   * @default false
   */
  readonly hasLongStreams?: boolean;
}

/** Current target at one index; a replacement target takes the same index. */
interface TargetSlot {
  standin: TargetStandin;
  link: FaultyLink;
}

/**
 * Starts, replaces and ends the targets of one soak.
 *
 * @example
 * const targets = new SoakTargets(store, published, {limit: 0});
 * await targets.start(6);
 */
export class SoakTargets {
  readonly runs: TargetRun[] = [];
  readonly refusals: TargetRefusal[] = [];
  readonly crashes: TargetCrash[] = [];
  readonly limits = new Map<string, NamedLimit>();
  private readonly slots: TargetSlot[] = [];
  private readonly replacedTargets: TargetStandin[] = [];
  private readonly coldLoads: ColdLoad[] = [];
  private lastTargetNumber = 0;
  private isEngineLimitOver = false;
  private isClosed = false;
  private firstLongTarget = Infinity;

  /**
   * @param published - List to which each drain that the store learns is added.
   */
  constructor(
    private readonly store: StoreStandin,
    private readonly published: PublishedFact[],
    private readonly options: SoakTargetOptions,
  ) {}

  /** Starts all targets. */
  async start(count: number): Promise<void> {
    this.firstLongTarget = count;
    const longEngines = this.options.hasLongStreams ? LONG_ENGINES : 0;
    for (let i = 0; i < count + longEngines; i++)
      this.slots.push(await this.startTarget(i));
  }

  /** Lets no further target appear in the store. */
  markClosed(): void {
    this.isClosed = true;
  }

  /** Ends all targets. */
  async stop(): Promise<void> {
    for (const {standin, link} of this.slots) {
      link.stop();
      await standin.stop();
    }
  }

  /** Lists the most requests in one second of each target that started cold. */
  listColdPeaks(): readonly ColdPeak[] {
    return this.coldLoads.map(({peak}) => peak);
  }

  /** Finds the link in front of a target. */
  findLink(index: number): FaultyLink {
    return this.slots[index].link;
  }

  /** Ends the limit of the engine that names one; the plain service keeps its. */
  endEngineLimit(): void {
    this.isEngineLimitOver = true;
    const {standin} = this.slots[LIMITED_ENGINE];
    const limit = this.limits.get(standin.id);
    if (limit === undefined) return;
    standin.announced.limit = undefined;
    this.limits.set(standin.id, {...limit, endedAt: performance.now()});
  }

  /**
   * Lists KV cache reservations held at any target, including replaced targets.
   */
  listHeldReservations(): readonly string[] {
    const now = performance.now();
    return this.listStandins().flatMap(({id, tickets}) =>
      tickets.listHeld(now).map(ticket => `${id}/${ticket}`),
    );
  }

  /** Lists the first order of every reservation at any target. */
  listReservations(): readonly TargetReservation[] {
    return this.listStandins().flatMap(({tickets}) =>
      tickets.listReservations(),
    );
  }

  private listStandins(): readonly TargetStandin[] {
    return [...this.slots.map(({standin}) => standin), ...this.replacedTargets];
  }

  /** Sets how a target responds; returns a function that makes it sound again. */
  setMode(index: number, mode: TargetStandin['mode']): () => void {
    const {standin} = this.slots[index];
    standin.mode = mode;
    return () => (standin.mode = 'sound');
  }

  /** Makes a target refuse most requests and ask for rest until the end. */
  setRest(index: number, restMs: number): () => void {
    const {announced} = this.slots[index].standin;
    announced.restMs = restMs;
    return () => (announced.restMs = undefined);
  }

  /**
   * Makes a target say in its answers that it leaves. The store learns it at the
   * end, unless the target has been replaced.
   */
  announceLeave(index: number): () => void {
    const {standin} = this.slots[index];
    standin.announced.isLeaving = true;
    return () => {
      if (this.slots[index].standin === standin) this.drain(index);
    };
  }

  private async startTarget(index: number): Promise<TargetSlot> {
    const id = `t${index}-${++this.lastTargetNumber}`;
    const standin = new TargetStandin(
      id,
      this.runs,
      content => this.endTarget(index, id, content),
      this.refusals,
    );
    const isLimited =
      index === FIRST_PLAIN_TARGET ||
      (index === LIMITED_ENGINE && !this.isEngineLimitOver);
    const {limit} = this.options;
    if (limit > 0 && isLimited) {
      standin.announced.limit = String(limit);
      this.limits.set(id, {
        perSecond: limit,
        knownAt: performance.now(),
      });
    }
    const link = new FaultyLink(await standin.start());
    const port = await link.start();
    if (!this.isClosed)
      this.store.publishServer(id, {
        service: this.chooseService(index),
        address: `127.0.0.1:${port}`,
        zone: this.chooseZone(index),
        state: 'ready',
        coldRemainingMs: this.beginColdTime(index, standin),
      });
    return {standin, link};
  }

  /** Makes a replacement cold; returns for how long, in ms, if it is. */
  private beginColdTime(
    index: number,
    standin: TargetStandin,
  ): number | undefined {
    if (!this.options.hasColdStarts || this.slots[index] === undefined)
      return undefined;
    const ms = COLD_START.durationS * 1000;
    standin.coldLoad = new ColdLoad(standin.id, performance.now() + ms);
    this.coldLoads.push(standin.coldLoad);
    return ms;
  }

  /** Ends a target under a request and replaces it. */
  private endTarget(index: number, id: string, content: string): void {
    if (this.isClosed || this.slots[index].standin.id !== id) return;
    this.crashes.push({content, at: performance.now()});
    this.kill(index);
  }

  /** Kills a target without a drain and replaces it. */
  kill(index: number): void {
    const {standin, link} = this.slots[index];
    this.replacedTargets.push(standin);
    link.stop();
    void standin.stop();
    setTimeout(() => this.store.dropServer(standin.id), ENTRY_EXPIRY_MS);
    void this.replaceTarget(index);
  }

  /** Drains a target and replaces it; it says so in its answers too. */
  drain(index: number): void {
    const {standin, link} = this.slots[index];
    standin.announced.isLeaving = true;
    this.replacedTargets.push(standin);
    this.store.publishServer(standin.id, {
      service: this.chooseService(index),
      address: '127.0.0.1:1',
      zone: this.chooseZone(index),
      state: 'draining',
    });
    this.published.push({
      kind: 'target-draining',
      id: standin.id,
      at: performance.now(),
    });
    setTimeout(() => {
      this.store.dropServer(standin.id);
      link.stop();
      void standin.stop();
    }, DRAIN_MS);
    void this.replaceTarget(index);
  }

  private chooseService(index: number): string {
    if (index >= this.firstLongTarget) return LONG_SERVICE;
    return index < FIRST_PLAIN_TARGET ? 'chat' : 'orders';
  }

  private chooseZone(index: number): string {
    return this.options.hasZones ? chooseZone(index) : SOAK_ZONES[0];
  }

  private async replaceTarget(index: number): Promise<void> {
    this.slots[index] = await this.startTarget(index);
  }
}
