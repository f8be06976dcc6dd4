/**
 * Reserves KV cache on the prefill helpers of one long prompt. Reservations are
 * short leases that are renewed while the stream lasts, so they expire soon
 * after this process dies or a release is lost.
 */
import type {KvReservations} from '../ports.js';
import type {Target} from '../types.js';

/**
 * Lease duration, in ms: unused reservations must end within four seconds,
 * which includes the delay until a reservation starts.
 */
const LEASE_MS = 3200;

/** Renewal interval, in ms: a lease survives the loss of two renewals. */
const RENEW_MS = 1200;

/**
 * Number of consecutive unanswered polls after which renewals stop, as the
 * lease expires before the next renewal.
 */
const MAX_MISSED_POLLS = 2;

/** Reservation of KV cache that is held on one target. */
export interface LeasedReservation {
  readonly target: Target;
  readonly ticket: string;
}

/** Checks whether the engine that decodes a prompt is alive. */
export interface LivenessCheck {
  /** Returns true if the engine has just sent bytes, for any request. */
  isActive(): boolean;
  /** Polls the engine; resolves with false if no reply arrives in time. */
  ask(): Promise<boolean>;
}

/**
 * KV cache reservations of one prompt, renewed only while the decoding engine
 * is alive. An open connection is no proof of that: an engine that loses power
 * resets no connection, and the first token of a long prompt may take many
 * seconds.
 *
 * @example
 * const lease = await openKvLease(reservations, 'gate-1/7', requests, engine);
 * lease?.close();
 */
export class KvLease {
  private readonly timer: NodeJS.Timeout;
  /** Renewals that have not completed. */
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

  /** Returns the ticket of the reservation on `target`. */
  findTicket(target: string): string | undefined {
    return this.tickets.find(held => held.target.id === target)?.ticket;
  }

  /**
   * Stops the renewals and releases all reservations. A pending renewal may
   * reach its target after the release, so its reservation is released again
   * once the renewal has completed.
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
      const renewal = this.renewReservation(held);
      this.renewals.add(renewal);
      void renewal.then(() => this.renewals.delete(renewal));
    }
  }

  private async renewReservation(
    held: LeasedReservation,
  ): Promise<LeasedReservation> {
    const tokens = this.tokens.get(held.target.id) ?? 0;
    await this.reservations.reserve(held.target, held.ticket, tokens, LEASE_MS);
    return held;
  }
}

/** Amount of KV cache to reserve on one target. */
export interface KvRequest {
  readonly target: Target;
  readonly tokens: number;
}

/**
 * Reserves KV cache on all targets or on none. If one reservation fails, all
 * reservations that were not refused are released, including unanswered ones,
 * as the target may have granted them.
 *
 * @returns The lease; undefined if a reservation was not granted.
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
