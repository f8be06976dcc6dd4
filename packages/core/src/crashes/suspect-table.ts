/** Bounded collection of suspect requests, found by fingerprint. */
import {readOutline} from './fingerprint.js';
import {SuspectRequest} from './suspect-request.js';
import type {Fingerprint} from './fingerprint.js';

/** Maximum number of remembered contents. */
const MAX_CONTENTS = 1024;

/**
 * Suspect requests by their content.
 *
 * @example
 * table.findOrAdd(fingerprint.id);
 * table.find(fingerprint)?.isRefused;
 */
export class SuspectTable {
  private readonly byContent = new Map<string, SuspectRequest>();
  /** Number of contents by their outline. */
  private readonly outlines = new Map<string, number>();

  /** Number of contents. */
  get size(): number {
    return this.byContent.size;
  }

  /**
   * Finds a content by the fingerprint of a request. Reads the body of the request
   * only if a content agrees in everything else.
   */
  find(fingerprint: Fingerprint): SuspectRequest | undefined {
    if (this.byContent.size === 0) return undefined;
    if (!this.outlines.has(fingerprint.outline)) return undefined;
    return this.byContent.get(fingerprint.id);
  }

  /** Finds a content by its id. */
  findContent(content: string): SuspectRequest | undefined {
    return this.byContent.get(content);
  }

  /**
   * Finds a content by its id, or adds it. A full table drops its oldest content
   * without crashes, else without a refusal, else at all.
   */
  findOrAdd(content: string): SuspectRequest {
    const known = this.byContent.get(content);
    if (known !== undefined) return known;
    if (this.byContent.size >= MAX_CONTENTS) this.dropLeastImportant();
    const suspect = new SuspectRequest(content);
    this.byContent.set(content, suspect);
    const outline = readOutline(content);
    this.outlines.set(outline, (this.outlines.get(outline) ?? 0) + 1);
    return suspect;
  }

  /** Drops a content. */
  drop({content}: SuspectRequest): void {
    this.byContent.delete(content);
    const outline = readOutline(content);
    const left = (this.outlines.get(outline) ?? 1) - 1;
    if (left > 0) this.outlines.set(outline, left);
    else this.outlines.delete(outline);
  }

  /** Lists all contents. */
  list(): readonly SuspectRequest[] {
    return [...this.byContent.values()];
  }

  /** Lists refused contents first, those without crashes last, then newer first. */
  listByImportance(): readonly SuspectRequest[] {
    return [...this.byContent.values()].sort(compareSuspects);
  }

  /** Lists refused contents. */
  listRefused(): readonly SuspectRequest[] {
    return this.list().filter(({isRefused}) => isRefused);
  }

  private dropLeastImportant(): void {
    const least = this.listByImportance().at(-1);
    if (least !== undefined) this.drop(least);
  }
}

function compareSuspects(a: SuspectRequest, b: SuspectRequest): number {
  return rankSuspect(b) - rankSuspect(a) || b.changedAt - a.changedAt;
}

function rankSuspect({isRefused, targets}: SuspectRequest): number {
  if (isRefused) return 2;
  return targets.length > 0 ? 1 : 0;
}
