/** Reservations of KV cache for tests. */
import {KvReservations} from '../ports.js';
import type {ReservationOutcome} from '../ports.js';

/** Records reservations and answers each with the outcome that a test sets. */
export class FakeReservations extends KvReservations {
  readonly held = new Map<string, number>();
  /** Times of reservations and renewals on the monotonic clock, in ms. */
  readonly reservedAt: number[] = [];
  /** Targets of these reservations. */
  readonly reservedOn: string[] = [];
  outcome: ReservationOutcome = 'granted';

  override async reserve(
    target: {readonly id: string},
    ticket: string,
    tokens: number,
  ): Promise<ReservationOutcome> {
    this.reservedAt.push(performance.now());
    this.reservedOn.push(target.id);
    if (this.outcome !== 'granted') return this.outcome;
    this.held.set(`${target.id}/${ticket}`, tokens);
    return this.outcome;
  }

  override async release(
    target: {readonly id: string},
    ticket: string,
  ): Promise<void> {
    this.held.delete(`${target.id}/${ticket}`);
  }
}
