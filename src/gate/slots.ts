/**
 * Slots of the instances behind one gate, with one queue of requests per
 * service that wait for them. A queued request is answered as soon as it is
 * cancelled, reaches its deadline or exceeds the queue timeout, not only when a
 * slot becomes free.
 */
import PQueue from 'p-queue';
import type {Capacity, Choice} from './capacity.js';
import {DrainEstimate} from './drain_estimate.js';
import {FairQueue, Place, type FairOptions} from './fair_queue.js';
import type {Instance, Instances} from './instances.js';
import {notRun, type NotRun} from './work.js';

/** A slot of an instance, held until it is released. */
export interface Slot {
  readonly instance: Instance;
  release(): void;
  /**
   * Releases the slot of a cancelled request when the work has probably ended:
   * an instance that doesn't notice the cancellation continues with it.
   */
  abandon(): void;
}

/** A request for a slot. */
export interface SlotRequest extends Choice {
  readonly customer: string | undefined;
  /** Monotonic clock, milliseconds. */
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
}

/** Limits of the queues. */
export interface SlotLimits {
  readonly maxQueueMs: number;
  readonly maxQueuePerCustomer: number;
}

/** A slot that is currently in use. */
interface Held {
  readonly service: string;
  readonly instance: string;
}

/**
 * Share of the queue timeout, or of the time left until the deadline, that an
 * estimated wait may use. Estimates are inexact, so a request that would barely
 * get its slot in time is rejected as well.
 */
const SAFE_SHARE = 0.8;
/** Cancelled work is assumed to last this many times the average hold time. */
const ABANDONED_FACTOR = 1.5;
/**
 * Multiple of the queue timeout that an accepted request may wait, because
 * services can slow down after it was accepted.
 */
const TAKEN_FACTOR = 2;

type ServiceQueue = PQueue<FairQueue, FairOptions>;

export class Slots {
  readonly #instances: Instances;
  readonly #capacity: Capacity;
  readonly #limits: SlotLimits;
  readonly #queues = new Map<string, ServiceQueue>();
  readonly #held = new Set<Held>();
  readonly #drains = new Map<string, DrainEstimate>();

  constructor(instances: Instances, capacity: Capacity, limits: SlotLimits) {
    this.#instances = instances;
    this.#capacity = capacity;
    this.#limits = limits;
  }

  /** Number of requests that wait for a slot of a service. */
  waiting(service: string): number {
    return this.#queues.get(service)?.size ?? 0;
  }

  /** Resolves when no request is queued and every slot is released. */
  async idle(): Promise<void> {
    const queues = [...this.#queues.values()];
    await Promise.all(queues.map(queue => queue.onIdle()));
  }

  /** Waits for a slot on an instance that is not in `avoid`. */
  take(
    request: SlotRequest,
    avoid: ReadonlySet<string> = new Set(),
  ): Promise<Slot | NotRun> {
    const {service, signal} = request;
    const customer = request.customer ?? '';
    const queue = this.#queueOf(service);
    const line = queue.sizeBy({customer});
    const isFull = line > 0 && line >= this.#limits.maxQueuePerCustomer;
    if (isFull) return Promise.resolve(notRun('busy'));
    if (signal.aborted) return Promise.resolve(notRun('cancelled'));
    const leftMs = request.deadlineAtMs - performance.now();
    if (leftMs <= 0) return Promise.resolve(notRun('deadline'));
    const {maxQueueMs} = this.#limits;
    const retryAfterMs = this.#waitMs(service, customer);
    if (retryAfterMs > Math.min(leftMs, maxQueueMs) * SAFE_SHARE) {
      return Promise.resolve({...notRun('busy'), retryAfterMs});
    }
    const boundMs = Math.min(leftMs, maxQueueMs * TAKEN_FACTOR);
    const overdue = boundMs === leftMs ? 'deadline' : 'busy';
    return new Promise(resolve => {
      const place = new Place();
      const settle = (result: Slot | NotRun) => {
        clearTimeout(timer);
        signal.removeEventListener('abort', onAbort);
        resolve(result);
      };
      const giveUp = (refusal: NotRun) => {
        place.leave();
        settle(refusal);
      };
      const onAbort = () => giveUp(notRun('cancelled'));
      const timer = setTimeout(() => giveUp(notRun(overdue)), boundMs);
      signal.addEventListener('abort', onAbort, {once: true});
      const run = () => this.#hold(request, avoid, settle);
      void queue.add(run, {customer, place});
    });
  }

  /** Adjusts every queue to the slots that are available now. */
  resize(): void {
    this.#queues.forEach((queue, service) => this.#fit(queue, service));
  }

  /** Resolves when the slot is released. */
  #hold(
    request: SlotRequest,
    avoid: ReadonlySet<string>,
    settle: (result: Slot | NotRun) => void,
  ): Promise<void> {
    const {service} = request;
    const instance = this.#capacity.choose(request, avoid);
    if (!instance) {
      const there = this.#instances.inService(service).length > 0;
      settle(notRun(there ? 'busy' : 'no-instance'));
      return Promise.resolve();
    }
    const held = {service, instance: instance.id};
    const sinceMs = performance.now();
    this.#held.add(held);
    this.#instances.occupy(instance.id, 1);
    return new Promise(resolve => {
      const free = once(() => {
        this.#held.delete(held);
        this.#instances.occupy(instance.id, -1);
        this.resize();
        resolve();
      });
      const release = once(() => {
        this.#drainOf(service).add(performance.now() - sinceMs);
        free();
      });
      const abandon = () => {
        const lastsMs = this.#drainOf(service).usualMs * ABANDONED_FACTOR;
        setTimeout(free, sinceMs + lastsMs - performance.now());
      };
      settle({instance, release, abandon});
    });
  }

  /** Expected wait of a new request of a customer, in milliseconds. */
  #waitMs(service: string, customer: string): number {
    const queue = this.#queueOf(service);
    if (queue.pending < queue.concurrency) return 0;
    const turns = (queue.sizeBy({customer}) + 1) * queue.sizeBy({});
    const ahead = Math.min(queue.size, turns);
    const slots = this.#capacity.limit(service);
    return this.#drainOf(service).waitMs(ahead, slots);
  }

  #drainOf(service: string): DrainEstimate {
    const known = this.#drains.get(service);
    if (known) return known;
    const drain = new DrainEstimate();
    this.#drains.set(service, drain);
    return drain;
  }

  #queueOf(service: string): ServiceQueue {
    const known = this.#queues.get(service);
    if (known) return known;
    const queue = new PQueue<FairQueue, FairOptions>({queueClass: FairQueue});
    this.#queues.set(service, queue);
    this.#fit(queue, service);
    return queue;
  }

  /**
   * Requests on instances that are no longer available still hold slots. They
   * are added to the concurrency, so that they don't take slots from requests
   * on other instances.
   */
  #fit(queue: ServiceQueue, service: string): void {
    const instances = this.#instances.inService(service);
    const slots = this.#capacity.limit(service);
    const ids = new Set(instances.map(instance => instance.id));
    const elsewhere = [...this.#held].filter(
      held => held.service === service && !ids.has(held.instance),
    ).length;
    // Without available slots the queue runs empty: each request is rejected.
    const concurrency = slots === 0 ? Infinity : slots + elsewhere;
    if (queue.concurrency !== concurrency) queue.concurrency = concurrency;
  }
}

function once(action: () => void): () => void {
  let isDone = false;
  return () => {
    if (isDone) return;
    isDone = true;
    action();
  };
}
