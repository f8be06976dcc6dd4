/**
 * Simulates continuous batching with chunked prefill. Each step prefills up to
 * `prefillChunkTokens` in priority order and decodes one token for each of up
 * to `maxBatch` sequences. A step lasts `decodeStepMs` plus the prefill time,
 * and its tokens are sent at its end. A sequence whose prefill completes in a
 * step gets its first token from that step. Each sequence reserves KV cache
 * space under a lease that expires.
 */
import {countTokens} from '@nutmeggauge/core';
import {PrefixCache, hashPromptBlocks} from './prefix-cache.js';
import type {ResolvedEngineOptions} from './options.js';

/** Callbacks for the tokens and the end of a submitted sequence. */
export interface SequenceListener {
  onToken(seq: number, text: string): void;
  onDone(summary: {
    readonly tokens: number;
    readonly cachedTokens: number;
  }): void;
  onFail(reason: 'lease_expired' | 'cancelled' | 'too_large'): void;
}

/** A generation request as the engine receives it. */
export interface SequenceRequest {
  readonly requestId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Priority of the sequence; lower values run first, 0 is the highest. */
  readonly priority: number;
  /** Time after which the KV cache reservation is released, in ms. */
  readonly leaseMs: number;
  /** Set when the request resumes an answer begun by another engine. */
  readonly resume?: {readonly fromSeq: number; readonly text: string};
}

interface Sequence {
  readonly request: SequenceRequest;
  readonly listener: SequenceListener;
  readonly promptTokens: number;
  readonly blocks: readonly string[];
  readonly arrivedAt: number;
  readonly leaseExpiresAt: number;
  cachedTokens: number;
  prefillLeft: number;
  generated: number;
  /** First letter of the tokens of this sequence. */
  readonly letter: string;
  reserved: boolean;
}

/** Part of a sequence's prompt that is prefilled in one step. */
interface PrefillChunk {
  readonly sequence: Sequence;
  readonly tokens: number;
}

/** Shortest duration of a step, in ms. */
const MIN_STEP_MS = 1;

/**
 * Interval at which an engine without running sequences tries again to admit
 * waiting sequences, for example when its KV cache is full, in ms.
 */
const IDLE_RECHECK_MS = 20;

/** Load of one engine, in sequences and tokens. */
export interface EngineLoad {
  readonly waiting: number;
  readonly running: number;
  readonly pendingPrefillTokens: number;
  readonly pendingDecodeTokens: number;
  readonly kvUsedTokens: number;
  readonly kvCapacityTokens: number;
}

/**
 * Scheduler of one engine stand-in.
 *
 * @example
 * const scheduler = new EngineScheduler(resolveEngineOptions({id: 'e1'}));
 * scheduler.submit(request, listener);
 */
