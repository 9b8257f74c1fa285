/**
 * Queue of membership updates to gossip. Each update is sent a number of times
 * that grows with the logarithm of the fleet's size; those sent least often go
 * first. An update about a member replaces an older one about it.
 */
import type {MemberUpdate} from './messages.js';

interface QueuedUpdate {
  readonly update: MemberUpdate;
  readonly sendCount: number;
}

const MAX_UPDATES_PER_MESSAGE = 8;
/** Sends of an update for each power of ten of the fleet's size. */
const SENDS_PER_MAGNITUDE = 3;

/** The updates that one daemon has yet to gossip. */
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

  /** Takes the updates for one message. */
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
