/**
 * Messages between gates: JSON-RPC notifications in UDP datagrams. A lost
 * datagram is made up for by the next heartbeat. Those about placements are
 * compact (placement-codec.ts).
 */
import {CrashReportSchema, CrashReportsSchema} from '@nutmeggauge/core';
import {z} from 'zod';
import {
  MAX_TOLD_ACCOUNTS,
  MAX_TOLD_NAME_LENGTH,
} from '../accounts/account-usage.js';
import type {Placement} from '../placement/placement.js';

/**
 * Largest number of tokens and of ms that a peer may tell. Larger ones, which no
 * sound gate sends, would make a gate plan iterations without end.
 */
export const MAX_TOLD_TOKENS = 1e8;
export const MAX_TOLD_MS = 2 ** 31;

/** Number of tokens that a peer tells. */
export const TokensSchema = z
  .number()
  .min(-MAX_TOLD_TOKENS)
  .max(MAX_TOLD_TOKENS);

/** Time or value that a peer tells. */
export const MsSchema = z.number().min(-MAX_TOLD_MS).max(MAX_TOLD_MS);

/**
 * Wire form of a placement; holds an age instead of a time, because the clocks
 * of gates differ.
 */
export const WirePlacementSchema = z.object({
  key: z.string(),
  decoder: z.string(),
  targets: z.array(z.string()),
  /** Prefill time of each target, or a single value if all are equal, in ms. */
  prefillMs: z.array(MsSchema),
  promptTokens: TokensSchema,
  kvTokens: TokensSchema,
  reserved: z.array(z.object({target: z.string(), tokens: TokensSchema})),
  objectiveMs: MsSchema,
  gapMs: MsSchema,
  value: MsSchema,
  predictedMs: MsSchema,
  ageMs: MsSchema,
  begun: z.boolean(),
  /** Features of a prompt under which servers have crashed; absent if none. */
  suspects: z.array(z.string()).optional(),
});
export type WirePlacement = z.output<typeof WirePlacementSchema>;

/** Limit that a target has named, as a gate observed it. */
export const LimitReportSchema = z.object({
  target: z.string(),
  perSecond: z.number().nonnegative().nullable(),
  ageMs: z.number().nonnegative(),
});

/** Engine time that the accounts use, as a gate tells its peers. */
export const UsageReportSchema = z.object({
  isShort: z.boolean().default(false),
  /**
   * Names and sums at the time of sending, in ms. A sum has no time of its own,
   * because the clocks of gates differ.
   */
  sums: z
    .array(
      z.tuple([
        z.string().max(MAX_TOLD_NAME_LENGTH),
        z.number().finite().nonnegative(),
      ]),
    )
    .max(MAX_TOLD_ACCOUNTS),
});

/** Heartbeat, by which a gate tells its peers its state and open placements. */
export const HeartbeatSchema = z.object({
  from: z.string(),
  /** Availability zone of the sender; absent from gates of earlier versions. */
  zone: z.string().optional(),
  incarnation: z.string(),
  configVersion: z.number(),
  /** Era and revision form the position of the sender's facts. */
  era: z.number(),
  revision: z.number(),
  /** Age of the last answer that the sender got from the store, in ms. */
  factsAgeMs: z.number(),
  /**
   * Time for which the store has answered the sender without an outage, in ms;
   * 0 during an outage.
   */
  contactMs: z.number().default(0),
  /** Hash of the hosts of the live gates that the sender knows. */
  members: z.number().optional(),
  /** Number of gates that the sender knows, heard or not. */
  known: z.number().default(0),
  /** Hosts of these gates, in an answer to a gate that asks for them. */
  peers: z.array(z.string()).default([]),
  /**
   * Placement numbers of the sender's open streams (`open`) and of those past
   * prefill (`begun`). Complete placements are sent only on request, which
   * keeps heartbeats small. Empty lists are absent.
   */
  open: z.array(z.number()).default([]),
  begun: z.array(z.number()).default([]),
  placements: z.array(WirePlacementSchema).default([]),
  /** Slowdowns of the engines that the sender polls; absent if there are none. */
  slowdowns: z
    .array(z.object({target: z.string(), slowdown: z.number().positive()}))
    .default([]),
  /**
   * Crashes under requests: the latest observations of the sender, or all that it
   * knows in a heartbeat that was asked for. Absent if there are none.
   */
  crashes: z.array(CrashReportSchema).optional(),
  /** Limits that targets have named; absent if there are none. */
  limits: z.array(LimitReportSchema).optional(),
  /** Targets that have said in an answer that they leave; absent if none. */
  leaving: z.array(z.string()).default([]),
  /**
   * Largest accounts by the engine time that they use at the sender; absent while no
   * room is short.
   */
  usage: UsageReportSchema.optional(),
  /** Hash of the contents that the sender refuses; absent if there are none. */
  refusedHash: z.string().optional(),
  /** Largest recent delay of the sender's event loop, in ms. */
  lagMs: z.number().nonnegative().default(0),
  /** Whether the sender asks for a heartbeat in return. */
  wantsReply: z.boolean().default(false),
  /** Whether it asks for the names of the live gates that the receiver knows. */
  wantsNames: z.boolean().default(false),
  /** Whether the sender is shutting down. */
  leaves: z.boolean().default(false),
});
export type Heartbeat = z.output<typeof HeartbeatSchema>;
/** Heartbeat as it is sent, without fields that have their default. */
export type SentHeartbeat = z.input<typeof HeartbeatSchema>;

