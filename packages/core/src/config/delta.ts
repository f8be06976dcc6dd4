/**
 * Deltas between two configuration records. A watch request names the version
 * that the client holds, and the response contains only the changed items,
 * because a complete record is large.
 */
import {z} from 'zod';

/** Sections of a record whose items are identified by `id`. */
export const DELTA_SECTIONS = ['accounts', 'pools'] as const;

const SectionChangesSchema = z.object({
  /** Complete items that are added or changed. */
  put: z.array(z.looseObject({id: z.string()})).default([]),
  /** Ids of items that are removed. */
  remove: z.array(z.string()).default([]),
});

export const ConfigDeltaSchema = z.object({
  /** Version of the record that the delta applies to. */
  base: z.number().int().positive(),
  version: z.number().int().positive(),
  schemaVersion: z.number().int().positive(),
  accounts: SectionChangesSchema.prefault({}),
  pools: SectionChangesSchema.prefault({}),
  /** All rules, when any rule has changed; absent otherwise. */
  rules: z.array(z.unknown()).optional(),
});

export type ConfigDelta = z.output<typeof ConfigDeltaSchema>;

type Item = Readonly<Record<string, unknown>>;
type RawRecord = Readonly<Record<string, unknown>>;

function readItems(record: RawRecord, section: string): readonly Item[] {
  const items = record[section];
  return Array.isArray(items) ? (items as Item[]) : [];
}

/**
 * Builds the delta that turns the record `from` into the record `to`.
 *
 * @example
 * buildDelta({version: 1, ...}, {version: 2, ...}).accounts.put; // changed accounts
 */
export function buildDelta(from: RawRecord, to: RawRecord): object {
  const sections = DELTA_SECTIONS.map(section => {
    const before = new Map(
      readItems(from, section).map(item => [item.id, JSON.stringify(item)]),
    );
    const after = readItems(to, section);
    const kept = new Set(after.map(item => item.id));
    return [
      section,
      {
        put: after.filter(item => before.get(item.id) !== JSON.stringify(item)),
        remove: [...before.keys()].filter(id => !kept.has(id)),
      },
    ] as const;
  });
  const rulesChanged = JSON.stringify(from.rules) !== JSON.stringify(to.rules);
  return {
    base: from.version,
    version: to.version,
    schemaVersion: to.schemaVersion,
    ...Object.fromEntries(sections),
    ...(rulesChanged ? {rules: to.rules ?? []} : {}),
  };
}

/**
 * Applies a delta to a record.
 *
 * @returns The new raw record, or undefined when `record` does not have the
 *   base version of the delta.
 * @example
 * const next = applyDelta(current, delta);
 */
export function applyDelta(
  record: RawRecord,
  delta: ConfigDelta,
): RawRecord | undefined {
  if (record.version !== delta.base) return undefined;
  const sections = DELTA_SECTIONS.map(section => {
    const items = new Map(
      readItems(record, section).map(item => [item.id, item]),
    );
    for (const id of delta[section].remove) items.delete(id);
    for (const item of delta[section].put) items.set(item.id, item);
    return [section, [...items.values()]] as const;
  });
  return {
    ...record,
    ...Object.fromEntries(sections),
    version: delta.version,
    schemaVersion: delta.schemaVersion,
    ...(delta.rules === undefined ? {} : {rules: delta.rules}),
  };
}