export class EngineScheduler {
  readonly cache: PrefixCache;
  /** Number of sequences accepted so far, by which tests count runs. */
  submitted = 0;
  private readonly waiting: Sequence[] = [];
  private readonly running: Sequence[] = [];
  private kvUsed = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ResolvedEngineOptions) {
    this.cache = new PrefixCache(options.prefixCacheBlocks);
  }

  /** Submits a sequence; returns false when the waiting queue is full. */
  submit(request: SequenceRequest, listener: SequenceListener): boolean {
    if (this.waiting.length >= this.options.maxWaiting) return false;
    this.submitted++;
    const promptTokens = countTokens(request.prompt);
    const now = Date.now();
    this.waiting.push({
      request,
      listener,
      promptTokens,
      blocks: hashPromptBlocks(request.prompt, this.options.blockTokens),
      arrivedAt: now,
      leaseExpiresAt: now + request.leaseMs,
      cachedTokens: 0,
      prefillLeft: promptTokens,
      generated: request.resume?.fromSeq ?? 0,
      letter: readTokenLetter(request) ?? this.options.tokenLetter,
      reserved: false,
    });
    this.schedule();
    return true;
  }

  /** Cancels a sequence and frees its KV cache; unknown ids are ignored. */
  cancel(requestId: string): void {
    const sequence = [...this.waiting, ...this.running].find(
      s => s.request.requestId === requestId,
    );
    if (sequence === undefined) return;
    this.finish(sequence);
    sequence.listener.onFail('cancelled');
  }

  /** Returns the current load, without reporting lag. */
  readLoad(): EngineLoad {
    const sequences = [...this.waiting, ...this.running];
    return {
      waiting: this.waiting.length,
      running: this.running.length,
      pendingPrefillTokens: sequences.reduce(
        (sum, s) => sum + s.prefillLeft,
        0,
      ),
      pendingDecodeTokens: sequences.reduce(
        (sum, s) => sum + (s.request.maxTokens - s.generated),
        0,
      ),
      kvUsedTokens: this.kvUsed,
      kvCapacityTokens: this.options.kvCapacityTokens,
    };
  }

  /** Stops the step timer; sequences stay as they are. */
  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private schedule(): void {
    if (this.timer !== undefined) return;
    this.startStep();
  }

  private startStep(): void {
    this.expireLeases(Date.now());
    this.admitWaiting();
    if (this.running.length === 0) {
      if (this.waiting.length > 0)
        this.timer = setTimeout(() => this.endIdleWait(), IDLE_RECHECK_MS);
      return;
    }
    this.running.sort(compareSequences);
    const decoding = this.running
      .filter(sequence => sequence.prefillLeft === 0)
      .slice(0, this.options.maxBatch);
    const prefillChunks = this.planPrefill();
    const tokens = prefillChunks.reduce(
      (sum, prefillChunk) => sum + prefillChunk.tokens,
      0,
    );
    const prefillMs = (tokens / this.options.prefillTokensPerSecond) * 1000;
    const decodeMs = decoding.length > 0 ? this.options.decodeStepMs : 0;
    this.timer = setTimeout(
      () => this.endStep(prefillChunks, decoding),
      Math.max(MIN_STEP_MS, prefillMs + decodeMs),
    );
  }

  private endIdleWait(): void {
    this.timer = undefined;
    this.startStep();
  }

  private endStep(
    prefillChunks: readonly PrefillChunk[],
    decoding: readonly Sequence[],
  ): void {
    this.timer = undefined;
    const sequencesWithToken = [...decoding];
    for (const {sequence, tokens} of prefillChunks) {
      sequence.prefillLeft -= tokens;
      if (sequence.prefillLeft > 0) continue;
      this.cache.store(sequence.blocks);
      sequencesWithToken.push(sequence);
    }
    for (const sequence of sequencesWithToken) {
      if (sequence.reserved) this.sendToken(sequence);
    }
    this.startStep();
  }

  /**
   * Ends sequences whose lease has expired, so that the KV cache space of a
   * disappeared caller is freed.
   */
  private expireLeases(now: number): void {
    for (const sequence of [...this.waiting, ...this.running]) {
      if (sequence.leaseExpiresAt > now) continue;
      this.finish(sequence);
      sequence.listener.onFail('lease_expired');
    }
  }

  private admitWaiting(): void {
    this.waiting.sort(compareSequences);
    for (const sequence of [...this.waiting]) {
      const neededTokens = sequence.promptTokens + sequence.request.maxTokens;
      if (neededTokens > this.options.kvCapacityTokens) {
        this.finish(sequence);
        sequence.listener.onFail('too_large');
        continue;
      }
      if (this.kvUsed + neededTokens > this.options.kvCapacityTokens) continue;
      this.waiting.splice(this.waiting.indexOf(sequence), 1);
      this.kvUsed += neededTokens;
      sequence.reserved = true;
      const hits = this.cache.countLeadingHits(sequence.blocks);
      sequence.cachedTokens = Math.min(
        sequence.promptTokens,
        hits * this.options.blockTokens,
      );
      // The last prompt token is always prefilled, because its prefill yields
      // the first generated token.
      sequence.prefillLeft = Math.max(
        1,
        sequence.promptTokens - sequence.cachedTokens,
      );
      this.running.push(sequence);
    }
  }

  /** Distributes the step's prefill budget over the prompts by priority. */
  private planPrefill(): PrefillChunk[] {
    let budget = this.options.prefillChunkTokens;
    const prefillChunks: PrefillChunk[] = [];
    for (const sequence of this.running) {
      if (budget === 0) break;
      if (sequence.prefillLeft === 0) continue;
      const tokens = Math.min(budget, sequence.prefillLeft);
      budget -= tokens;
      prefillChunks.push({sequence, tokens});
    }
    return prefillChunks;
  }

  private sendToken(sequence: Sequence): void {
    sequence.listener.onToken(
      sequence.generated,
      ` ${sequence.letter}${sequence.generated}`,
    );
    sequence.generated++;
    if (sequence.generated < sequence.request.maxTokens) return;
    this.finish(sequence);
    sequence.listener.onDone({
      tokens: sequence.generated,
      cachedTokens: sequence.cachedTokens,
    });
  }

  private finish(sequence: Sequence): void {
    const queue = sequence.reserved ? this.running : this.waiting;
    const index = queue.indexOf(sequence);
    if (index >= 0) queue.splice(index, 1);
    if (sequence.reserved)
      this.kvUsed -= sequence.promptTokens + sequence.request.maxTokens;
    sequence.reserved = false;
  }
}

/** Reads the token letter of a resumed answer, which its new tokens keep. */
function readTokenLetter(request: SequenceRequest): string | undefined {
  return / (\D)\d+$/.exec(request.resume?.text ?? '')?.[1];
}

function compareSequences(a: Sequence, b: Sequence): number {
  return a.request.priority - b.request.priority || a.arrivedAt - b.arrivedAt;
}
