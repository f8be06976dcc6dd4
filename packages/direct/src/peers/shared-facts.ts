/**
 * Validates facts from a peer. The peer may run another version of the gate,
 * and JSON turns non-finite numbers into null.
 */
import {z} from 'zod';
import {DecodeError} from '../errors.js';
import {NO_POSITION} from '../fleet/fact-position.js';
import type {SharedFacts, FactVersions} from '../fleet/fleet-types.js';

const PositionSchema = z.object({era: z.number(), revision: z.number()});

/** Versions of a peer's facts; older releases of the gate omit them. */
const KnownFactsSchema = z.object({
  configVersion: z.number().catch(0),
  position: PositionSchema.catch(NO_POSITION),
});

const EngineSchema = z.object({
  slots: z.number(),
  kvCapacityTokens: z.number(),
  stepMs: z.number(),
  stepMsPerSequence: z.number(),
  stepMsPerContextK: z.number(),
  prefillTokensPerMs: z.number(),
  attentionMsPerMillionPairs: z.number(),
  stepsPerIteration: z.number(),
  chunkTokens: z.number(),
});

const RouteSchema = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  kind: z.enum(['safe', 'unsafe', 'stream']),
  timeoutMs: z.number(),
  objectiveMs: z.number(),
  itlObjectiveMs: z.number().optional(),
  splits: z.array(z.object({service: z.string(), weight: z.number()})),
  maxAttempts: z.number(),
  isPublic: z.boolean(),
  isResumable: z.boolean(),
  priority: z.number().optional(),
  allowedRegions: z.array(z.string()).optional(),
});

const ColdStartSchema = z.object({
  durationMs: z.number(),
  requestsPerSecond: z.number(),
});

const ConfigSchema = z.object({
  version: z.number(),
  routes: z.array(RouteSchema),
  services: z.array(
    z.object({
      name: z.string(),
      engine: EngineSchema.optional(),
      coldStart: ColdStartSchema.optional(),
    }),
  ),
  limits: z.object({
    maxHeadBytes: z.number().optional(),
    maxBodyBytes: z.number(),
    headerTimeoutMs: z.number(),
    idleTimeoutMs: z.number(),
  }),
  accounts: z.array(
    z.object({
      name: z.string(),
      keys: z.array(z.string()),
      priority: z.number().optional(),
      allowedRegions: z.array(z.string()).optional(),
    }),
  ),
});

const TargetSchema = z.object({
  id: z.string(),
  name: z.string(),
  bornAt: z.number().optional(),
  service: z.string(),
  host: z.string(),
  port: z.number(),
  zone: z.string(),
  isDraining: z.boolean(),
  coldLeftMs: z.number().nonnegative().optional(),
  position: PositionSchema,
});

const EvacuationsSchema = z.object({
  position: PositionSchema,
  zones: z.array(
    z.object({
      zone: z.string(),
      isEvacuated: z.boolean(),
      position: PositionSchema,
      origin: PositionSchema,
    }),
  ),
  undecided: z.array(z.string()),
});

const SharedFactsSchema = z.object({
  position: PositionSchema,
  config: ConfigSchema.optional(),
  targets: z.array(TargetSchema),
  held: z.array(z.tuple([z.string(), z.number()])),
  doubts: z.array(z.tuple([z.string(), z.number(), z.number()])),
  evacuations: EvacuationsSchema.optional(),
});

/**
 * Decodes the versions of the facts that a peer knows.
 *
 * @example
 * toKnownFacts({configVersion: 7, position: {era: 0, revision: 120}});
 */
export function toKnownFacts(params: unknown): FactVersions {
  return KnownFactsSchema.parse(params ?? {});
}

/**
 * Validates facts from a peer.
 *
 * @throws DecodeError that names the first invalid field.
 * @example
 * state.applyShared(decodeSharedFacts(answer));
 */
export function decodeSharedFacts(answer: unknown): SharedFacts {
  const result = SharedFactsSchema.safeParse(answer);
  if (!result.success) {
    const [{path, message}] = result.error.issues;
    throw new DecodeError(path.join('.'), message);
  }
  return result.data as SharedFacts;
}
