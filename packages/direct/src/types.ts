/**
 * The facts that the direct gate works with: configuration, targets and what
 * a request says of itself. Adapters decode their wire into these types.
 */

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
  /** Latency objective: whole answer, or first event of a stream, in ms. */
  readonly goalMs: number;
  /** Latency objective between two events of a stream, in ms. */
  readonly gapGoalMs: number | undefined;
  readonly splits: readonly RouteSplit[];
  /** Most targets that one request may be sent to. */
  readonly maxAttempts: number;
  /** True when callers need no key. */
  readonly isPublic: boolean;
  /** True when another target can go on with an interrupted stream. */
  readonly isResumable: boolean;
}

/** Cost figures of a model engine. */
export interface EngineFigures {
  /** Requests that run at once. */
  readonly slots: number;
  /** Memory of one engine, in tokens. */
  readonly memoryTokens: number;
  /** One decode step with no request, in ms. */
  readonly stepMs: number;
  /** What each writing request adds to a step, in ms. */
  readonly stepMsPerWriter: number;
  /** What each 1,000 tokens of context of a writer add to a step, in ms. */
  readonly stepMsPerContextK: number;
  /** Prompt tokens read in one ms. */
  readonly readTokensPerMs: number;
  /** Cost of a million pairs of a token and an earlier one, in ms. */
  readonly pairsMsPerMillion: number;
  /** Decode steps in one pass, so one event of a stream. */
  readonly stepsPerPass: number;
  /** Most prompt tokens that are read in one step. */
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

/** One running target; a restart is another target with another id. */
export interface Target {
  /**
   * Incarnation of the target, new at each of its starts: its name and, where
   * it says so, the time of its start. Load, health, memory and placements are
   * kept by it, so that nothing of an earlier life counts for a later one.
   */
  readonly id: string;
  /** Name under which it registers and answers; may outlive a restart. */
  readonly name: string;
  /** Its start, in ms since the epoch; absent where it does not say. */
  readonly bornAt: number | undefined;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  readonly isDraining: boolean;
  /** Store revision of the entry. */
  readonly revision: number;
}

/** What a caller's request says of itself, decoded from its headers. */
export interface RequestFacts {
  readonly requestId: string | undefined;
  /** How long the caller will wait, in ms. */
  readonly deadlineMs: number | undefined;
  readonly apiKey: string | undefined;
  /** Tokens of the prompt; absent where the request carries no prompt. */
  readonly promptTokens: number | undefined;
  /** Most tokens that may be written. */
  readonly maxOutputTokens: number | undefined;
}

/** One helper of a prompt that several engines read together. */
export interface ReadHelper {
  readonly target: Target;
  /** Reservation that takes a part of the prompt's memory. */
  readonly ticket: string | undefined;
}

/** What the gate itself adds to a request for a target. */
export interface ForwardFacts {
  readonly deadlineLeftMs: number;
  readonly target: Target;
  /** Name of the client account; absent on public routes without a key. */
  readonly account: string | undefined;
  /** 0 is the most urgent, 9 the least; absent leaves it to the target. */
  readonly urgency: number | undefined;
  readonly helpers: readonly ReadHelper[];
  /** Id of the last event that the caller has, for a resumed stream. */
  readonly lastEventId: string | undefined;
}

/** What a target's answer says of itself. */
export interface AnswerFacts {
  readonly requestId: string | undefined;
  readonly isSigned: boolean;
  /** The target states that the request did not run. */
  readonly isNotRun: boolean;
  /** Address (host:port) of another server that is to blame for a refusal. */
  readonly faultyAddress: string | undefined;
}

/** Header fields as they stand on the wire: name, value, name, value. */
export type RawHeaders = readonly string[];
