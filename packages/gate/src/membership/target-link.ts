/**
 * Interfaces through which routing and dispatch use a target: its load, and a
 * way to send a request to it. AgentConnection implements them over a socket;
 * tests use other implementations.
 */
import type {
  ChunkNotification,
  DispatchOutcome,
  DispatchRequest,
  LoadReport,
} from '@nutmeggauge/core';

/** Target state that routers read. */
export interface TargetView {
  readonly id: string;
  readonly zone: string;
  /** Number of this gate's requests that the target has not answered. */
  readonly outstanding: number;
  readonly load: LoadReport | undefined;
  /**
   * Prompt tokens that this gate sent since the last load report, by length
   * class.
   */
  readonly unreportedByClass: readonly number[];
}

/**
 * Timeouts of one dispatch, and the prompt length counted as unreported load.
 */
export interface DispatchBounds {
  /** Timeout for the agent's answer, in ms. */
  readonly answerTimeoutMs: number;
  /**
   * Timeout for the agent's ack, in ms; undefined waits for the answer only.
   */
  readonly ackTimeoutMs?: number;
  readonly promptTokens: number;
}

/** A target to which requests can be sent. */
export interface TargetLink extends TargetView {
  /** True when new requests may be sent to the target. */
  readonly isUsable: boolean;

  /**
   * Sends a request and resolves with the agent's outcome.
   *
   * @throws TargetUnreachableError when there is no connection (nothing was
   *   sent); RpcClosedError when the connection closed after the request was
   *   written; RpcFailedError when the ack or the answer timed out.
   */
  dispatch(
    request: DispatchRequest,
    onChunk: (notice: ChunkNotification) => void,
    bounds: DispatchBounds,
  ): Promise<DispatchOutcome>;

  /** Asks the agent to cancel a request; has no effect without a connection. */
  cancel(requestId: string): void;

  /**
   * Asks the agent to cancel a request that it has not passed to its target;
   * has no effect without a connection, or at an older agent.
   */
  cancelQueued(requestId: string): void;
}

/** The targets that a dispatcher may choose from. */
export interface TargetDirectory {
  /** Lists the targets of `pool` to which new requests may be sent. */
  listUsable(pool: string): readonly TargetLink[];

  /**
   * Finds the home target of the keyed request with ledger key `key` among all
   * configured targets, usable or not. Resolves with undefined when the home is
   * not usable now.
   */
  findHome(pool: string, key: string): Promise<TargetLink | undefined>;
}
