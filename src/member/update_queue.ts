/**
 * News that waits to be passed on. Each piece goes out a number of times that
 * grows with the logarithm of the fleet, the freshest first; news about a
 * member replaces older news about it.
 */
import type {MemberUpdate} from './messages.js';

interface QueuedUpdate {
  readonly update: MemberUpdate;
  readonly sendCount: number;
}

/** Pieces of news in one message. */
const MAX_UPDATES_PER_MESSAGE = 8;
/** Times that news goes out, for each power of ten of the fleet's size. */
const SENDS_PER_MAGNITUDE = 3;

/** The queue of one daemon. */
export class UpdateQueue {
  readonly #queued = new Map<string, QueuedUpdate>();
  readonly #memberCount: () => number;

  constructor(memberCount: () => number) {
    this.#memberCount = memberCount;
  }

  get isEmpty(): boolean {
    return this.#queued.size === 0;
  }

  add(updates: readonly MemberUpdate[]): void {
    updates.forEach(update => {
      this.#queued.set(memberIdOf(update), {update, sendCount: 0});
    });
  }

  /** The news for one message. */
  take(): readonly MemberUpdate[] {
    const magnitude = Math.ceil(Math.log10(this.#memberCount() + 1));
    const maxSends = SENDS_PER_MAGNITUDE * Math.max(1, magnitude);
    const chosen = [...this.#queued.entries()]
      .toSorted(([, a], [, b]) => a.sendCount - b.sendCount)
      .slice(0, MAX_UPDATES_PER_MESSAGE);
    chosen.forEach(([id, queued]) => {
      const sendCount = queued.sendCount + 1;
      if (sendCount >= maxSends) this.#queued.delete(id);
      else this.#queued.set(id, {...queued, sendCount});
    });
    return chosen.map(([, queued]) => queued.update);
  }
}

function memberIdOf(update: MemberUpdate): string {
  return update.status === 'alive' ? update.record.id : update.id;
}
