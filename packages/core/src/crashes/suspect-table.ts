/** Bounded collection of suspect features, found by their ids. */
import {isPartId, readOutline} from './fingerprint.js';
import {SuspectContent} from './suspect-content.js';
import {SuspectPart} from './suspect-part.js';
import type {Fingerprint} from './fingerprint.js';
import type {SuspectFeature} from './suspect-feature.js';

/** Maximum number of remembered features. */
const MAX_FEATURES = 1024;

/** Number of features that a full table drops at once. */
const DROP_COUNT = 64;

/**
 * Suspect features of requests.
 *
 * @example
 * table.findOrAdd(fingerprint.id);
 * table.findContent(fingerprint)?.isRefused;
 */
export class SuspectTable {
  private readonly byId = new Map<string, SuspectFeature>();
  /** Number of contents by their outline. */
  private readonly outlines = new Map<string, number>();
  private partCount = 0;

  /** Number of features. */
  get size(): number {
    return this.byId.size;
  }

  /**
   * Finds the content of a request. Reads the body of the request only if a
   * content agrees in everything else.
   */
  findContent(fingerprint: Fingerprint): SuspectFeature | undefined {
    if (this.outlines.size === 0) return undefined;
    if (!this.outlines.has(fingerprint.outline)) return undefined;
    return this.byId.get(fingerprint.id);
  }

  /** Finds the parts of the prompt of a request. */
  findParts({partIds}: Fingerprint): readonly SuspectFeature[] {
    if (this.partCount === 0) return [];
    return partIds.flatMap(id => this.byId.get(id) ?? []);
  }

  /** Finds a feature by its id. */
  find(id: string): SuspectFeature | undefined {
    return this.byId.get(id);
  }

  /**
   * Finds a feature by its id, or adds it. A full table drops its oldest features
   * without crashes, else without a refusal, else at all.
   */
  findOrAdd(id: string): SuspectFeature {
    const known = this.byId.get(id);
    if (known !== undefined) return known;
    if (this.byId.size >= MAX_FEATURES) this.dropLeastImportant();
    const isPart = isPartId(id);
    const feature = isPart ? new SuspectPart(id) : new SuspectContent(id);
    this.byId.set(id, feature);
    if (isPart) this.partCount++;
    else this.countOutline(id, 1);
    return feature;
  }

  /** Drops a feature. */
  drop({id}: SuspectFeature): void {
    if (!this.byId.delete(id)) return;
    if (isPartId(id)) this.partCount--;
    else this.countOutline(id, -1);
  }

  /** Lists all features. */
  list(): readonly SuspectFeature[] {
    return [...this.byId.values()];
  }

  /** Lists refused features first, those without crashes last, then newer first. */
  listByImportance(): readonly SuspectFeature[] {
    const ranked = this.list().map(feature => ({
      feature,
      rank: rankFeature(feature),
      changedAt: feature.changedAt,
    }));
    ranked.sort((a, b) => b.rank - a.rank || b.changedAt - a.changedAt);
    return ranked.map(({feature}) => feature);
  }

  /** Lists the parts with crashes. */
  listParts(): readonly SuspectPart[] {
    if (this.partCount === 0) return [];
    return this.list()
      .filter(feature => feature instanceof SuspectPart)
      .filter(({hasCrashes}) => hasCrashes);
  }

  /** Lists the parts with crashes, those of the most servers first. */
  listPartsByCrashes(): readonly SuspectPart[] {
    return this.listParts()
      .map(part => ({part, count: part.targets.length}))
      .sort((a, b) => b.count - a.count)
      .map(({part}) => part);
  }

  /** Lists refused features. */
  listRefused(): readonly SuspectFeature[] {
    return this.list().filter(({isRefused}) => isRefused);
  }

  private dropLeastImportant(): void {
    for (const feature of this.listByImportance().slice(-DROP_COUNT))
      this.drop(feature);
  }

  private countOutline(id: string, change: number): void {
    const outline = readOutline(id);
    const count = (this.outlines.get(outline) ?? 0) + change;
    if (count > 0) this.outlines.set(outline, count);
    else this.outlines.delete(outline);
  }
}

function rankFeature(feature: SuspectFeature): number {
  if (feature.isRefused) return 2;
  return feature.hasCrashes ? 1 : 0;
}
