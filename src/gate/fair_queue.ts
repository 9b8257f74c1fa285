/**
 * The order in which queued requests get slots: round robin over customers,
 * first in first out within a customer. A customer with many queued requests
 * delays its own requests, not those of others.
 */
import type {Queue, QueueAddOptions} from 'p-queue';

type Run = () => Promise<unknown>;

/** Handle of a queued request, which can be cancelled before its turn. */
export class Place {
  #withdraw: () => void = () => undefined;

  /** Called by the queue when the request is enqueued. */
  onLeave(withdraw: () => void): void {
    this.#withdraw = withdraw;
  }

  /** Removes the request from the queue; no effect after its turn. */
  leave(): void {
    this.#withdraw();
  }
}

/** Queueing options of one request. */
export interface FairOptions extends QueueAddOptions {
  readonly customer: string;
  readonly place: Place;
}

/** A `p-queue` queue that serves customers in round-robin order. */
export class FairQueue implements Queue<Run, FairOptions> {
  /** Queued requests by customer; the customer to serve next comes first. */
  readonly #lines = new Map<string, Run[]>();
  #size = 0;

  get size(): number {
    return this.#size;
  }

  enqueue(run: Run, options?: Partial<FairOptions>): void {
    const customer = options?.customer ?? '';
    const line = this.#lines.get(customer) ?? [];
    line.push(run);
    this.#lines.set(customer, line);
    this.#size += 1;
    options?.place?.onLeave(() => this.#remove(customer, run));
  }

  dequeue(): Run | undefined {
    const first = this.#lines.entries().next();
    if (first.done) return undefined;
    const [customer, line] = first.value;
    const run = line.shift();
    this.#size -= 1;
    this.#lines.delete(customer);
    if (line.length > 0) this.#lines.set(customer, line);
    return run;
  }

  /** All requests of one customer; without one, the first of each customer. */
  filter(options: Readonly<Partial<FairOptions>>): Run[] {
    const {customer} = options;
    if (customer !== undefined) return this.#lines.get(customer) ?? [];
    return [...this.#lines.values()].flatMap(line => line.slice(0, 1));
  }

  setPriority(): void {
    // Round robin replaces priorities.
  }

  #remove(customer: string, run: Run): void {
    const line = this.#lines.get(customer) ?? [];
    const index = line.indexOf(run);
    if (index < 0) return;
    line.splice(index, 1);
    this.#size -= 1;
    if (line.length === 0) this.#lines.delete(customer);
  }
}
