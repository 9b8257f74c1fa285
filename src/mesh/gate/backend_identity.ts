/**
 * Identity and state of this VM's backend server, taken from its heartbeats.
 * Heartbeats may arrive late, twice or out of order, or come from a process
 * that has ended since, so the newest incarnation wins and, within it, the
 * highest sequence number.
 */
import type {Heartbeat, BackendState} from '../model.js';

/** The instance as currently known. */
export interface Identity {
  readonly instance: string;
  readonly service: string;
  readonly slots: number;
  readonly state: BackendState;
  readonly coldUntilMs: number;
  readonly startedAtUnixMs: number;
  readonly sequence: number;
}

/** Tracks the backend server of one VM. */
export class BackendIdentity {
  #known: Identity | undefined;
  /** Instances that left, with the start of the incarnation that left. */
  readonly #leftIncarnations = new Map<string, number>();

  get known(): Identity | undefined {
    return this.#known;
  }

  /** Applies a heartbeat; false if it is older than the current state. */
  applyHeartbeat(heartbeat: Heartbeat, nowMs: number): boolean {
    const leftStartMs = this.#leftIncarnations.get(heartbeat.instance);
    if (leftStartMs !== undefined && heartbeat.startedAtUnixMs <= leftStartMs) {
      return false;
    }
    if (this.#known && isOlder(heartbeat, this.#known)) return false;
    const {instance, service, slots, state, startedAtUnixMs, sequence} =
      heartbeat;
    this.#known = {
      instance,
      service,
      slots,
      state,
      coldUntilMs: nowMs + heartbeat.coldForMs,
      startedAtUnixMs,
      sequence,
    };
    return true;
  }

  /**
   * Marks an incarnation of an instance as leaving for good. Does nothing if a
   * later one has been heard of since.
   */
  markLeaving(
    instance: string,
    startedAtUnixMs = this.#latestStartOf(instance),
  ): void {
    const known = this.#known?.instance === instance ? this.#known : undefined;
    if (known && known.startedAtUnixMs > startedAtUnixMs) return;
    const leftStartMs = this.#leftIncarnations.get(instance) ?? startedAtUnixMs;
    this.#leftIncarnations.set(
      instance,
      Math.max(leftStartMs, startedAtUnixMs),
    );
    if (known) this.#known = {...known, state: 'draining'};
  }

  /**
   * The start of an instance's last incarnation. One that no heartbeat has
   * reported, such as one found by a probe, started at some time until now.
   */
  #latestStartOf(instance: string): number {
    const known = this.#known;
    const isReported = known?.instance === instance && known.sequence >= 0;
    return isReported ? known.startedAtUnixMs : Date.now();
  }

  /** Adopts the result of a probe, unless a heartbeat has come first. */
  adoptProbe(identity: Omit<Identity, 'startedAtUnixMs' | 'sequence'>): void {
    if (this.#known || this.#leftIncarnations.has(identity.instance)) return;
    // Older than any heartbeat, so the first one replaces it.
    this.#known = {...identity, startedAtUnixMs: 0, sequence: -1};
  }

  /** Marks the instance as down: its address accepts no connections. */
  markDown(): void {
    if (this.#known?.state !== 'ready') return;
    this.#known = {...this.#known, state: 'down'};
  }
}

function isOlder(heartbeat: Heartbeat, known: Identity): boolean {
  if (heartbeat.startedAtUnixMs !== known.startedAtUnixMs) {
    return heartbeat.startedAtUnixMs < known.startedAtUnixMs;
  }
  const isSame = heartbeat.instance === known.instance;
  return isSame && heartbeat.sequence <= known.sequence;
}
