/**
 * Decides which responses a daemon holds. A response without room displaces the
 * ones that have been unread for longest; one whose caller reads is never
 * displaced. Has no network: a holder closes its own connection on request.
 */
import type {MemoryBudget, MemoryGrant} from './memory_budget.js';

/** Why a caller's connection is closed: it reads nothing, or has no room. */
export type ResponseCut = 'unread' | 'no-response-memory';

/** Options of {@link ResponseMemory}. */
export interface ResponseMemoryOptions {
  readonly budget: Pick<MemoryBudget, 'reserve' | 'keep'>;
  /** A response without progress for this long may be displaced. */
  readonly unreadAfterMs: number;
  /** Called for each connection that is closed. */
  readonly onCut: (reason: ResponseCut) => void;
  /** Monotonic clock in milliseconds. */
  readonly now?: () => number;
}

/** A complete response that waits for its caller to read it. */
export interface HeldResponse {
  /** The caller has read some of it. */
  progress(): void;
  /** It is sent, or its caller is gone. Idempotent. */
  release(): void;
}

/** How a grant is taken from the budget. */
type GrantWay = 'reserve' | 'keep';

interface Held {
  readonly grant: MemoryGrant;
  readonly close: () => void;
  lastAtMs: number;
}

/** Responses up to this size use the part of the budget set aside for them. */
export const SMALL_RESPONSE_BYTES = 65_536;

/** How often {@link ResponseMemory.check} is to be called. */
export const RESPONSE_CHECK_INTERVAL_MS = 250;
/** A check that is later than this found a process that was too busy to write. */
const LATE_CHECK_MS = 2 * RESPONSE_CHECK_INTERVAL_MS;

/** The responses of one daemon. */
export class ResponseMemory {
  readonly #options: ResponseMemoryOptions;
  readonly #now: () => number;
  /** Ordered by the time of the last progress, oldest first. */
  readonly #held = new Set<Held>();
  #checkedAtMs: number;

  constructor(options: ResponseMemoryOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
    this.#checkedAtMs = this.#now();
  }

  /** Whether no response is held, so that there is nothing to check. */
  get isEmpty(): boolean {
    return this.#held.size === 0;
  }

  /** A grant for a response to come; displaces unread ones without room. */
  reserve(bytes: number): MemoryGrant | undefined {
    return this.#take(bytes, 'reserve');
  }

  /** The same for a response that is in memory already. */
  keep(bytes: number): MemoryGrant | undefined {
    return this.#take(bytes, 'keep');
  }

  /**
   * Holds a complete response. Without room it calls `close`, which closes the
   * connection of the caller, and returns undefined.
   */
  hold(bytes: number, close: () => void): HeldResponse | undefined {
    const grant = this.keep(bytes);
    if (!grant) {
      this.#options.onCut('no-response-memory');
      close();
      return undefined;
    }
    const held: Held = {grant, close, lastAtMs: this.#now()};
    this.#held.add(held);
    return {
      progress: () => {
        if (!this.#held.delete(held)) return;
        held.lastAtMs = this.#now();
        this.#held.add(held);
      },
      release: () => this.#release(held),
    };
  }

  /** While the process itself was paused or busy, no response counts as unread. */
  check(): void {
    const nowMs = this.#now();
    const isLate = nowMs - this.#checkedAtMs > LATE_CHECK_MS;
    this.#checkedAtMs = nowMs;
    if (!isLate) return;
    this.#held.forEach(held => {
      held.lastAtMs = nowMs;
    });
  }

  /** Cuts off the response that is longest unread; false if all are read. */
  displaceOne(): boolean {
    this.check();
    const [oldest] = this.#held;
    if (!oldest) return false;
    const unreadMs = this.#now() - oldest.lastAtMs;
    if (unreadMs < this.#options.unreadAfterMs) return false;
    this.#release(oldest);
    this.#options.onCut('unread');
    oldest.close();
    return true;
  }

  #take(bytes: number, way: GrantWay): MemoryGrant | undefined {
    let grant = this.#tryTake(bytes, way);
    while (!grant && this.displaceOne()) grant = this.#tryTake(bytes, way);
    return grant;
  }

  #tryTake(bytes: number, way: GrantWay): MemoryGrant | undefined {
    const {budget} = this.#options;
    const grant = budget[way](bytes, 'response');
    if (grant || bytes > SMALL_RESPONSE_BYTES) return grant;
    return budget[way](bytes, 'small-response');
  }

  #release(held: Held): void {
    this.#held.delete(held);
    held.grant.release();
  }
}
