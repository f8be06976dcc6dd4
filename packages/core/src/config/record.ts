/**
 * The configuration record that operators publish to the platform's
 * configuration service: client accounts, model pools and the rules for
 * requests that may never be repeated. Records carry `schemaVersion` so that
 * old and new records can live side by side during a change.
 */
import {z} from 'zod';
import {ConfigRecordError} from '../errors.js';
import {describeIssues} from '../settings-text.js';

/** Schema versions this release can read. */
export const SUPPORTED_SCHEMA_VERSIONS: readonly number[] = [1];

/** A `host:port` address of an agent's json-rpc listener. */
const AddressSchema = z
  .string()
  .regex(/^[^:\s]+:\d{1,5}$/, 'expected host:port');

export const AccountSchema = z.object({
  id: z.string().min(1),
  /** API keys that authenticate this client account. */
  keys: z.array(z.string().min(8)).min(1),
  /** Model pools or plain services this account may use. */
  pools: z.array(z.string().min(1)).min(1),
  /** Most requests of this account in flight at one gate. */
  maxConcurrent: z.number().int().positive().default(64),
  /** Sustained requests a second at one gate. */
  ratePerSecond: z.number().positive().default(50),
  /** Deadline applied when the caller gives none, in ms. */
  deadlineMs: z.number().int().positive().default(60_000),
});

/** The state that operators want an engine in; its agent orders what differs. */
export const EngineStateSchema = z.object({
  model: z.string().min(1).optional(),
  adapters: z.array(z.string().min(1)).optional(),
  role: z.enum(['prefill', 'decode', 'both']).optional(),
});

export const TargetSchema = z.object({
  id: z.string().min(1),
  agent: AddressSchema,
  zone: z.string().min(1),
  desired: EngineStateSchema.optional(),
});

export const PoolSchema = z.object({
  id: z.string().min(1),
  kind: z.enum(['engine', 'plain']),
  /** True when the pool's engines can go on with an interrupted stream. */
  resumable: z.boolean().default(true),
  targets: z.array(TargetSchema),
});

export const RuleSchema = z.object({
  pool: z.string().min(1),
  /** Operation of a plain service; absent means every request of the pool. */
  op: z.string().min(1).optional(),
  notRepeatable: z.literal(true),
});

export const ConfigRecordSchema = z
  .object({
    version: z.number().int().positive(),
    schemaVersion: z.number().int().positive(),
    accounts: z.array(AccountSchema),
    pools: z.array(PoolSchema),
    rules: z.array(RuleSchema).default([]),
  })
  .superRefine((record, context) => {
    for (const message of listConflicts(record))
      context.addIssue({code: 'custom', message});
  });

export type Account = z.output<typeof AccountSchema>;
export type EngineState = Readonly<z.output<typeof EngineStateSchema>>;
export type Target = z.output<typeof TargetSchema>;
export type Pool = z.output<typeof PoolSchema>;
export type Rule = z.output<typeof RuleSchema>;
export type ConfigRecord = Readonly<z.output<typeof ConfigRecordSchema>>;

/** Lists values that occur more than once. */
function listDoubles(values: readonly string[]): readonly string[] {
  const seen = new Set<string>();
  return values.filter(value => seen.size === seen.add(value).size);
}

interface RecordParts {
  readonly accounts: ReadonlyArray<z.output<typeof AccountSchema>>;
  readonly pools: ReadonlyArray<z.output<typeof PoolSchema>>;
  readonly rules: ReadonlyArray<z.output<typeof RuleSchema>>;
}

/**
 * Lists conflicts between fields: a key or target that occurs twice, or a pool
 * that does not exist.
 */
function listConflicts(record: RecordParts): readonly string[] {
  const {accounts, pools, rules} = record;
  const poolIds = pools.map(pool => pool.id);
  const known = new Set(poolIds);
  const keyOwners = accounts.flatMap(({id, keys}) => keys.map(() => id));
  const allKeys = accounts.flatMap(account => account.keys);
  return [
    ...listDoubles(accounts.map(account => account.id)).map(
      id => `accounts: ${id} is listed twice`,
    ),
    // Keys are secrets, so the message names the account.
    ...listDoubles(allKeys).map(
      key =>
        `accounts: a key of ${keyOwners[allKeys.lastIndexOf(key)]} is held twice`,
    ),
    ...listDoubles(poolIds).map(id => `pools: ${id} is listed twice`),
    ...pools.flatMap(pool =>
      listDoubles(pool.targets.map(target => target.id)).map(
        id => `pools.${pool.id}: target ${id} is listed twice`,
      ),
    ),
    ...accounts.flatMap(account =>
      account.pools
        .filter(pool => !known.has(pool))
        .map(pool => `accounts.${account.id}: no pool ${pool}`),
    ),
    ...rules
      .filter(rule => !known.has(rule.pool))
      .map(rule => `rules: no pool ${rule.pool}`),
  ];
}

/**
 * Validates a record read from the configuration service.
 *
 * @throws ConfigRecordError when the schema version is unknown or a field is bad.
 * @example
 * const record = resolveConfigRecord(await response.body.json());
 */
export function resolveConfigRecord(raw: unknown): ConfigRecord {
  const schemaVersion = (raw as {schemaVersion?: unknown} | null)
    ?.schemaVersion;
  if (
    typeof schemaVersion !== 'number' ||
    !SUPPORTED_SCHEMA_VERSIONS.includes(schemaVersion)
  ) {
    throw new ConfigRecordError(
      {info: {schemaVersion}},
      `schemaVersion ${String(schemaVersion)} is not one of ${SUPPORTED_SCHEMA_VERSIONS.join(', ')}`,
    );
  }
  const result = ConfigRecordSchema.safeParse(raw);
  if (!result.success) {
    throw new ConfigRecordError(
      {info: {issues: result.error.issues}},
      describeIssues(result.error.issues),
    );
  }
  return result.data;
}

/**
 * Tells whether a request to `pool` (and `op`, for plain services) may run at most once.
 *
 * @example
 * isNotRepeatable(record, 'orders', 'place-order'); // true when a rule says so
 */
export function isNotRepeatable(
  record: ConfigRecord,
  pool: string,
  op?: string,
): boolean {
  return record.rules.some(
    rule => rule.pool === pool && (rule.op === undefined || rule.op === op),
  );
}
