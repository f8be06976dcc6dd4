/**
 * Options of the engine stand-in and their defaults. The default rates are
 * scaled so that a benchmark on one machine takes seconds: prefill of a
 * 1M-token prompt takes about 2.5 s.
 */

/** How an engine treats an order whose fencing token is outdated. */
export type FencingMode = 'refuse' | 'ignore';

/** Options of one engine stand-in. */
export interface EngineOptions {
  /** Id used in logs and load reports. */
  readonly id: string;
  /**
   * Size of the KV cache, in prompt and generated tokens.
   * @default 2_400_000
   */
  readonly kvCapacityTokens?: number;
  /**
   * Prefill rate, in prompt tokens per second.
   * @default 400_000
   */
  readonly prefillTokensPerSecond?: number;
  /**
   * Maximum number of prompt tokens prefilled in one step of chunked prefill.
   * @default 16_384
   */
  readonly prefillChunkTokens?: number;
  /**
   * Duration of one decode step, in ms.
   * @default 8
   */
  readonly decodeStepMs?: number;
  /**
   * Maximum number of sequences decoded in one step.
   * @default 64
   */
  readonly maxBatch?: number;
  /**
   * Maximum number of sequences that wait for KV cache space; further sequences
   * are refused.
   * @default 256
   */
  readonly maxWaiting?: number;
  /**
   * Size of a prefix-cache block, in tokens.
   * @default 512
   */
  readonly blockTokens?: number;
  /**
   * Capacity of the prefix cache, in blocks.
   * @default 4096
   */
  readonly prefixCacheBlocks?: number;
  /**
   * Longest age of the load that the engine reports, and delay before cache
   * events are published, in ms.
   * @default 250
   */
  readonly loadLagMs?: number;
  /**
   * Treatment of orders with an outdated fencing token.
   * @default 'refuse'
   */
  readonly fencing?: FencingMode;
  /**
   * First letter of this engine's tokens (` t0 t1 …`). Different letters
   * simulate sampling and show which run a token comes from.
   *
   * @default 't'
   */
  readonly tokenLetter?: string;
  /**
   * Prompt under which the engine crashes when it begins to run it; empty for
   * none. The engine listens again after `restartMs`.
   *
   * @default ''
   */
  readonly crashPrompt?: string;
  /**
   * Time from a crash until the engine listens again, in ms.
   *
   * @default 500
   */
  readonly restartMs?: number;
}

/** Engine options with defaults applied. */
export type ResolvedEngineOptions = Required<EngineOptions>;

/**
 * Resolves engine options by applying the defaults.
 *
 * @example
 * resolveEngineOptions({id: 'engine-1'}).decodeStepMs; // 8
 */
export function resolveEngineOptions(
  options: EngineOptions,
): ResolvedEngineOptions {
  return {
    kvCapacityTokens: 2_400_000,
    prefillTokensPerSecond: 400_000,
    prefillChunkTokens: 16_384,
    decodeStepMs: 8,
    maxBatch: 64,
    maxWaiting: 256,
    blockTokens: 512,
    prefixCacheBlocks: 4096,
    loadLagMs: 250,
    fencing: 'refuse',
    tokenLetter: 't',
    crashPrompt: '',
    restartMs: 500,
    ...options,
  };
}