export const PermitQuestionSchema = z.object({
  from: z.string(),
  number: z.number(),
  target: z.string(),
  /** Null if the target is only cold, which earlier versions refuse. */
  perSecond: z.number().nonnegative().nullable(),
  coldBound: z.number().nonnegative().optional(),
});

export const PermitAnswerSchema = z.object({
  number: z.number(),
  waitMs: z.number().nonnegative(),
});

/** Long prompt that waits at a gate; the wait has ended if `validMs` is 0. */
export const WaitReportSchema = z.object({
  key: z.string(),
  service: z.string(),
  prefillMs: z.number().nonnegative(),
  dueMs: z.number(),
  validMs: z.number().nonnegative(),
});

const JSON_RPC = z.literal('2.0');

/** All datagrams that a gate accepts, apart from those about placements. */
export const DatagramSchema = z.discriminatedUnion('method', [
  z.object({
    jsonrpc: JSON_RPC,
    method: z.literal('heartbeat'),
    params: HeartbeatSchema,
  }),
  z.object({
    jsonrpc: JSON_RPC,
    method: z.literal('target-ended'),
    params: z.object({target: z.string()}),
  }),
  z.object({
    jsonrpc: JSON_RPC,
    method: z.literal('limited'),
    params: LimitReportSchema,
  }),
  z.object({
    jsonrpc: JSON_RPC,
    method: z.literal('permit-asked'),
    params: PermitQuestionSchema,
  }),
  z.object({
    jsonrpc: JSON_RPC,
    method: z.literal('permit-answered'),
    params: PermitAnswerSchema,
  }),
  z.object({
    jsonrpc: JSON_RPC,
    method: z.literal('crashed'),
    params: CrashReportsSchema,
  }),
  z.object({
    jsonrpc: JSON_RPC,
    method: z.literal('prompt-waits'),
    params: WaitReportSchema,
  }),
]);
export type Datagram = z.output<typeof DatagramSchema>;
/** Datagram as it is sent. */
export type SentDatagram = z.input<typeof DatagramSchema>;

/**
 * Formats a datagram.
 *
 * @example
 * formatDatagram({jsonrpc: '2.0', method: 'target-ended', params: {target: 'i-1'}});
 */
export function formatDatagram(message: SentDatagram): Buffer {
  return Buffer.from(JSON.stringify(message));
}

/**
 * Parses a datagram.
 *
 * @throws SyntaxError or ZodError if it is malformed.
 * @example
 * parseDatagram(bytes).method;
 */
export function parseDatagram(bytes: Buffer): Datagram {
  return DatagramSchema.parse(JSON.parse(bytes.toString('utf8')));
}

function mergeEqual(values: readonly number[]): number[] {
  const isUniform = values.every(value => value === values[0]);
  return isUniform ? values.slice(0, 1) : [...values];
}

function toOptionalList(ids: readonly string[] = []): string[] | undefined {
  return ids.length > 0 ? [...ids] : undefined;
}

/**
 * Converts a placement to its wire form.
 *
 * @example
 * toWirePlacement(placement, false, performance.now());
 */
export function toWirePlacement(
  placement: Placement,
  begun: boolean,
  now: number,
): WirePlacement {
  return {
    key: placement.key,
    decoder: placement.decoder,
    targets: placement.shards.map(shard => shard.target),
    prefillMs: mergeEqual(
      placement.shards.map(shard => Math.round(shard.prefillMs)),
    ),
    promptTokens: placement.promptTokens,
    kvTokens: Math.round(placement.kvTokens),
    reserved: [...placement.reserved],
    objectiveMs: Math.round(placement.objectiveMs),
    gapMs: placement.itlObjectiveMs,
    value: placement.value,
    predictedMs: Math.round(placement.predictedTtftMs),
    ageMs: Math.round(now - placement.placedAt),
    begun,
    suspects: toOptionalList(placement.suspects),
  };
}

/**
 * Converts the wire form of a placement to a placement.
 *
 * @example
 * tracker.add(toPlacement(wire, performance.now()), wire.begun);
 */
export function toPlacement(wire: WirePlacement, now: number): Placement {
  return {
    key: wire.key,
    decoder: wire.decoder,
    shards: wire.targets.map((target, i) => ({
      target,
      prefillMs: wire.prefillMs[i] ?? wire.prefillMs[0] ?? 0,
    })),
    promptTokens: wire.promptTokens,
    kvTokens: wire.kvTokens,
    reserved: wire.reserved,
    objectiveMs: wire.objectiveMs,
    itlObjectiveMs: wire.gapMs,
    value: wire.value,
    predictedTtftMs: wire.predictedMs,
    placedAt: now - wire.ageMs,
    suspects: wire.suspects,
  };
}
