/**
 * The configuration record that operators publish to the platform's
 * configuration service: client accounts, pools of targets, and rules for
 * requests that must not be repeated. The field `schemaVersion` lets records of
 * an old and a new schema coexist during a migration.
 */
import {z} from 'zod';
import {ConfigRecordError} from '../errors.js';
import {describeIssues} from '../settings-text.js';

/** Schema versions that this release can read. */
export const SUPPORTED_SCHEMA_VERSIONS: readonly number[] = [1];

/** Address of an agent's JSON-RPC listener, as `host:port`. */
const AddressSchema = z
  .string()
  .regex(/^[^:\s]+:\d{1,5}$/, 'expected host:port');

export const AccountSchema = z.object({
  id: z.string().min(1),
  /** API keys of this client account. */
  keys: z.array(z.string().min(8)).min(1),
  /** Ids of the pools that this account may use. */
  pools: z.array(z.string().min(1)).min(1),
  /** Limit on requests of this account in flight at one gate. */
  maxConcurrent: z.number().int().positive().default(64),
  /**
   * Limit on the sustained request rate at one gate, in requests per second.
   */
  ratePerSecond: z.number().positive().default(50),
  /** Default deadline of requests that set none, in ms. */
  deadlineMs: z.number().int().positive().default(60_000),
});

/**
 * Desired state of an engine. Its agent sends the engine orders for settings
 * that differ.
 */
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
  /** True when the engines of this pool can resume an interrupted stream. */
  resumable: z.boolean().default(true),
  targets: z.array(TargetSchema),
});

export const RuleSchema = z.object({
  pool: z.string().min(1),
  /**
   * Operation of a plain service; when absent, the rule covers the whole pool.
   */
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

/** Returns each occurrence of a value after its first. */
function listDuplicates(values: readonly string[]): readonly string[] {
  const seen = new Set<string>();
  return values.filter(value => seen.size === seen.add(value).size);
}

interface RecordParts {
  readonly accounts: ReadonlyArray<z.output<typeof AccountSchema>>;
  readonly pools: ReadonlyArray<z.output<typeof PoolSchema>>;
  readonly rules: ReadonlyArray<z.output<typeof RuleSchema>>;
}

/**
 * Lists conflicts between fields: duplicate accounts, API keys, pools and
 * targets, and references to unknown pools.
 */
function listConflicts(record: RecordParts): readonly string[] {
  const {accounts, pools, rules} = record;
  const poolIds = pools.map(pool => pool.id);
  const knownPoolIds = new Set(poolIds);
  const keyOwners = accounts.flatMap(({id, keys}) => keys.map(() => id));
  const allKeys = accounts.flatMap(account => account.keys);
  return [
    ...listDuplicates(accounts.map(account => account.id)).map(
      id => `accounts: ${id} is listed twice`,
    ),
    // API keys are secrets, so the message names the account, not the key.
    ...listDuplicates(allKeys).map(
      key =>
        `accounts: a key of ${keyOwners[allKeys.lastIndexOf(key)]} is listed twice`,
    ),
    ...listDuplicates(poolIds).map(id => `pools: ${id} is listed twice`),
    ...pools.flatMap(pool =>
      listDuplicates(pool.targets.map(target => target.id)).map(
        id => `pools.${pool.id}: target ${id} is listed twice`,
      ),
    ),
    ...accounts.flatMap(account =>
      account.pools
        .filter(pool => !knownPoolIds.has(pool))
        .map(pool => `accounts.${account.id}: no pool ${pool}`),
    ),
    ...rules
      .filter(rule => !knownPoolIds.has(rule.pool))
      .map(rule => `rules: no pool ${rule.pool}`),
  ];
}

/**
 * Validates a raw configuration record and fills in defaults.
 *
 * @throws ConfigRecordError when the schema version is not supported or a field
 *   is invalid.
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
 * Returns whether a request to `pool` (and `op`, for plain services) may run at
 * most once.
 *
 * @example
 * isNotRepeatable(record, 'orders', 'place-order'); // true when a rule covers it
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
