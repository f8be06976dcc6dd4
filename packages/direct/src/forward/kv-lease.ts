/**
 * KV cache reserved on helpers for one long prompt. Reservations are short
 * leases, renewed while the stream lasts, so they expire soon after this
 * process dies or a release is lost.
 */
import type {KvReservations} from '../ports.js';
import type {Target} from '../types.js';

/**
 * Length of a lease, in ms: idle reservations must end within four seconds, and
 * a delayed one may start late.
 */
const LEASE_MS = 3200;

/** Period of the renewals, in ms: two may be lost before the lease ends. */
const RENEW_MS = 1200;

/**
 * Consecutive polls that the engine may leave unanswered: later, the lease has
 * expired.
 */
const MAX_MISSED_POLLS = 2;

/** One reservation. */
export interface LeasedReservation {
  readonly target: Target;
  readonly ticket: string;
}

/** Says whether the engine that decodes a prompt is alive. */
export interface LivenessCheck {
  /** True if it has just sent bytes, for any request. */
  isActive(): boolean;
  /** Polls it; false if it does not answer in time. */
  ask(): Promise<boolean>;
}

/**
 * The reservations of one prompt, renewed only while its engine is alive: one
 * that loses power resets no connection, and a long prompt's first token may
 * take many seconds.
 *
 * @example
 * const lease = await openKvLease(reservations, 'gate-1/7', requests, engine);
 * lease?.close();
 */
export class KvLease {
  private readonly timer: NodeJS.Timeout;
  /** Renewals under way. */
  private readonly renewals = new Set<Promise<LeasedReservation>>();
  private isClosed = false;
  private missedPolls = 0;

  constructor(
    private readonly reservations: KvReservations,
    readonly tickets: readonly LeasedReservation[],
    private readonly tokens: ReadonlyMap<string, number>,
    private readonly liveness: LivenessCheck,
  ) {
    this.timer = setInterval(() => this.handleRenewalTimer(), RENEW_MS);
  }

  /** Finds the ticket of a reservation on `target`. */
  findTicket(target: string): string | undefined {
    return this.tickets.find(held => held.target.id === target)?.ticket;
  }

  /**
   * Releases everything. A renewal under way may arrive after the release, so
   * it is released again once answered.
   */
  close(): void {
    this.isClosed = true;
    clearInterval(this.timer);
    for (const held of this.tickets) this.release(held);
    for (const renewal of this.renewals)
      void renewal.then(held => this.release(held));
  }

  private release({target, ticket}: LeasedReservation): void {
    void this.reservations.release(target, ticket);
  }

  private handleRenewalTimer(): void {
    if (this.liveness.isActive()) this.renew();
    else void this.renewIfAlive();
  }

  private async renewIfAlive(): Promise<void> {
    const isAlive = await this.liveness.ask();
    if (this.isClosed) return;
    if (isAlive) this.renew();
    else if (++this.missedPolls >= MAX_MISSED_POLLS) clearInterval(this.timer);
  }

  private renew(): void {
    this.missedPolls = 0;
    for (const held of this.tickets) {
      const renewal = this.renewOne(held);
      this.renewals.add(renewal);
      void renewal.then(() => this.renewals.delete(renewal));
    }
  }

  private async renewOne(held: LeasedReservation): Promise<LeasedReservation> {
    const tokens = this.tokens.get(held.target.id) ?? 0;
    await this.reservations.reserve(held.target, held.ticket, tokens, LEASE_MS);
    return held;
  }
}

/** KV cache wanted on one target. */
export interface KvRequest {
  readonly target: Target;
  readonly tokens: number;
}

/**
 * Reserves everything or nothing. If one reservation fails, the others are
 * released, and so are unanswered ones, which may have been granted.
 *
 * @returns Nothing if one of them was not granted.
 * @example
 * const lease = await openKvLease(reservations, 'gate-1/7', requests, engine);
 */
export async function openKvLease(
  reservations: KvReservations,
  name: string,
  kvRequests: readonly KvRequest[],
  liveness: LivenessCheck,
): Promise<KvLease | undefined> {
  const outcomes = await Promise.all(
    kvRequests.map(({target, tokens}) =>
      reservations.reserve(target, name, tokens, LEASE_MS),
    ),
  );
  if (outcomes.every(outcome => outcome === 'granted'))
    return new KvLease(
      reservations,
      kvRequests.map(({target}) => ({target, ticket: name})),
      new Map(kvRequests.map(({target, tokens}) => [target.id, tokens])),
      liveness,
    );
  kvRequests.forEach(({target}, i) => {
    if (outcomes[i] !== 'refused') void reservations.release(target, name);
  });
  return undefined;
}
