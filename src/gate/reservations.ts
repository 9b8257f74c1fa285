/**
 * Slots that routers on other VMs reserve before they send a large body. A
 * reservation that is not claimed in time expires and releases its slot.
 */
import {randomUUID} from 'node:crypto';
import type {Slot} from './slots.js';

/** How long a reserved slot waits for its request. */
export const RESERVATION_TTL_MS = 1000;

interface Reservation {
  readonly slot: Slot;
  readonly timer: NodeJS.Timeout;
}

/** The reservations of one gate. */
export class Reservations {
  readonly #reservations = new Map<string, Reservation>();

  /** Reserves a slot; returns the id that claims it. */
  add(slot: Slot): string {
    const id = randomUUID();
    const timer = setTimeout(
      () => this.claim(id)?.release(),
      RESERVATION_TTL_MS,
    );
    this.#reservations.set(id, {slot, timer});
    return id;
  }

  /** Returns the reserved slot, once; undefined if the reservation is gone. */
  claim(id: string): Slot | undefined {
    const reservation = this.#reservations.get(id);
    if (!reservation) return undefined;
    clearTimeout(reservation.timer);
    this.#reservations.delete(id);
    return reservation.slot;
  }
}
