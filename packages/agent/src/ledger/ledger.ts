/**
 * At-most-once ledger for requests that must not run twice. An entry is written
 * before the request is sent to the target, so a duplicate of the request (a
 * retry by the caller or by a gate) finds the entry and is not run.
 */
import type {DispatchOutcome} from '@nutmeggauge/core';

/** State of one idempotency key in the ledger. */
export type LedgerEntry =
  | {
      readonly state: 'started';
      readonly requestId: string;
      readonly claimedAt: number;
    }
  | {
      readonly state: 'settled';
      readonly requestId: string;
      readonly claimedAt: number;
      readonly outcome: DispatchOutcome;
      /** Text of each chunk; undefined when longer than MAX_REPLAY_CHARS. */
      readonly chunkTexts: readonly string[] | undefined;
    };

/** Longest streamed answer that is kept for duplicates, in characters. */
export const MAX_REPLAY_CHARS = 65_536;

/** Result of `claim` when the ledger holds `maxEntries` unexpired keys. */
export const LEDGER_FULL = 'full';

/** Options of a ledger. */
export interface LedgerOptions {
  /**
   * Time for which an entry is kept, in ms.
   * @default 900_000
   */
  readonly retainMs?: number;
  /**
   * Maximum number of entries; further claims are refused, as dropping an
   * unexpired entry could let its request run twice.
   * @default 50_000
   */
  readonly maxEntries?: number;
}

/**
 * In-memory at-most-once ledger of one agent.
 *
 * @example
 * const ledger = createLedger();
 * ledger.claim('acct:order-1', 'r1'); // undefined: first claim, go ahead
 * ledger.claim('acct:order-1', 'r2'); // {state: 'started', ...}: do not run
 */
export class Ledger {
  private readonly entries = new Map<string, LedgerEntry>();
  private readonly retainMs: number;
  private readonly maxEntries: number;

  constructor(options: LedgerOptions = {}) {
    this.retainMs = options.retainMs ?? 900_000;
    this.maxEntries = options.maxEntries ?? 50_000;
  }

  /**
   * Claims `key` for `requestId`. Returns undefined when the key was free, the
   * existing entry when the key was claimed before (the request must not run
   * again), or LEDGER_FULL when no key can be added (the request must not run
   * yet).
   */
  claim(
    key: string,
    requestId: string,
    now = Date.now(),
  ): LedgerEntry | typeof LEDGER_FULL | undefined {
    this.expire(now);
    const existing = this.entries.get(key);
    if (existing !== undefined) return existing;
    // Evicting an unexpired entry could let a late duplicate run again.
    if (this.entries.size >= this.maxEntries) return LEDGER_FULL;
    this.entries.set(key, {state: 'started', requestId, claimedAt: now});
    return undefined;
  }

  /** Returns the entry of `key` without claiming it. */
  find(key: string, now = Date.now()): LedgerEntry | undefined {
    this.expire(now);
    return this.entries.get(key);
  }

  /** Records the final outcome of a claimed key and its chunk texts. */
  settle(
    key: string,
    outcome: DispatchOutcome,
    chunkTexts: readonly string[] = [],
  ): void {
    const entry = this.entries.get(key);
    if (entry === undefined) return;
    this.entries.set(key, {
      state: 'settled',
      requestId: entry.requestId,
      claimedAt: entry.claimedAt,
      outcome,
      chunkTexts:
        chunkTexts.reduce((sum, chunkText) => sum + chunkText.length, 0) <=
        MAX_REPLAY_CHARS
          ? chunkTexts
          : undefined,
    });
  }

  /**
   * Removes a claim whose request never reached the target, so that a later
   * duplicate may run. Only a `not-run` outcome allows the release of a claim.
   */
  release(key: string): void {
    this.entries.delete(key);
  }

  /** Number of keys in the ledger. */
  get size(): number {
    return this.entries.size;
  }

  /** Removes expired entries; the map is in claim order, oldest first. */
  private expire(now: number): void {
    for (const [key, entry] of this.entries) {
      if (entry.claimedAt > now - this.retainMs) break;
      this.entries.delete(key);
    }
  }
}

/**
 * Creates an empty ledger.
 *
 * @example
 * const ledger = createLedger({retainMs: 3_600_000});
 */
export function createLedger(options: LedgerOptions = {}): Ledger {
  return new Ledger(options);
}
