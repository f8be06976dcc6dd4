/**
 * Memory set aside on helpers for one long prompt. Each reservation is a
 * short lease that is renewed while the stream lasts: when this process dies
 * or a release is lost, the lease runs out soon after.
 */
import type {MemoryReservations} from '../ports.js';
import type {Target} from '../types.js';

/**
 * Length of a lease, in ms. Memory that is idle or left over for four
 * seconds counts as leaked, and a lease lost in flight may start late.
 */
const LEASE_MS = 3200;

/** Period of the renewals, in ms: two may be lost before the lease ends. */
const RENEW_MS = 1200;

/**
 * Checks in a row that the reader may leave unanswered: a renewal after two
 * would come when the lease has run out, and the prompt is cut off by then.
 */
const MOST_MISSED = 2;

/** One reservation. */
export interface LeasedTicket {
  readonly target: Target;
  readonly ticket: string;
}

/** Tells whether the engine that reads a prompt is alive. */
export interface ReaderWatch {
  /** True when it has sent something just now, to whichever request. */
  isHeard(): boolean;
  /** Asks it; false when it does not answer in time. */
  ask(): Promise<boolean>;
}

/**
 * The reservations of one prompt.
 *
 * They are renewed only while the engine that reads the prompt is alive. One
 * that loses power resets no connection, and a long prompt's first event is
 * waited for up to 11 s, so memory stayed set aside for 5.6 s after the prompt
 * was gone with its engine. A renewal follows a sign of life by at most half a
 * second, so the lease ends within 4 s of the engine.
 *
 * @example
 * const lease = await openMemoryLease(reservations, 'gate-1/7', wishes, reader);
 * lease?.close();
 */
export class MemoryLease {
  private readonly timer: NodeJS.Timeout;
  /** Renewals under way. */
  private readonly renewals = new Set<Promise<LeasedTicket>>();
  private isClosed = false;
  private missed = 0;

  constructor(
    private readonly reservations: MemoryReservations,
    readonly tickets: readonly LeasedTicket[],
    private readonly tokens: ReadonlyMap<string, number>,
    private readonly reader: ReaderWatch,
  ) {
    this.timer = setInterval(() => this.handleDue(), RENEW_MS);
  }

  /** Finds the ticket held on `target`. */
  findTicket(target: string): string | undefined {
    return this.tickets.find(held => held.target.id === target)?.ticket;
  }

  /**
   * Gives all of it back. Orders go over connections of their own, so a
   * renewal under way may arrive behind the release and set the memory aside
   * once more for a whole lease: it is given back again once that is answered.
   */
  close(): void {
    this.isClosed = true;
    clearInterval(this.timer);
    for (const held of this.tickets) this.release(held);
    for (const renewal of this.renewals)
      void renewal.then(held => this.release(held));
  }

  private release({target, ticket}: LeasedTicket): void {
    void this.reservations.release(target, ticket);
  }

  private handleDue(): void {
    if (this.reader.isHeard()) this.renew();
    else void this.renewIfAlive();
  }

  private async renewIfAlive(): Promise<void> {
    const isAlive = await this.reader.ask();
    if (this.isClosed) return;
    if (isAlive) this.renew();
    else if (++this.missed >= MOST_MISSED) clearInterval(this.timer);
  }

  private renew(): void {
    this.missed = 0;
    for (const held of this.tickets) {
      const renewal = this.renewOne(held);
      this.renewals.add(renewal);
      void renewal.then(() => this.renewals.delete(renewal));
    }
  }

  private async renewOne(held: LeasedTicket): Promise<LeasedTicket> {
    const tokens = this.tokens.get(held.target.id) ?? 0;
    await this.reservations.reserve(held.target, held.ticket, tokens, LEASE_MS);
    return held;
  }
}

/** Memory wanted on one target. */
export interface MemoryWish {
  readonly target: Target;
  readonly tokens: number;
}

/**
 * Reserves everything or nothing. A reservation that was refused or not
 * answered makes the others pointless: they are given back at once, and so
 * is the unanswered one, which may have been granted.
 *
 * @returns Nothing when one of them was not granted.
 * @example
 * const lease = await openMemoryLease(reservations, 'gate-1/7', wishes, reader);
 */
export async function openMemoryLease(
  reservations: MemoryReservations,
  name: string,
  wishes: readonly MemoryWish[],
  reader: ReaderWatch,
): Promise<MemoryLease | undefined> {
  const outcomes = await Promise.all(
    wishes.map(({target, tokens}) =>
      reservations.reserve(target, name, tokens, LEASE_MS),
    ),
  );
  if (outcomes.every(outcome => outcome === 'granted'))
    return new MemoryLease(
      reservations,
      wishes.map(({target}) => ({target, ticket: name})),
      new Map(wishes.map(({target, tokens}) => [target.id, tokens])),
      reader,
    );
  wishes.forEach(({target}, i) => {
    if (outcomes[i] !== 'refused') void reservations.release(target, name);
  });
  return undefined;
}
