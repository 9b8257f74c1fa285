/**
 * Who the backend server beside this daemon is, told from its heartbeats.
 * Heartbeats may come late, twice or out of order, also from a process that
 * has ended since: the newest incarnation wins, then the highest sequence.
 */
import type {Heartbeat, BackendState} from '../model.js';

/** The instance that is known now. */
export interface Identity {
  readonly instance: string;
  readonly service: string;
  readonly slots: number;
  readonly state: BackendState;
  readonly coldUntilMs: number;
  readonly startedAtUnixMs: number;
  readonly sequence: number;
}

/** Follows the heartbeats of one VM's backend server. */
export class BackendIdentity {
  #known: Identity | undefined;
  /** Instances that left, with the start of the incarnation that did. */
  readonly #left = new Map<string, number>();

  get known(): Identity | undefined {
    return this.#known;
  }

  /** Takes a heartbeat in; false if it is older than what is known. */
  announce(heartbeat: Heartbeat, nowMs: number): boolean {
    const leftIn = this.#left.get(heartbeat.instance);
    if (leftIn !== undefined && heartbeat.startedAtUnixMs <= leftIn) {
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

  /** Notes that an instance is going for good. */
  leave(instance: string): void {
    const known = this.#known;
    const isKnown = known?.instance === instance;
    this.#left.set(instance, isKnown ? known.startedAtUnixMs : 0);
    if (isKnown) this.#known = {...known, state: 'draining'};
  }

  /** Takes over what a probe found, if no heartbeat came before. */
  found(identity: Omit<Identity, 'startedAtUnixMs' | 'sequence'>): void {
    if (this.#known || this.#left.has(identity.instance)) return;
    // The first real heartbeat replaces this.
    this.#known = {...identity, startedAtUnixMs: 0, sequence: -1};
  }

  /** Notes that nobody accepts connections at its address. */
  refusedConnection(): void {
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
