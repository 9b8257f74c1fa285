/** Messages about the clocks of daemons. */
import type {Exchange} from '../wire/messages.js';

/** What a daemon's clock shows. */
export interface ClockReading {
  /** Changes with each start of the process, as its clock does. */
  readonly process: string;
  /** Monotonic clock of that process, milliseconds. */
  readonly nowMs: number;
}

/** Kinds of messages about clocks. */
export interface ClockMessages {
  readonly 'clock.read': Exchange<
    Readonly<Record<string, never>>,
    ClockReading
  >;
}
