/** Specification of a local cluster and of its targets. */

/** Size, placement and settings of a local cluster. */
export interface ClusterSpec {
  /** Folder for the settings files and logs of all processes. */
  readonly runDir: string;
  /**
   * Loopback address that every process listens on.
   * @default '127.0.0.1'
   */
  readonly host?: string;
  /** Number of engine stand-ins; each gets its own agent. */
  readonly engines: number;
  /** Number of plain service stand-ins; each gets its own agent. */
  readonly plainServices: number;
  /** Number of gates; each listens on three ports. */
  readonly gates: number;
  /**
   * Availability zones that targets and gates are assigned to in turn.
   * @default ['az-1', 'az-2', 'az-3']
   */
  readonly zones?: readonly string[];
  /**
   * Settings of every gate; override those that the cluster writes.
   * @default {}
   */
  readonly gateSettings?: Readonly<Record<string, unknown>>;
  /**
   * Settings of every agent; override those that the cluster writes.
   * @default {}
   */
  readonly agentSettings?: Readonly<Record<string, unknown>>;
  /**
   * Prefill speed of the engine stand-ins.
   * @default {prefillRate: 400_000, chunkTokens: 16_384}
   */
  readonly engine?: EngineSpeed;
}

/** Prefill speed of the engine stand-ins of a cluster. */
export interface EngineSpeed {
  /** Prompt tokens that each engine prefills per second. */
  readonly prefillRate: number;
  /** Maximum number of prompt tokens that an engine prefills in one step. */
  readonly chunkTokens: number;
}

/** Target of a local cluster, with the addresses of its agent and stand-in. */
export interface ClusterTarget {
  readonly id: string;
  readonly kind: 'engine' | 'plain';
  readonly agent: string;
  readonly zone: string;
  readonly url: string;
}
