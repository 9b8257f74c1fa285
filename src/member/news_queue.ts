/**
 * News that waits to be passed on. Each piece goes out a number of times that
 * grows with the logarithm of the fleet, the freshest first; news about a
 * member replaces older news about it.
 */
import type {MemberUpdate} from './messages.js';

interface Waiting {
  readonly update: MemberUpdate;
  readonly sent: number;
}

/** Pieces of news in one message. */
const MAX_UPDATES = 8;
/** Times that news goes out, for each power of ten of the fleet's size. */
const TIMES_PER_MAGNITUDE = 3;

/** The queue of one daemon. */
export class NewsQueue {
  readonly #waiting = new Map<string, Waiting>();
  readonly #memberCount: () => number;

  constructor(memberCount: () => number) {
    this.#memberCount = memberCount;
  }

  get isEmpty(): boolean {
    return this.#waiting.size === 0;
  }

  add(updates: readonly MemberUpdate[]): void {
    updates.forEach(update => {
      this.#waiting.set(idOf(update), {update, sent: 0});
    });
  }

  /** The news for one message. */
  take(): readonly MemberUpdate[] {
    const magnitude = Math.ceil(Math.log10(this.#memberCount() + 1));
    const limit = TIMES_PER_MAGNITUDE * Math.max(1, magnitude);
    const chosen = [...this.#waiting.entries()]
      .toSorted(([, a], [, b]) => a.sent - b.sent)
      .slice(0, MAX_UPDATES);
    chosen.forEach(([id, waiting]) => {
      const sent = waiting.sent + 1;
      if (sent >= limit) this.#waiting.delete(id);
      else this.#waiting.set(id, {...waiting, sent});
    });
    return chosen.map(([, waiting]) => waiting.update);
  }
}

function idOf(update: MemberUpdate): string {
  return update.status === 'alive' ? update.record.id : update.id;
}
