/**
 * Data types of the direct gate, into which adapters decode their wire formats.
 */

import type {FactPosition} from './fleet/fact-position.js';

/**
 * Kind of a route, which determines what is retried after a failed attempt:
 * calls that may run twice (`safe`), calls that must not run twice (`unsafe`),
 * or streams.
 */
export type RouteKind = 'safe' | 'unsafe' | 'stream';

/** A service that a route sends requests to, with its share of the requests. */
export interface RouteSplit {
  readonly service: string;
  /** Relative share of the requests; 0 sends none. */
  readonly weight: number;
}

/** One route of the configuration. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Longest time a request may wait for its answer, in ms. */
  readonly timeoutMs: number;
  /**
   * Latency objective, in ms: the time to first token for a stream, the time of
   * the complete answer for a call.
   */
  readonly objectiveMs: number;
  /** Objective for the inter-token latency of a stream, in ms. */
  readonly itlObjectiveMs: number | undefined;
  readonly splits: readonly RouteSplit[];
  /** Maximum number of targets that a request may be sent to. */
  readonly maxAttempts: number;
  /** Whether callers need no API key. */
  readonly isPublic: boolean;
  /** Whether another target can resume an interrupted stream. */
  readonly isResumable: boolean;
  /**
   * Priority from 0 (most urgent) to 9. The priority of the caller's account goes
   * before it.
   *
   * @default none
   */
  readonly priority?: number;
  /**
   * Regions whose targets may serve the route.
   *
   * @default every region
   */
  readonly allowedRegions?: readonly string[];
}

/** Cost model of a model engine. */
export interface EngineCostModel {
  /** Maximum number of sequences that are decoded concurrently. */
  readonly slots: number;
  /** Capacity of the KV cache of one engine, in tokens. */
  readonly kvCapacityTokens: number;
  /** Base time of a decode step, without any sequence, in ms. */
  readonly stepMs: number;
  /** Time that each sequence adds to a decode step, in ms. */
  readonly stepMsPerSequence: number;
  /** Time that each 1,000 tokens of context add to a decode step, in ms. */
  readonly stepMsPerContextK: number;
  /** Prefill rate, in prompt tokens per ms. */
  readonly prefillTokensPerMs: number;
  /** Attention time of one million token pairs in prefill, in ms. */
  readonly attentionMsPerMillionPairs: number;
  /** Number of decode steps in one iteration, which emits one stream event. */
  readonly stepsPerIteration: number;
  /** Maximum number of prompt tokens prefilled in one step. */
  readonly chunkTokens: number;
}

/** Behaviour of the targets of a service after a start. */
export interface ColdStart {
  /** Time for which a target is cold after it has started, in ms. */
  readonly durationMs: number;
  /** Requests per second that a cold target is built to take. */
  readonly requestsPerSecond: number;
}

/** One service of the configuration. */
export interface ServiceConfig {
  readonly name: string;
  /** Present for model engines, absent for plain services. */
  readonly engine: EngineCostModel | undefined;
  /**
   * Present if the targets are cold after a start.
   *
   * @default targets are never cold
   */
  readonly coldStart?: ColdStart;
}

/** Limits on requests and connections of callers. */
export interface IngressLimits {
  /**
   * Largest head, and largest trailer section, in bytes.
   *
   * @default 65,536
   */
  readonly maxHeadBytes?: number;
  readonly maxBodyBytes: number;
  /** Longest time a caller may take to send a complete request head, in ms. */
  readonly headerTimeoutMs: number;
  /** Idle timeout of a caller's connection, in ms. */
  readonly idleTimeoutMs: number;
}

/** A client account and its API keys. */
export interface ClientAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /**
   * Priority of its requests from 0 (most urgent) to 9, instead of the route's.
   *
   * @default the priority of the route
   */
  readonly priority?: number;
  /**
   * Regions whose targets may serve its requests.
   *
   * @default every region
   */
  readonly allowedRegions?: readonly string[];
}

/** One accepted configuration. */
export interface FleetConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceConfig[];
  readonly limits: IngressLimits;
  readonly accounts: readonly ClientAccount[];
}

/** A running target; a restart creates a new target with a new id. */
export interface Target {
  /**
   * Identifies the incarnation: the name and, if known, the start time of the
   * process. Load, health, KV cache and placements are tracked by this id.
   */
  readonly id: string;
  /**
   * Name under which the target registers and answers; a restarted process may
   * keep it.
   */
  readonly name: string;
  /** Start time of the process, in ms since the epoch; absent if unknown. */
  readonly bornAt: number | undefined;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  readonly isDraining: boolean;
  /**
   * Time for which the target stays cold, in ms, as its entry said when it was
   * written.
   *
   * @default 0
   */
  readonly coldLeftMs?: number;
  /** Position of the target's entry in the store. */
  readonly position: FactPosition;
}

/** Properties of a caller's request, decoded from its head. */
export interface RequestMetadata {
  readonly requestId: string | undefined;
  /** Time for which the caller waits for the answer, in ms. */
  readonly deadlineMs: number | undefined;
  readonly apiKey: string | undefined;
  /** Number of prompt tokens; absent if the request has no prompt. */
  readonly promptTokens: number | undefined;
  /** Maximum number of tokens to generate. */
  readonly maxOutputTokens: number | undefined;
  /**
   * Ids of the parts of the prompt that other requests may share; without the
   * last part, which is the request's own.
   */
  readonly sharedParts: readonly string[];
  /**
   * Name of the only target that may run the request.
   *
   * @default any
   */
  readonly expectedTarget?: string;
}

/** An engine that prefills a part of a prompt for another engine. */
export interface PrefillHelper {
  readonly target: Target;
  /** Ticket of the KV cache reservation for the part of the prompt. */
  readonly ticket: string | undefined;
}

/** Properties that the gate adds to a request for a target. */
export interface ForwardMetadata {
  readonly deadlineLeftMs: number;
  readonly target: Target;
  /** Name of the client account; absent on public routes without a key. */
  readonly account: string | undefined;
  /**
   * Priority from 0 (highest) to 9 (lowest); absent for the target's default.
   */
  readonly priority: number | undefined;
  readonly helpers: readonly PrefillHelper[];
  /** Id of the last event that the caller has received of a resumed stream. */
  readonly lastEventId: string | undefined;
}

/** Properties of a target's answer, decoded from its head. */
export interface AnswerMetadata {
  readonly requestId: string | undefined;
  readonly isSigned: boolean;
  /** Whether the target states that the request was not executed. */
  readonly isNotRun: boolean;
  /** Address (host:port) of another server whose fault caused the refusal. */
  readonly faultyAddress: string | undefined;
  /**
   * Requests per second that the target takes from all gates together; absent
   * if it names no limit.
   */
  readonly requestsPerSecond: number | 'malformed' | undefined;
  /**
   * Time in which a target that turns a request away wants nothing of this gate, in
   * ms; absent if it asks for none.
   */
  readonly restMs: number | 'malformed' | undefined;
  /**
   * Time for which the target stays cold, in ms; 0 if it is warm, absent if it
   * doesn't say.
   */
  readonly coldLeftMs?: number | 'malformed';
  /** Whether the target says that it leaves and wants no further requests. */
  readonly isLeaving: boolean | 'malformed';
  /** Fields that the adapter doesn't know, by their lower-case names. */
  readonly unknownFields: ReadonlyMap<string, string>;
}

/** HTTP header fields in wire order: name, value, name, value. */
export type RawHeaders = readonly string[];
