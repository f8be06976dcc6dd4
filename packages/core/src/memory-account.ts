/**
 * Account of the memory that callers make a process hold: heads and bodies that have
 * not arrived whole, and bodies that are kept until their requests are answered.
 */

/**
 * Bytes that each request may hold beside the account, so that small requests stay
 * possible while large ones fill it.
 */
const FREE_BYTES = 8 * 1024;

/** Memory of an open request and its connection beside its bytes, in bytes. */
const OPEN_REQUEST_BYTES = 32 * 1024;

/** Time without progress after which an unfinished request is given up first, in ms. */
const STALLED_MS = 1000;

/** Part of the account that the owner which holds most leaves to others. */
const KEPT_SHARE = 0.25;

/** Memory of a process that sets none, in bytes. */
const DEFAULT_PROCESS_BYTES = 256 * 1024 * 1024;

/** Part of the memory of a process that callers may make it hold. */
const CALLER_SHARE = 0.2;

/** Request, or connection without one, as the account sees it. */
export interface MemoryHolder {
  /**
   * Called when what is held is needed for others; the claim is empty then, and
   * takes nothing more.
   */
  readonly onGiveUp: () => void;
}

/** Options of {@link MemoryAccount}. */
export interface MemoryAccountOptions {
  readonly limitBytes: number;
  /**
   * What each open claim takes of the limit, in bytes; no claim is refused for it.
   *
   * @default 32 KiB
   */
  readonly openBytes?: number;
  /** Monotonic clock, in ms. */
  readonly readNow: () => number;
}

/**
 * What one request holds.
 *
 * @example
 * const claim = account.open('acme', {onGiveUp: () => refuse()});
 * claim.setBytes(100_000); // false: no room
 * claim.release();
 */
export class MemoryClaim {
  private lastProgressAt: number;
  private bytes = 0;
  private isSettled = false;
  private hasBeenGivenUp = false;
  private isReleased = false;

  constructor(
    private readonly account: MemoryAccount,
    private readonly holder: MemoryHolder,
    /** Client account that the bytes are charged to. */
    readonly owner: string | undefined,
    now: number,
  ) {
    this.lastProgressAt = now;
  }

  /** Time at which a byte was last received, in ms. */
  get progressedAt(): number {
    return this.lastProgressAt;
  }

  /** Bytes that are charged. */
  get chargedBytes(): number {
    return this.bytes;
  }

  /** Whether the request has not arrived whole, so that it can be given up. */
  get isUnfinished(): boolean {
    return !this.isSettled;
  }

  /** Whether the request was given up for others. */
  get isGivenUp(): boolean {
    return this.hasBeenGivenUp;
  }

  /**
   * Changes what is held to a number of bytes; returns false, and changes nothing, if
   * there is no room.
   */
  setBytes(heldBytes: number): boolean {
    // A refused request goes on arriving.
    if (this.isReleased) return heldBytes === 0;
    const wanted = Math.max(0, heldBytes - FREE_BYTES);
    if (wanted > this.bytes && !this.account.findRoom(this, wanted))
      return false;
    this.account.recordChange(this, wanted - this.bytes);
    this.bytes = wanted;
    return true;
  }

  /** Records that a part of the request has been received. */
  markProgress(): void {
    this.lastProgressAt = this.account.readNow();
  }

  /** Marks the request as whole: it is not given up any more. */
  settle(): void {
    this.isSettled = true;
  }

  /** Gives back what is held; nothing is taken any more. */
  release(): void {
    this.isReleased = true;
    this.account.recordChange(this, -this.bytes);
    this.bytes = 0;
    this.account.remove(this);
  }

  /** Gives the request up. */
  giveUp(): void {
    this.release();
    this.hasBeenGivenUp = true;
    this.holder.onGiveUp();
  }
}

/**
 * Memory that all callers of a process share. If there is no room, the owner that
 * holds most gives up what it has not sent whole: first what makes no progress, then
 * what came last.
 *
 * @example
 * const account = new MemoryAccount({limitBytes: 80_000_000, readNow});
 * const claim = account.open('acme', {onGiveUp});
 */
