/**
 * Reports a daemon's own state as gauges, so that operators can see when its
 * view of the fleet or of the configuration may be stale.
 */
import type {Metrics} from '../metrics/metrics.js';
import type {Parts} from './parts.js';

const INTERVAL_MS = 5000;

/** The gauges of one daemon. */
export class StateGauges {
  readonly #parts: Parts;
  readonly #metrics: Metrics;
  #timer: NodeJS.Timeout | undefined;

  constructor(parts: Parts, metrics: Metrics) {
    this.#parts = parts;
    this.#metrics = metrics;
  }

  start(): void {
    this.#timer = setInterval(() => this.#report(), INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #report(): void {
    const {authority, freshness, keeper, membership} = this.#parts;
    const {generations, vouches} = authority;
    const gauges = {
      'daemon.generation': generations.current()?.number ?? 0,
      'daemon.generation_in_force': Number(generations.isInForce()),
      'daemon.keys_fresh': Number(freshness.isFresh()),
      'daemon.members': membership.members().length,
      'daemon.revision': keeper.tables().revision,
      'daemon.vouched': Number(vouches.current() !== undefined),
    };
    Object.entries(gauges).forEach(([name, value]) =>
      this.#metrics.gauge(name, value),
    );
  }
}
