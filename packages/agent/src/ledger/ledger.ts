/**
 * The at-most-once ledger for requests that must not be repeated. An entry
 * is written before the request is handed to the target, so a second copy of
 * the same request (a caller's retry, a gate's retry) finds it and is not run.
 */
import type {DispatchOutcome} from '@nutmeggauge/core';

/** What the ledger knows of one key. */
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
      /** Text of each chunk; undefined when it was too long to keep. */
      readonly pieces: readonly string[] | undefined;
    };

/** Longest streamed answer that the ledger keeps for a repeat, in characters. */
export const MAX_REPLAY_CHARS = 65_536;

/** Answer of `claim` when the ledger holds `maxEntries` keys within their retention. */
export const LEDGER_FULL = 'full';

/** Options of the ledger. */
export interface LedgerOptions {
  /**
   * How long an entry is kept, in ms.
   * @default 900_000
   */
  readonly retainMs?: number;
  /**
   * Most entries kept; past it new claims are refused, never old ones dropped.
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
   * Claims `key` for `requestId`. Returns undefined when the claim is new,
   * the entry that holds the key (the request must not run again), or
   * LEDGER_FULL when no key can be taken in (the request must not run yet).
   */
  claim(
    key: string,
    requestId: string,
    now = Date.now(),
  ): LedgerEntry | typeof LEDGER_FULL | undefined {
    this.expire(now);
    const existing = this.entries.get(key);
    if (existing !== undefined) return existing;
    // Dropping a live entry could let a late copy run twice, so a full ledger
    // refuses.
    if (this.entries.size >= this.maxEntries) return LEDGER_FULL;
    this.entries.set(key, {state: 'started', requestId, claimedAt: now});
    return undefined;
  }

  /** Returns the entry of `key` without claiming it. */
  find(key: string, now = Date.now()): LedgerEntry | undefined {
    this.expire(now);
    return this.entries.get(key);
  }

  /** Records the final outcome of a claimed key and the chunks it streamed. */
  settle(
    key: string,
    outcome: DispatchOutcome,
    pieces: readonly string[] = [],
  ): void {
    const entry = this.entries.get(key);
    if (entry === undefined) return;
    this.entries.set(key, {
      state: 'settled',
      requestId: entry.requestId,
      claimedAt: entry.claimedAt,
      outcome,
      pieces:
        pieces.reduce((sum, piece) => sum + piece.length, 0) <= MAX_REPLAY_CHARS
          ? pieces
          : undefined,
    });
  }

  /**
   * Drops a claim whose request provably never reached the target, so that
   * a later copy may run. Only a `not-run` outcome may release a claim.
   */
  release(key: string): void {
    this.entries.delete(key);
  }

  /** Number of keys held. */
  get size(): number {
    return this.entries.size;
  }

  /** Drops entries past retention; the map is in claim order, oldest first. */
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