export class MemoryAccount {
  readonly readNow: () => number;
  private held = 0;
  private readonly claims = new Set<MemoryClaim>();
  private readonly heldByOwner = new Map<string | undefined, number>();

  constructor(private readonly options: MemoryAccountOptions) {
    this.readNow = options.readNow;
  }

  /** Most bytes that may be held. */
  get limitBytes(): number {
    return this.options.limitBytes;
  }

  /** Bytes that are held. */
  get heldBytes(): number {
    return this.held;
  }

  /** Bytes that an owner holds. */
  countHeld(owner: string | undefined): number {
    return this.heldByOwner.get(owner) ?? 0;
  }

  /**
   * Opens the claim of a request.
   *
   * @param owner - Client account; undefined if it is not known.
   */
  open(owner: string | undefined, holder: MemoryHolder): MemoryClaim {
    const claim = new MemoryClaim(this, holder, owner, this.readNow());
    this.claims.add(claim);
    return claim;
  }

  /**
   * Makes room for a claim to grow to `bytes`, at the cost of other claims; returns
   * false if it must not grow.
   */
  findRoom(claim: MemoryClaim, bytes: number): boolean {
    while (!this.isRoomFor(claim, bytes)) {
      const victim = this.chooseVictim(claim);
      if (victim === undefined || victim === claim) return false;
      victim.giveUp();
    }
    return true;
  }

  /** Records a change of what a claim holds. */
  recordChange({owner}: MemoryClaim, bytes: number): void {
    if (bytes === 0) return;
    this.held += bytes;
    const left = this.countHeld(owner) + bytes;
    if (left === 0) this.heldByOwner.delete(owner);
    else this.heldByOwner.set(owner, left);
  }

  /** Removes a claim that holds nothing. */
  remove(claim: MemoryClaim): void {
    this.claims.delete(claim);
  }

  private isRoomFor(claim: MemoryClaim, bytes: number): boolean {
    const {openBytes = OPEN_REQUEST_BYTES} = this.options;
    const limitBytes = this.limitBytes - this.claims.size * openBytes;
    const added = bytes - claim.chargedBytes;
    const held = this.held + added;
    if (held <= limitBytes * (1 - KEPT_SHARE)) return true;
    return held <= limitBytes && !this.isLargestOwner(claim.owner, added);
  }

  /** Whether an owner would hold at least as much as any other. */
  private isLargestOwner(owner: string | undefined, added: number): boolean {
    const held = this.countHeld(owner) + added;
    for (const [other, bytes] of this.heldByOwner)
      if (other !== owner && bytes > held) return false;
    return true;
  }

  private chooseVictim(claim: MemoryClaim): MemoryClaim | undefined {
    const now = this.readNow();
    const owner = this.findLargestOwner(claim);
    let victim: MemoryClaim | undefined;
    let victimStalledMs = -1;
    for (const other of this.claims) {
      if (other.owner !== owner || !other.isUnfinished) continue;
      if (other !== claim && other.chargedBytes === 0) continue;
      const idleMs = now - other.progressedAt;
      const stalledMs = idleMs >= STALLED_MS ? idleMs : 0;
      // Claims are in the order of their arrival.
      if (stalledMs < victimStalledMs) continue;
      victim = other;
      victimStalledMs = stalledMs;
    }
    return victim;
  }

  /** Finds the owner that holds most and has something to give up. */
  private findLargestOwner(claim: MemoryClaim): string | undefined {
    let {owner} = claim;
    let most = this.countHeld(owner);
    for (const other of this.claims) {
      if (!other.isUnfinished || other.chargedBytes === 0) continue;
      const held = this.countHeld(other.owner);
      if (held <= most) continue;
      most = held;
      ({owner} = other);
    }
    return owner;
  }
}

/**
 * Creates the account of a process.
 *
 * @param processBytes - Memory that the process may use, in bytes.
 * @default 256 MiB
 * @example
 * const account = createMemoryAccount(350_000_000, () => performance.now());
 */
export function createMemoryAccount(
  processBytes: number | undefined,
  readNow: () => number,
): MemoryAccount {
  const limitBytes = (processBytes ?? DEFAULT_PROCESS_BYTES) * CALLER_SHARE;
  return new MemoryAccount({limitBytes: Math.floor(limitBytes), readNow});
}
