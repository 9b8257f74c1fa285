/** Adapter that makes `p-queue` serve its tasks in the order of a fair queue. */
import PQueue, {type Queue, type QueueAddOptions} from 'p-queue';
import type {FairQueue, Place} from './fair_queue.js';

/** A task of `p-queue`. */
export type Task = () => Promise<unknown>;

/** Queueing options of one task. */
export interface FairTurnOptions extends QueueAddOptions {
  readonly place: Place;
}

/** A `p-queue` queue whose order is decided by a fair queue. */
export type FairTurns = PQueue<Queue<Task, FairTurnOptions>, FairTurnOptions>;

/**
 * Creates a `p-queue` over an existing order, which its owner can also inspect
 * and remove tasks from.
 */
export function createFairTurns(order: FairQueue<Task>): FairTurns {
  // `p-queue` constructs its queue itself.
  class OrderedTasks implements Queue<Task, FairTurnOptions> {
    get size(): number {
      return order.size;
    }

    enqueue(task: Task, options?: Partial<FairTurnOptions>): void {
      if (!options?.place) throw new TypeError('a task needs a place');
      order.add(task, options.place);
    }

    dequeue(): Task | undefined {
      return order.take();
    }

    /** Part of the interface of `p-queue`, for a method that isn't used. */
    filter(): Task[] {
      return [];
    }

    setPriority(): void {
      // The place of a task doesn't change.
    }
  }
  return new PQueue({concurrency: 1, queueClass: OrderedTasks});
}
