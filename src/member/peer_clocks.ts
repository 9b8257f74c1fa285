/**
 * Clocks of other daemons. A daemon that sends its monotonic reading G, which
 * arrives here at own time r, has a clock that shows at least G then. So
 * G + (t - r) is never later than the peer's clock at own time t: a deadline
 * that is told to a peer this way can only be too early, however long the
 * message waits in buffers or the peer is stopped.
 */
import {randomUUID} from 'node:crypto';
import type {ClockReading} from './clock_messages.js';
import type {Links} from './links.js';

/** A reading and when it arrived; own monotonic clock, milliseconds. */
interface CachedReading {
  readonly reading: ClockReading;
  readonly arrivedAtMs: number;
}

const READ_TIMEOUT_MS = 200;
/** Clocks drift, so older readings aren't used. */
const MAX_READING_AGE_MS = 10_000;

/** Tells clocks of different processes at one address apart. */
const OWN_PROCESS = randomUUID();

/** The reading of this process's clock now. */
export function readOwnClock(): ClockReading {
  return {process: OWN_PROCESS, nowMs: performance.now()};
}

/** True if a reading is of this process. */
export function isOwnClock(reading: Pick<ClockReading, 'process'>): boolean {
  return reading.process === OWN_PROCESS;
}

/** What this daemon knows of its peers' clocks, by address. */
export class PeerClocks {
  readonly #links: Links;
  readonly #readings = new Map<string, CachedReading>();

  constructor(links: Links) {
    this.#links = links;
    links.handle('clock.read', () => readOwnClock());
  }

  /** Notes a reading that arrives now. */
  store(address: string, reading: ClockReading): void {
    this.#readings.set(address, {reading, arrivedAtMs: performance.now()});
  }

  /** Forgets a reading that the peer doesn't accept. */
  discard(address: string): void {
    this.#readings.delete(address);
  }

  /** The peer's clock as of now; asks if it isn't cached. */
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
