/**
 * Long prompts that wait at the gates for engines without prefill. A gate
 * repeats its announcements while a prompt waits, so that nothing is held for a
 * gate that has died or whose last datagram was lost.
 */
import type {CalendarPrompt} from './prefill-calendar.js';

/** Interval at which a waiting prompt is announced again, in ms. */
export const ANNOUNCE_INTERVAL_MS = 200;

/** Time for which an announcement is valid, in ms: two may be lost. */
export const ANNOUNCEMENT_VALID_MS = 700;

/** Maximum number of waiting prompts that a gate keeps. */
const MAX_WAITING = 512;

/** Announcement that a prompt waits, or that it no longer does. */
export interface WaitReport {
  readonly key: string;
  readonly service: string;
  /** Prefill time on one idle engine, in ms. */
  readonly prefillMs: number;
  /** Time left until the objective is missed, in ms; negative after that. */
  readonly dueMs: number;
  /** Time for which the report is valid, in ms; 0 if the wait has ended. */
  readonly validMs: number;
}

interface WaitingPrompt {
  readonly service: string;
  readonly prefillMs: number;
  readonly dueAt: number;
  readonly validUntil: number;
}

/**
 * Waiting prompts of all gates, as one gate knows them.
 *
 * @example
 * const waiting = new WaitingPrompts(readNow);
 * waiting.receive(report);
 * waiting.listOthers('chat', 'a#1').length;
 */
export class WaitingPrompts {
  private readonly prompts = new Map<string, WaitingPrompt>();

  constructor(private readonly readNow: () => number) {}

  /** Number of prompts that are known to wait. */
  get size(): number {
    this.expire();
    return this.prompts.size;
  }

  /** Stores the report of a prompt, or removes the prompt. */
  receive({key, service, prefillMs, dueMs, validMs}: WaitReport): void {
    const now = this.readNow();
    this.prompts.delete(key);
    if (validMs <= 0) return;
    if (this.prompts.size >= MAX_WAITING) this.expire();
    if (this.prompts.size >= MAX_WAITING) return;
    this.prompts.set(key, {
      service,
      prefillMs,
      dueAt: now + dueMs,
      validUntil: now + Math.min(validMs, ANNOUNCEMENT_VALID_MS),
    });
  }

  /** Lists the waiting prompts of a service apart from one. */
  listOthers(service: string, ownKey: string): readonly CalendarPrompt[] {
    this.expire();
    const now = this.readNow();
    const others: CalendarPrompt[] = [];
    for (const [key, prompt] of this.prompts)
      if (key !== ownKey && prompt.service === service)
        others.push({
          key,
          prefillMs: prompt.prefillMs,
          dueMs: prompt.dueAt - now,
        });
    return others;
  }

  private expire(): void {
    const now = this.readNow();
    for (const [key, {validUntil}] of this.prompts)
      if (validUntil <= now) this.prompts.delete(key);
  }
}
