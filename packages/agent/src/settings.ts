/**
 * Settings of `nutmeggauge-agent`, read from YAML and checked by zod.
 */
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
      shortMaxTokens: z.number().int().positive().default(32_768),
      /** Short requests in flight at the target at once. */
      shortSlots: z.number().int().positive().default(48),
      /** Long requests in flight at the target at once. */
      longSlots: z.number().int().positive().default(4),
    })
    .prefault({}),
  /** Period of load reports to gates, in ms. */
  loadReportMs: z.number().int().positive().default(200),
  /** Longest time a drain waits for requests in flight, in ms. */
  drainTimeoutMs: z.number().int().positive().default(120_000),
});

export type AgentSettings = z.output<typeof AgentSettingsSchema>;
