/** Model of an engine that prefills and decodes in virtual time. */
import {estimateDecodeMs} from '../placement/engine-model.js';
import {EngineIterations} from '../placement/engine-iterations.js';
import type {ShardWork} from '../placement/engine-iterations.js';
import type {EngineCostModel} from '../types.js';

interface RunningStream {
  /** Time at which the last event is sent, in ms. */
  readonly endsAt: number;
}

/** Prompt that an engine decodes after its prefill. */
export interface ModelPrompt {
  readonly key: string;
  readonly tokens: number;
  readonly events: number;
}

/**
 * Engine that admits as many streams as it has slots and queues the others.
 *
 * @example
 * engine.submitPrompt(prompt, shard, now);
 * engine.isPrefilled(prompt.key, now);
 */
export class ModelEngine {
  private readonly iterations: EngineIterations;
  private readonly admitted = new Set<string>();
  private readonly helping = new Set<string>();
  private readonly running = new Map<string, RunningStream>();
  private waiting: Array<{
    readonly prompt: ModelPrompt;
    readonly shard: ShardWork;
  }> = [];

  constructor(private readonly model: EngineCostModel) {
    this.iterations = new EngineIterations(model);
  }

  /** Accepts a prompt that this engine decodes. */
  submitPrompt(prompt: ModelPrompt, shard: ShardWork, now: number): void {
    this.waiting.push({prompt, shard});
    this.admitWaiting(now);
  }

  /** Accepts a shard that this engine prefills for another one. */
  submitShard(key: string, shard: ShardWork, now: number): void {
    this.helping.add(key);
    this.iterations.addShard(key, shard, now);
  }

  /** Returns whether a shard has been prefilled. */
  isPrefilled(key: string, now: number): boolean {
    const isKnown = this.admitted.has(key) || this.helping.has(key);
    return isKnown && !this.iterations.listPrefillEnds(now).has(key);
  }

  /** Starts to decode a prompt of which all shards are prefilled. */
  startDecoding({key, tokens, events}: ModelPrompt, now: number): void {
    this.iterations.addSequence(key, tokens, now);
    const eventMs = estimateDecodeMs(1, tokens, this.model);
    this.running.set(key, {endsAt: now + events * eventMs});
  }

  /** Ends the streams whose last event is due; returns their keys. */
  endStreams(now: number): readonly string[] {
    const ended = [...this.running]
      .filter(([, {endsAt}]) => endsAt <= now)
      .map(([key]) => key);
    for (const key of ended) {
      this.running.delete(key);
      this.admitted.delete(key);
      this.iterations.removeSequence(key, now);
    }
    if (ended.length > 0) this.admitWaiting(now);
    return ended;
  }

  /** Drops a prefilled shard of another engine's prompt. */
  dropShard(key: string, now: number): void {
    this.helping.delete(key);
    this.iterations.removeShard(key, now);
  }

  private admitWaiting(now: number): void {
    while (this.waiting.length > 0 && this.admitted.size < this.model.slots) {
      const [{prompt, shard}] = this.waiting.splice(0, 1);
      this.admitted.add(prompt.key);
      this.iterations.addShard(prompt.key, shard, now);
    }
  }
}
