/** What a local cluster is to be, and the targets that it then has. */

/** Shape of a local cluster. */
export interface ClusterSpec {
  /** Folder for settings files and logs. */
  readonly runDir: string;
  /**
   * Loopback address of every process.
   * @default '127.0.0.1'
   */
  readonly host?: string;
  /** Engines, each with its agent. */
  readonly engines: number;
  /** Plain services, each with its agent. */
  readonly plainServices: number;
  /** Gates. */
  readonly gates: number;
  /**
   * Zones that targets and gates are spread over.
   * @default ['az-1', 'az-2', 'az-3']
   */
  readonly zones?: readonly string[];
  /**
   * Settings of every gate, over the defaults.
   * @default {}
   */
  readonly gateSettings?: Readonly<Record<string, unknown>>;
  /**
   * Settings of every agent, over the defaults.
   * @default {}
   */
  readonly agentSettings?: Readonly<Record<string, unknown>>;
  /**
   * Options of the engine stand-ins.
   * @default {prefillRate: 400_000, chunkTokens: 16_384}
   */
  readonly engine?: EngineFigures;
}

/** Speed of the engine stand-ins of a cluster. */
export interface EngineFigures {
  /** Prompt tokens prefilled a second by each engine. */
  readonly prefillRate: number;
  /** Most prompt tokens read in one step. */
  readonly chunkTokens: number;
}

/** A target of the cluster as the configuration record names it. */
export interface ClusterTarget {
  readonly id: string;
  readonly kind: 'engine' | 'plain';
  readonly agent: string;
  readonly zone: string;
  readonly url: string;
}
