/**
 * Options of the engine stand-in and their defaults. The cost model is
 * scaled so that a bench on one machine runs in seconds: a 1M-token prompt
 * takes about 2.5 s of prefill at the default rate.
 */

/** How an engine treats an order that carries an old fencing number. */
export type FencingMode = 'refuse' | 'ignore';

/** Options of one engine stand-in. */
export interface EngineOptions {
  /** Name used in logs and load reports. */
  readonly id: string;
  /**
   * KV memory, in tokens, for prompts and generated tokens together.
   * @default 2_400_000
   */
  readonly kvCapacityTokens?: number;
  /**
   * Prompt tokens prefilled a second.
   * @default 400_000
   */
  readonly prefillTokensPerSecond?: number;
  /**
   * Most prompt tokens prefilled in one step (chunked prefill).
   * @default 16_384
   */
  readonly prefillChunkTokens?: number;
  /**
   * Time of one decode step, in ms.
   * @default 8
   */
  readonly decodeStepMs?: number;
  /**
   * Most sequences decoded in one step.
   * @default 64
   */
  readonly maxBatch?: number;
  /**
   * Most sequences waiting for KV memory before new ones are refused.
   * @default 256
   */
  readonly maxWaiting?: number;
  /**
   * Tokens in one prefix-cache block.
   * @default 512
   */
  readonly blockTokens?: number;
  /**
   * Blocks kept in the prefix cache.
   * @default 4096
   */
  readonly prefixCacheBlocks?: number;
  /**
   * Age of the load figures the engine reports, in ms.
   * @default 250
   */
  readonly loadLagMs?: number;
  /**
   * Treatment of orders with an old fencing number.
   * @default 'refuse'
   */
  readonly fencing?: FencingMode;
  /**
   * Letter that this engine's tokens begin with (` t0 t1 …`): different letters
   * stand for sampling, so pieces of two runs can be told apart.
   *
   * @default 't'
   */
  readonly tokenLetter?: string;
}

/** Options with every default filled in. */
export type ResolvedEngineOptions = Required<EngineOptions>;

/**
 * Fills in the defaults of engine options.
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
    ...options,
  };
}
