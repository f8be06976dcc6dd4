/** Data types of the direct gate. Adapters decode their wire into these. */

import type {FactPosition} from './fleet/fact-position.js';

/** What may be repeated when an attempt fails. */
export type RouteKind = 'safe' | 'unsafe' | 'stream';

/** One service that a route sends to, with its share of the requests. */
export interface RouteSplit {
  readonly service: string;
  /** Relative share; 0 sends nothing. */
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
   * Latency objective in ms: time to first token of a stream, whole answer of a
   * call.
   */
  readonly objectiveMs: number;
  /** Objective for the inter-token latency, in ms. */
  readonly itlObjectiveMs: number | undefined;
  readonly splits: readonly RouteSplit[];
  /** Most targets that a request may be sent to. */
  readonly maxAttempts: number;
  /** True when callers need no key. */
  readonly isPublic: boolean;
  /** True if another target can continue an interrupted stream. */
  readonly isResumable: boolean;
}

/** Cost model of a model engine. */
export interface EngineFigures {
  /** Sequences that are decoded at once. */
  readonly slots: number;
  /** KV cache of one engine, in tokens. */
  readonly kvCapacityTokens: number;
  /** One decode step with no sequence, in ms. */
  readonly stepMs: number;
  /** What each sequence adds to a step, in ms. */
  readonly stepMsPerSequence: number;
  /** What each 1,000 tokens of context add to a step, in ms. */
  readonly stepMsPerContextK: number;
  /** Prompt tokens prefilled in one ms. */
  readonly prefillTokensPerMs: number;
  /** Attention cost of a million pairs of tokens in prefill, in ms. */
  readonly attentionMsPerMillionPairs: number;
  /** Decode steps in one iteration, which makes one event of a stream. */
  readonly stepsPerIteration: number;
  /** Most prompt tokens prefilled in one step. */
  readonly chunkTokens: number;
}

/** One service of the configuration. */
export interface ServiceConfig {
  readonly name: string;
  /** Present for model engines, absent for plain services. */
  readonly engine: EngineFigures | undefined;
}

/** Bounds on what a caller may send. */
export interface IngressLimits {
  readonly maxBodyBytes: number;
  /** Longest time for a complete request head, in ms. */
  readonly headerTimeoutMs: number;
  /** How long a caller's connection may stay idle, in ms. */
  readonly idleTimeoutMs: number;
}

/** One client account and its keys. */
export interface ClientAccount {
  readonly name: string;
  readonly keys: readonly string[];
}

/** One accepted configuration. */
export interface FleetConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceConfig[];
  readonly limits: IngressLimits;
  readonly accounts: readonly ClientAccount[];
}

/** A running target; a restart is another target with another id. */
export interface Target {
  /**
   * Incarnation: the name and, if known, the start of the process. Load,
   * health, KV cache and placements are kept by it.
   */
  readonly id: string;
  /** Name under which it registers and answers; may outlive a restart. */
  readonly name: string;
  /** Start of the process, in ms since the epoch; absent if unknown. */
  readonly bornAt: number | undefined;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  readonly isDraining: boolean;
  /** Position of the entry in the store. */
  readonly position: FactPosition;
}

/** What a caller's request says of itself. */
export interface RequestFacts {
  readonly requestId: string | undefined;
  /** How long the caller will wait, in ms. */
  readonly deadlineMs: number | undefined;
  readonly apiKey: string | undefined;
  /** Tokens of the prompt; absent without one. */
  readonly promptTokens: number | undefined;
  /** Most tokens that may be generated. */
  readonly maxOutputTokens: number | undefined;
}

/** One helper of a prompt that several engines prefill. */
export interface PrefillHelper {
  readonly target: Target;
  /** Reservation for a part of the prompt's KV cache. */
  readonly ticket: string | undefined;
}

/** What the gate adds to a request for a target. */
export interface ForwardFacts {
  readonly deadlineLeftMs: number;
  readonly target: Target;
  /** Name of the client account; absent on public routes without a key. */
  readonly account: string | undefined;
  /** 0 is the most urgent, 9 the least; absent for the target's default. */
  readonly priority: number | undefined;
  readonly helpers: readonly PrefillHelper[];
  /** Last event that the caller has, for a resumed stream. */
  readonly lastEventId: string | undefined;
}

/** What a target's answer says of itself. */
export interface AnswerFacts {
  readonly requestId: string | undefined;
  readonly isSigned: boolean;
  /** The target states that the request did not run. */
  readonly isNotRun: boolean;
  /** Address (host:port) of another server that caused a refusal. */
  readonly faultyAddress: string | undefined;
}

/** Header fields as they stand on the wire: name, value, name, value. */
export type RawHeaders = readonly string[];
