/** Messages by which daemons read each other's monotonic clocks. */
import type {Exchange} from '../wire/messages.js';

/** A reading of a daemon's monotonic clock. */
export interface ClockReading {
  /** Random id of the process; a restart changes both it and the clock. */
  readonly process: string;
  /** Monotonic clock of that process, milliseconds. */
  readonly nowMs: number;
}

/** Message kinds for clocks. */
export interface ClockMessages {
  readonly 'clock.read': Exchange<
    Readonly<Record<string, never>>,
    ClockReading
  >;
}
