/**
 * Decides for which idempotency keys the ledger of this agent is complete. A
 * keyed request runs only at its home, the target that rendezvous hashing
 * selects from the pool's configured targets. The ledger is in memory, so it
 * lacks keys that ran before this process started or while another target was
 * their home; the agent answers requests with such keys as "outcome unknown".
 */
import {CLOCK_SKEW_MS, findHome} from '@nutmeggauge/core';

/**
 * Result of an ownership check of an idempotency key.
 * - `owned`: the ledger would hold the key if it had run; it may be claimed.
 * - `not-home`: another target is the key's home.
 * - `forgotten`: the key may have run without an entry in this ledger.
 */
export type KeyVerdict = 'owned' | 'not-home' | 'forgotten';

/** Options of a KeyOwnership. */
export interface KeyOwnershipOptions {
  /** Id of this agent's target in the configuration record. */
  readonly targetId: string;
  /**
   * Time since which the ledger holds every claim, in epoch ms; -Infinity when
   * no request ran before this process.
   */
  readonly bornAt: number;
  /** Time for which the ledger keeps a claim, in ms. */
  readonly retainMs: number;
  /**
   * Longest time that a configuration change takes to reach all gates, in ms.
   * Until then gates may still send keys to their former homes.
   * @default 8000
   */
  readonly configPropagationMs?: number;
}

interface FormerTargets {
  readonly ids: readonly string[];
  /** Epoch ms until which the former targets may have received requests. */
  readonly until: number;
}

interface PoolTargets {
  readonly ids: readonly string[];
  readonly former: readonly FormerTargets[];
}

/**
 * Ownership checks of idempotency keys at one agent.
 *
 * @example
 * const ownership = createKeyOwnership({targetId: 'plain-1', bornAt: Date.now(), retainMs: 900_000});
 * ownership.applyTargets('orders', ['plain-1', 'plain-2'], Date.now());
 * ownership.checkKey('orders', 'acct:order-1', mintedAt, Date.now());
 */
export class KeyOwnership {
  private readonly pools = new Map<string, PoolTargets>();

  constructor(private readonly options: KeyOwnershipOptions) {}

  /** Applies the targets that a newly accepted record lists for `pool`. */
  applyTargets(pool: string, ids: readonly string[], now: number): void {
    const held = this.pools.get(pool);
    if (held === undefined) {
      this.pools.set(pool, {ids, former: []});
      return;
    }
    if (held.ids.join() === ids.join()) return;
    const until =
      now + (this.options.configPropagationMs ?? 8000) + CLOCK_SKEW_MS;
    const former = [...held.former, {ids: held.ids, until}].filter(
      formerTargets => formerTargets.until > now - this.options.retainMs,
    );
    this.pools.set(pool, {ids, former});
  }

  /** Checks whether the ledger would hold `key` if its request had run. */
  checkKey(
    pool: string,
    key: string,
    mintedAt: number | undefined,
    now: number,
  ): KeyVerdict {
    const targets = this.pools.get(pool);
    if (targets !== undefined && !this.isHome(targets.ids, key))
      return 'not-home';
    const completeSince = this.findCompleteSince(targets, key);
    // A caller sends a key only after minting it, so a key minted after
    // `completeSince` cannot have run before it. A key without a mint time is
    // owned only once any claim of it that this ledger lacks has expired.
    if (mintedAt === undefined)
      return completeSince <= now - this.options.retainMs
        ? 'owned'
        : 'forgotten';
    if (mintedAt < now - this.options.retainMs) return 'forgotten';
    return mintedAt >= completeSince ? 'owned' : 'forgotten';
  }

  /** Returns the epoch ms since which the ledger holds every claim of `key`. */
  private findCompleteSince(
    targets: PoolTargets | undefined,
    key: string,
  ): number {
    const otherHomesUntil = (targets?.former ?? [])
      .filter(former => !this.isHome(former.ids, key))
      .map(former => former.until);
    return Math.max(this.options.bornAt, ...otherHomesUntil);
  }

  private isHome(ids: readonly string[], key: string): boolean {
    return findHome(ids, key) === this.options.targetId;
  }
}

/**
 * Creates a KeyOwnership without pools; `applyTargets` adds them.
 *
 * @example
 * const ownership = createKeyOwnership({targetId: 'plain-1', bornAt: -Infinity, retainMs: 900_000});
 */
export function createKeyOwnership(options: KeyOwnershipOptions): KeyOwnership {
  return new KeyOwnership(options);
}
