/**
 * Continuous batching with chunked prefill. Each step prefills up to
 * `prefillChunkTokens` in priority order and decodes one token for up to
 * `maxBatch` sequences; the step lasts `decodeStepMs` plus the prefill cost,
 * and what it produced is out at its end. A sequence whose prefill ends in a
 * step has its first token from that step.
 * KV memory is reserved per sequence as a lease that expires.
 */
import {countTokens} from '@nutmeggauge/core';
import {PrefixCache, hashPromptBlocks} from './prefix-cache.js';
import type {ResolvedEngineOptions} from './options.js';

/** What the caller of `submit` hears about its sequence. */
export interface SequenceListener {
  onToken(seq: number, text: string): void;
  onDone(summary: {
    readonly tokens: number;
    readonly cachedTokens: number;
  }): void;
  onFail(reason: 'lease_expired' | 'cancelled' | 'too_large'): void;
}

/** A request to generate, as the engine receives it. */
export interface SequenceRequest {
  readonly requestId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Lower runs first; 0 is the most urgent. */
  readonly priority: number;
  /** Time after which the KV reservation is released, in ms. */
  readonly leaseMs: number;
  /** Set when the request goes on with an answer that broke off elsewhere. */
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
  /** Letter that the tokens of this answer begin with. */
  readonly letter: string;
  reserved: boolean;
}

/** Prefill work of one step. */
interface PrefillRead {
  readonly sequence: Sequence;
  readonly tokens: number;
}

/** Shortest step, in ms. */
const MIN_STEP_MS = 1;

/** How soon an engine whose KV cache is full checks again, in ms. */
const IDLE_RECHECK_MS = 20;

/** Load figures of one engine. */
export interface EngineLoad {
  readonly waiting: number;
  readonly running: number;
  readonly pendingPrefillTokens: number;
  readonly pendingDecodeTokens: number;
  readonly kvUsedTokens: number;
  readonly kvCapacityTokens: number;
}

/**
 * The scheduler of one engine stand-in.
 *
 * @example
 * const scheduler = new EngineScheduler(resolveEngineOptions({id: 'e1'}));
 * scheduler.submit(request, listener);
 */
export class EngineScheduler {
  readonly cache: PrefixCache;
  /** Sequences ever submitted; tests count runs of one request with it. */
  submitted = 0;
  private readonly waiting: Sequence[] = [];
  private readonly running: Sequence[] = [];
  private kvUsed = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ResolvedEngineOptions) {
    this.cache = new PrefixCache(options.prefixCacheBlocks);
  }

  /** Queues a sequence; returns false when the waiting queue is full. */
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

  /** Cancels a sequence and frees its KV memory; unknown ids are ignored. */
  cancel(requestId: string): void {
    const sequence = [...this.waiting, ...this.running].find(
      s => s.request.requestId === requestId,
    );
    if (sequence === undefined) return;
    this.finish(sequence);
    sequence.listener.onFail('cancelled');
  }

  /** Current load, before any reporting lag. */
  readLoad(): EngineLoad {
    const all = [...this.waiting, ...this.running];
    return {
      waiting: this.waiting.length,
      running: this.running.length,
      pendingPrefillTokens: all.reduce((sum, s) => sum + s.prefillLeft, 0),
      pendingDecodeTokens: all.reduce(
        (sum, s) => sum + (s.request.maxTokens - s.generated),
        0,
      ),
      kvUsedTokens: this.kvUsed,
      kvCapacityTokens: this.options.kvCapacityTokens,
    };
  }

  /** Stops the step timer; sequences are left as they are. */
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
        this.timer = setTimeout(() => this.endIdle(), IDLE_RECHECK_MS);
      return;
    }
    this.running.sort(compareSequences);
    const decoding = this.running
      .filter(sequence => sequence.prefillLeft === 0)
      .slice(0, this.options.maxBatch);
    const reads = this.planPrefill();
    const tokens = reads.reduce((sum, read) => sum + read.tokens, 0);
    const prefillMs = (tokens / this.options.prefillTokensPerSecond) * 1000;
    const decodeMs = decoding.length > 0 ? this.options.decodeStepMs : 0;
    this.timer = setTimeout(
      () => this.endStep(reads, decoding),
      Math.max(MIN_STEP_MS, prefillMs + decodeMs),
    );
  }

  private endIdle(): void {
    this.timer = undefined;
    this.startStep();
  }

  private endStep(
    reads: readonly PrefillRead[],
    decoding: readonly Sequence[],
  ): void {
    this.timer = undefined;
    const producing = [...decoding];
    for (const {sequence, tokens} of reads) {
      sequence.prefillLeft -= tokens;
      if (sequence.prefillLeft > 0) continue;
      this.cache.store(sequence.blocks);
      producing.push(sequence);
    }
    for (const sequence of producing) {
      if (sequence.reserved) this.sendToken(sequence);
    }
    this.startStep();
  }

  /**
   * Ends sequences whose lease has expired, so that a vanished caller does not
   * hold KV cache for good.
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
      const need = sequence.promptTokens + sequence.request.maxTokens;
      if (need > this.options.kvCapacityTokens) {
        this.finish(sequence);
        sequence.listener.onFail('too_large');
        continue;
      }
      if (this.kvUsed + need > this.options.kvCapacityTokens) continue;
      this.waiting.splice(this.waiting.indexOf(sequence), 1);
      this.kvUsed += need;
      sequence.reserved = true;
      const hits = this.cache.countLeadingHits(sequence.blocks);
      sequence.cachedTokens = Math.min(
        sequence.promptTokens,
        hits * this.options.blockTokens,
      );
      // The last token is always prefilled: it produces the first new one.
      sequence.prefillLeft = Math.max(
        1,
        sequence.promptTokens - sequence.cachedTokens,
      );
      this.running.push(sequence);
    }
  }

  /** Shares the step's chunk over the queued prompts, in priority order. */
  private planPrefill(): PrefillRead[] {
    let budget = this.options.prefillChunkTokens;
    const reads: PrefillRead[] = [];
    for (const sequence of this.running) {
      if (budget === 0) break;
      if (sequence.prefillLeft === 0) continue;
      const tokens = Math.min(budget, sequence.prefillLeft);
      budget -= tokens;
      reads.push({sequence, tokens});
    }
    return reads;
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

/** A resumed answer keeps its letter. */
function readTokenLetter(request: SequenceRequest): string | undefined {
  return / (\D)\d+$/.exec(request.resume?.text ?? '')?.[1];
}

function compareSequences(a: Sequence, b: Sequence): number {
  return a.request.priority - b.request.priority || a.arrivedAt - b.arrivedAt;
}
