/**
 * Settings of `nutmeggauge-agent`, read from YAML and validated with zod.
 */
import {SHORT_MAX_TOKENS} from '@nutmeggauge/core';
import {z} from 'zod';

export const AgentSettingsSchema = z.object({
  /** Id of this agent, and of its target in configuration records. */
  id: z.string().min(1),
  /** Availability zone of the target host. */
  zone: z.string().min(1),
  /** Address of the JSON-RPC listener that gates connect to. */
  listen: z.object({
    host: z.string().min(1).default('127.0.0.1'),
    port: z.number().int().min(0).max(65535),
  }),
  /** Local target that this agent forwards requests to. */
  target: z.object({
    kind: z.enum(['engine', 'plain']),
    url: z.url(),
  }),
  lanes: z
    .object({
      /** Longest prompt that goes to the short lane, in tokens. */
      shortMaxTokens: z.number().int().positive().default(SHORT_MAX_TOKENS),
      /** Whether the engine is asked to prefill shorter prompts first. */
      prioritize: z.boolean().default(true),
      /** Maximum number of short requests in flight at the target. */
      shortSlots: z.number().int().positive().default(48),
      /** Maximum number of long requests in flight at the target. */
      longSlots: z.number().int().positive().default(16),
    })
    .prefault({}),
  /**
   * Configuration service to watch; if absent, the record version of keyed
   * requests is not checked.
   */
  configService: z
    .object({
      url: z.url(),
      /** Long-poll timeout of one watch request, in ms. */
      waitMs: z.number().int().positive().default(25_000),
    })
    .optional(),
  ledger: z
    .object({
      /**
       * True only at the first start of the whole system, when no earlier
       * process of this agent can have run a request. Must be left out in any
       * other case: a key that ran before a restart could run again.
       */
      bootstrap: z.boolean().default(false),
      /** Time for which a caller's idempotency key is honoured, in ms. */
      retainMs: z.number().int().positive().default(900_000),
      /**
       * Maximum number of keys in the ledger; requests with further keys are
       * refused as not run.
       */
      maxEntries: z.number().int().positive().default(50_000),
    })
    .prefault({}),
  /**
   * Time for which a request is refused after targets have crashed under it, in
   * ms; the same for all agents and gates.
   */
  crashRefusalMs: z.number().int().positive().default(600_000),
  /** Shortest time between two load reports on an active link, in ms. */
  loadReportMs: z.number().int().positive().default(100),
  /** Longest time between two load reports on any link, in ms. */
  heartbeatMs: z.number().int().positive().default(1000),
  /** Longest time that a drain waits for requests in flight, in ms. */
  drainTimeoutMs: z.number().int().positive().default(120_000),
});

export type AgentSettings = z.output<typeof AgentSettingsSchema>;
