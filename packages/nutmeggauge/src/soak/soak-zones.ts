/** Zones of the soak's targets, and their evacuations. */
import type {StoreStandin} from '@nutmeggauge/platform';

/** Zones of the targets; each has engines and a plain service. */
export const SOAK_ZONES = ['z', 'y'] as const;

/** Entry beside an evacuation that no gate may act on. */
export type EvacuationCompanion = 'malformed' | 'unknown-zone';

/** Period in which the store had the entry of an evacuated zone. */
export interface EvacuationSpan {
  readonly zone: string;
  /** When the entry was written, on the driver's monotonic clock, in ms. */
  readonly from: number;
  /** When the entry was deleted; infinite while it exists. */
  readonly to: number;
}

/** Zone and text of the entry that is written beside an evacuation. */
const COMPANIONS: Readonly<
  Record<EvacuationCompanion, {readonly zone: string; readonly text: string}>
> = {
  malformed: {zone: 'malformed', text: '{"reason":'},
  'unknown-zone': {zone: 'unknown', text: '{}'},
};

/** Chooses the zone of the target with an index. */
export function chooseZone(index: number): string {
  return SOAK_ZONES[index % SOAK_ZONES.length];
}

/**
 * Finds the zone of a target by its id.
 *
 * @example
 * findTargetZone('t3-1'); // 'y'
 */
export function findTargetZone(id: string): string {
  return chooseZone(Number(/^t(\d+)-/.exec(id)?.[1]));
}

/**
 * Writes and deletes evacuations in the store; of overlapping evacuations of a zone,
 * the last one to end deletes the entry.
 *
 * @example
 * const end = evacuations.begin(['z'], undefined);
 */
export class SoakEvacuations {
  private readonly counts = new Map<string, number>();
  private readonly openSpans = new Map<string, number>();
  private readonly closedSpans: EvacuationSpan[] = [];

  constructor(private readonly store: StoreStandin) {}

  /** Lists the periods in which a zone was evacuated. */
  listSpans(): readonly EvacuationSpan[] {
    const open = [...this.openSpans].map(([zone, from]) => ({
      zone,
      from,
      to: Infinity,
    }));
    return [...this.closedSpans, ...open];
  }

  /** Evacuates zones; returns a function that takes them back. */
  begin(
    zones: readonly string[],
    companion: EvacuationCompanion | undefined,
  ): () => void {
    if (companion !== undefined) {
      const {zone, text} = COMPANIONS[companion];
      this.store.publishEvacuation(zone, text);
    }
    for (const zone of zones) this.beginOne(zone);
    return () => {
      for (const zone of zones) this.endOne(zone);
      if (companion !== undefined)
        this.store.dropEvacuation(COMPANIONS[companion].zone);
    };
  }

  private beginOne(zone: string): void {
    const count = this.counts.get(zone) ?? 0;
    this.counts.set(zone, count + 1);
    if (count > 0) return;
    this.store.publishEvacuation(zone);
    this.openSpans.set(zone, performance.now());
  }

  private endOne(zone: string): void {
    const count = (this.counts.get(zone) ?? 0) - 1;
    this.counts.set(zone, count);
    if (count > 0) return;
    // A restored copy of the store may lack the entry, and only a written entry
    // can be deleted; gates would take the zone as evacuated until then.
    this.store.publishEvacuation(zone);
    this.store.dropEvacuation(zone);
    const from = this.openSpans.get(zone) ?? 0;
    this.openSpans.delete(zone);
    this.closedSpans.push({zone, from, to: performance.now()});
  }
}
