/**
 * Settings of `nutmeggauge-agent`, read from YAML and checked by zod.
 */
import {SHORT_MAX_TOKENS} from '@nutmeggauge/core';
import {z} from 'zod';

export const AgentSettingsSchema = z.object({
  /** Name of this agent; also the target's id in configuration records. */
  id: z.string().min(1),
  /** Availability zone of the target host. */
  zone: z.string().min(1),
  /** Where gates reach this agent's json-rpc listener. */
  listen: z.object({
    host: z.string().min(1).default('127.0.0.1'),
    port: z.number().int().min(0).max(65535),
  }),
  /** The local target this agent fronts. */
  target: z.object({
    kind: z.enum(['engine', 'plain']),
    url: z.url(),
  }),
  lanes: z
    .object({
      /** Prompts up to this many tokens go to the short lane. */
      shortMaxTokens: z.number().int().positive().default(SHORT_MAX_TOKENS),
      /** Asks the engine to read shorter prompts first. */
      prioritize: z.boolean().default(true),
      /** Short requests in flight at the target at once. */
      shortSlots: z.number().int().positive().default(48),
      /** Long requests in flight at the target at once. */
      longSlots: z.number().int().positive().default(16),
    })
    .prefault({}),
  /** The configuration service; without it keyed requests are not fenced by record version. */
  configService: z
    .object({
      url: z.url(),
      /** How long one watch waits, in ms. */
      waitMs: z.number().int().positive().default(25_000),
    })
    .optional(),
  ledger: z
    .object({
      /**
       * True only at the first start of the whole system: no earlier process
       * of this slot can have run a request. Anything else must leave it out,
       * or a key that ran before a restart can run again.
       */
      bootstrap: z.boolean().default(false),
      /** How long a caller's key is honoured, in ms. */
      retainMs: z.number().int().positive().default(900_000),
      /** Most keys held; further keyed requests are refused as not run. */
      maxEntries: z.number().int().positive().default(50_000),
    })
    .prefault({}),
  /** Shortest time between two load reports on a link in use, in ms. */
  loadReportMs: z.number().int().positive().default(100),
  /** Period of heartbeats on links without requests, in ms. */
  heartbeatMs: z.number().int().positive().default(1000),
  /** Longest time a drain waits for requests in flight, in ms. */
  drainTimeoutMs: z.number().int().positive().default(120_000),
});

export type AgentSettings = z.output<typeof AgentSettingsSchema>;
