/**
 * The order in which queued requests get slots: round robin over customers,
 * first in first out within a customer. A customer with many queued requests
 * delays its own requests, not those of others.
 */
import type {Queue, QueueAddOptions} from 'p-queue';

type Task = () => Promise<unknown>;

/** Handle of a queued request, which can be cancelled before its turn. */
export class QueueEntry {
  #removeFromQueue: () => void = () => undefined;

  /** Called by the queue when the request is enqueued. */
  onCancel(removeFromQueue: () => void): void {
    this.#removeFromQueue = removeFromQueue;
  }

  /** Removes the request from the queue; no effect after its turn. */
  cancel(): void {
    this.#removeFromQueue();
  }
}

/** Queueing options of one request. */
export interface FairQueueOptions extends QueueAddOptions {
  readonly customer: string;
  readonly entry: QueueEntry;
}

/** A `p-queue` queue that serves customers in round-robin order. */
export class FairQueue implements Queue<Task, FairQueueOptions> {
  /** Queued requests by customer; the customer to serve next comes first. */
  readonly #queuedTasks = new Map<string, Task[]>();
  #size = 0;

  get size(): number {
    return this.#size;
  }

  enqueue(task: Task, options?: Partial<FairQueueOptions>): void {
    const customer = options?.customer ?? '';
    const tasks = this.#queuedTasks.get(customer) ?? [];
    tasks.push(task);
    this.#queuedTasks.set(customer, tasks);
    this.#size += 1;
    options?.entry?.onCancel(() => this.#remove(customer, task));
  }

  dequeue(): Task | undefined {
    const first = this.#queuedTasks.entries().next();
    if (first.done) return undefined;
    const [customer, tasks] = first.value;
    const task = tasks.shift();
    this.#size -= 1;
    this.#queuedTasks.delete(customer);
    if (tasks.length > 0) this.#queuedTasks.set(customer, tasks);
    return task;
  }

  /** All requests of one customer; without a customer, the first of each. */
  filter(options: Readonly<Partial<FairQueueOptions>>): Task[] {
    const {customer} = options;
    if (customer !== undefined) return this.#queuedTasks.get(customer) ?? [];
    return [...this.#queuedTasks.values()].flatMap(tasks => tasks.slice(0, 1));
  }

  setPriority(): void {
    // Round robin replaces priorities.
  }

  #remove(customer: string, task: Task): void {
    const tasks = this.#queuedTasks.get(customer) ?? [];
    const index = tasks.indexOf(task);
    if (index < 0) return;
    tasks.splice(index, 1);
    this.#size -= 1;
    if (tasks.length === 0) this.#queuedTasks.delete(customer);
  }
}
