/**
 * The order in which waiting work gets slots: customers in turn, each
 * customer's own work first come, first served. A customer with a long line
 * delays itself, not the others.
 */
import type {Queue, QueueAddOptions} from 'p-queue';

type Run = () => Promise<unknown>;

/** A place in the queue; whoever holds it may leave before its turn. */
export class Place {
  #withdraw: () => void = () => undefined;

  /** Set by the queue when the place is taken. */
  onLeave(withdraw: () => void): void {
    this.#withdraw = withdraw;
  }

  /** Gives the place up at once; without effect after the turn has come. */
  leave(): void {
    this.#withdraw();
  }
}

/** What the queue knows about waiting work. */
export interface FairOptions extends QueueAddOptions {
  readonly customer: string;
  readonly place: Place;
}

/** A queue for p-queue that serves customers in turn. */
export class FairQueue implements Queue<Run, FairOptions> {
  /** Lines by customer; the customer whose turn is next stands first. */
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

  /** One customer's line; without a customer, the first of each line. */
  filter(options: Readonly<Partial<FairOptions>>): Run[] {
    const {customer} = options;
    if (customer !== undefined) return this.#lines.get(customer) ?? [];
    return [...this.#lines.values()].flatMap(line => line.slice(0, 1));
  }

  setPriority(): void {
    // Turns replace priorities.
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
