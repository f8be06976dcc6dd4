/**
 * What routing and dispatch see of a target: its load, and a way to send it
 * a request. AgentConnection is the one over a socket; tests use others.
 */
import type {
  ChunkNotice,
  DispatchOutcome,
  DispatchRequest,
  LoadReport,
} from '@nutmeggauge/core';

/** What routers read of a target. */
export interface TargetView {
  readonly id: string;
  readonly zone: string;
  /** Requests of this gate that the target has not answered. */
  readonly outstanding: number;
  readonly load: LoadReport | undefined;
  /** Prompt tokens this gate sent since the last load report, by length class. */
  readonly unreportedByClass: readonly number[];
}

/** Bounds on one dispatch, and what the load figures need of it. */
export interface DispatchBounds {
  /** Longest wait for the agent's answer, in ms. */
  readonly answerMs: number;
  /** Longest wait for its receipt, in ms; undefined waits for the answer only. */
  readonly acceptMs?: number;
  readonly promptTokens: number;
}

/** A target that requests can be sent to. */
export interface TargetLink extends TargetView {
  /** True when new work may be sent here. */
  readonly isUsable: boolean;

  /**
   * Sends a request and resolves with the agent's outcome.
   *
   * @throws TargetUnreachableError when there is no link (nothing was sent);
   *   RpcClosedError when the link closed after the request was written;
   *   RpcFailedError when no receipt or no answer came in time.
   */
  dispatch(
    request: DispatchRequest,
    onChunk: (notice: ChunkNotice) => void,
    bounds: DispatchBounds,
  ): Promise<DispatchOutcome>;

  /** Asks the agent to stop a request; lost silently if the link is down. */
  cancel(requestId: string): void;
}

/** The targets that a dispatcher may choose from. */
export interface TargetDirectory {
  /** Targets of `pool` that may take new work. */
  listUsable(pool: string): readonly TargetLink[];

  /**
   * The home of a keyed request: found over all configured targets, usable
   * or not. Undefined when the home cannot be reached now.
   */
  findHome(pool: string, key: string): Promise<TargetLink | undefined>;
}
