/**
 * Estimates the monotonic clocks of other daemons. If a peer's reading G
 * arrives at local time r, the peer's clock shows at least G at that moment. So
 * G + (t - r) is never later than the peer's clock at local time t, and a
 * deadline sent to a peer by this estimate can only be too early, however long
 * the message waits in buffers or the peer is paused.
 */
import {randomUUID} from 'node:crypto';
import type {ClockReading} from './clock_messages.js';
import type {Links} from './links.js';

/** A reading and its arrival by the local monotonic clock, milliseconds. */
interface CachedReading {
  readonly reading: ClockReading;
  readonly arrivedAtMs: number;
}

const READ_TIMEOUT_MS = 200;
/** Older readings aren't used, because clocks drift. */
const MAX_READING_AGE_MS = 10_000;

/** Distinguishes the clocks of successive processes at one address. */
const OWN_PROCESS = randomUUID();

/** Reads this process's clock. */
export function readOwnClock(): ClockReading {
  return {process: OWN_PROCESS, nowMs: performance.now()};
}

/** True if the reading comes from this process's clock. */
export function isOwnClock(reading: Pick<ClockReading, 'process'>): boolean {
  return reading.process === OWN_PROCESS;
}

/** The latest readings of peers' clocks, by address. */
export class PeerClocks {
  readonly #links: Links;
  readonly #readings = new Map<string, CachedReading>();

  constructor(links: Links) {
    this.#links = links;
    links.handle('clock.read', () => readOwnClock());
  }

  /** Stores a reading that has just arrived. */
  store(address: string, reading: ClockReading): void {
    this.#readings.set(address, {reading, arrivedAtMs: performance.now()});
  }

  /** Discards a reading that the peer didn't accept. */
  discard(address: string): void {
    this.#readings.delete(address);
  }

  /** Estimates the peer's clock; calls the peer unless a reading is cached. */
  async read(address: string): Promise<ClockReading> {
    const cached = this.#readings.get(address);
    const ageMs = cached && performance.now() - cached.arrivedAtMs;
    if (!cached || ageMs === undefined || ageMs > MAX_READING_AGE_MS) {
      const reading = await this.#links.call(
        address,
        'clock.read',
        {},
        READ_TIMEOUT_MS,
      );
      this.store(address, reading);
      return reading;
    }
    const {process, nowMs} = cached.reading;
    return {process, nowMs: nowMs + ageMs};
  }
}
