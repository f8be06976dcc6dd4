/**
 * Which caller keys this agent's ledger can speak for. A keyed request runs
 * only at its home, the target that rendezvous hashing over the pool's
 * configured targets finds. The ledger is in memory, so it knows nothing of
 * keys that ran before this process started, or while another target was
 * their home; for those the agent must answer "outcome unknown".
 */
import {CLOCK_SKEW_MS, findHome} from '@nutmeggauge/core';

/**
 * - `owned`: the ledger would hold the key if it had run; it may be claimed.
 * - `not-home`: another target is the key's home.
 * - `forgotten`: the key may have run where this ledger has no record of it.
 */
export type KeyVerdict = 'owned' | 'not-home' | 'forgotten';

/** Options of key ownership. */
export interface KeyOwnershipOptions {
  /** Id of this agent's target in the configuration record. */
  readonly targetId: string;
  /** Epoch ms since which the ledger holds every claim; -Infinity when nothing ran before it. */
  readonly bornAt: number;
  /** How long the ledger keeps a claim, in ms. */
  readonly retainMs: number;
  /**
   * Time after a change of a pool's targets in which gates may still send
   * keys to their former homes, in ms: the bound of configuration.
   * @default 8000
   */
  readonly settleMs?: number;
}

interface FormerTargets {
  readonly ids: readonly string[];
  /** Epoch ms until which they may have taken requests. */
  readonly until: number;
}

interface PoolTargets {
  readonly ids: readonly string[];
  readonly former: readonly FormerTargets[];
}

/**
 * Ownership of keys at one agent.
 *
 * @example
 * const ownership = createKeyOwnership({targetId: 'plain-1', bornAt: Date.now(), retainMs: 900_000});
 * ownership.applyTargets('orders', ['plain-1', 'plain-2'], Date.now());
 * ownership.checkKey('orders', 'acct:order-1', mintedAt, Date.now());
 */
export class KeyOwnership {
  private readonly pools = new Map<string, PoolTargets>();

  constructor(private readonly options: KeyOwnershipOptions) {}

  /** Takes in the targets that a newly accepted record lists for `pool`. */
  applyTargets(pool: string, ids: readonly string[], now: number): void {
    const held = this.pools.get(pool);
    if (held === undefined) {
      this.pools.set(pool, {ids, former: []});
      return;
    }
    if (held.ids.join() === ids.join()) return;
    const until = now + (this.options.settleMs ?? 8000) + CLOCK_SKEW_MS;
    const former = [...held.former, {ids: held.ids, until}].filter(
      f => f.until > now - this.options.retainMs,
    );
    this.pools.set(pool, {ids, former});
  }

  /** Tells what the ledger can say of `key`. */
  checkKey(
    pool: string,
    key: string,
    mintedAt: number | undefined,
    now: number,
  ): KeyVerdict {
    const targets = this.pools.get(pool);
    if (targets !== undefined && !this.isHome(targets.ids, key))
      return 'not-home';
    const knownSince = this.findKnownSince(targets, key);
    // A caller's first try comes at or after the minting of its key, so a key
    // minted after `knownSince` cannot have run before it. A key that does
    // not tell its age is known only once every claim it may have had
    // elsewhere is older than the window in which keys are honoured.
    if (mintedAt === undefined)
      return knownSince <= now - this.options.retainMs ? 'owned' : 'forgotten';
    if (mintedAt < now - this.options.retainMs) return 'forgotten';
    return mintedAt >= knownSince ? 'owned' : 'forgotten';
  }

  private findKnownSince(
    targets: PoolTargets | undefined,
    key: string,
  ): number {
    const elsewhere = (targets?.former ?? [])
      .filter(former => !this.isHome(former.ids, key))
      .map(former => former.until);
    return Math.max(this.options.bornAt, ...elsewhere);
  }

  private isHome(ids: readonly string[], key: string): boolean {
    return findHome(ids, key) === this.options.targetId;
  }
}

/**
 * Creates key ownership that knows no pools yet.
 *
 * @example
 * const ownership = createKeyOwnership({targetId: 'plain-1', bornAt: -Infinity, retainMs: 900_000});
 */
export function createKeyOwnership(options: KeyOwnershipOptions): KeyOwnership {
  return new KeyOwnership(options);
}
