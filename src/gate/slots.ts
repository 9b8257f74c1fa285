/**
 * Slots of the instances behind one gate, with one queue of requests per
 * service that wait for them. A queued request is answered as soon as it is
 * cancelled, reaches its deadline or exceeds the queue timeout, not only when a
 * slot becomes free.
 */
import PQueue from 'p-queue';
import type {Capacity, SelectionCriteria} from './capacity.js';
import {WaitEstimator} from './wait_estimator.js';
import {FairQueue, QueueEntry, type FairQueueOptions} from './fair_queue.js';
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
export interface SlotRequest extends SelectionCriteria {
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
interface HeldSlot {
  readonly service: string;
  readonly instance: string;
}

/**
 * Share of the queue timeout, or of the time left until the deadline, that an
 * estimated wait may use. Estimates are inexact, so a request that would barely
 * get its slot in time is rejected as well.
 */
const MAX_ESTIMATED_WAIT_SHARE = 0.8;
/** Cancelled work is assumed to last this many times the average hold time. */
const ABANDONED_WORK_FACTOR = 1.5;
/**
 * Multiple of the queue timeout that an accepted request may wait, because
 * services can slow down after it was accepted.
 */
const ACCEPTED_WAIT_FACTOR = 2;

type ServiceQueue = PQueue<FairQueue, FairQueueOptions>;

export class Slots {
  readonly #instances: Instances;
  readonly #capacity: Capacity;
  readonly #limits: SlotLimits;
  readonly #queues = new Map<string, ServiceQueue>();
  readonly #heldSlots = new Set<HeldSlot>();
  readonly #waitEstimators = new Map<string, WaitEstimator>();

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
  async waitUntilIdle(): Promise<void> {
    const queues = [...this.#queues.values()];
    await Promise.all(queues.map(queue => queue.onIdle()));
  }

  /** Waits for a slot on an instance that is not in `excluded`. */
  acquire(
    request: SlotRequest,
    excluded: ReadonlySet<string> = new Set(),
  ): Promise<Slot | NotRun> {
    const {service, signal} = request;
    const customer = request.customer ?? '';
    const queue = this.#queueOf(service);
    const queuedCount = queue.sizeBy({customer});
    const isFull =
      queuedCount > 0 && queuedCount >= this.#limits.maxQueuePerCustomer;
    if (isFull) return Promise.resolve(notRun('busy'));
    if (signal.aborted) return Promise.resolve(notRun('cancelled'));
    const leftMs = request.deadlineAtMs - performance.now();
    if (leftMs <= 0) return Promise.resolve(notRun('deadline'));
    const {maxQueueMs} = this.#limits;
    const retryAfterMs = this.#estimateWaitMs(service, customer);
    if (
      retryAfterMs >
      Math.min(leftMs, maxQueueMs) * MAX_ESTIMATED_WAIT_SHARE
    ) {
      return Promise.resolve({...notRun('busy'), retryAfterMs});
    }
    const timeoutMs = Math.min(leftMs, maxQueueMs * ACCEPTED_WAIT_FACTOR);
    const timeoutReason = timeoutMs === leftMs ? 'deadline' : 'busy';
    return new Promise(resolve => {
      const entry = new QueueEntry();
      const settle = (result: Slot | NotRun) => {
        clearTimeout(timer);
        signal.removeEventListener('abort', onAbort);
        resolve(result);
      };
      const refuse = (refusal: NotRun) => {
        entry.cancel();
        settle(refusal);
      };
      const onAbort = () => refuse(notRun('cancelled'));
      const timer = setTimeout(() => refuse(notRun(timeoutReason)), timeoutMs);
      signal.addEventListener('abort', onAbort, {once: true});
      const run = () => this.#occupySlot(request, excluded, settle);
      void queue.add(run, {customer, entry});
    });
  }

  /** Adjusts every queue to the slots that are available now. */
  resize(): void {
    this.#queues.forEach((queue, service) =>
      this.#updateConcurrency(queue, service),
    );
  }

  /** Resolves when the slot is released. */
  #occupySlot(
    request: SlotRequest,
    excluded: ReadonlySet<string>,
    settle: (result: Slot | NotRun) => void,
  ): Promise<void> {
    const {service} = request;
    const instance = this.#capacity.selectInstance(request, excluded);
    if (!instance) {
      const hasInstances = this.#instances.availableFor(service).length > 0;
      settle(notRun(hasInstances ? 'busy' : 'no-instance'));
      return Promise.resolve();
    }
    const held = {service, instance: instance.id};
    const sinceMs = performance.now();
    this.#heldSlots.add(held);
    this.#instances.changeBusy(instance.id, 1);
    return new Promise(resolve => {
      const freeSlot = once(() => {
        this.#heldSlots.delete(held);
        this.#instances.changeBusy(instance.id, -1);
        this.resize();
        resolve();
      });
      const release = once(() => {
        this.#waitEstimatorOf(service).addHoldTime(performance.now() - sinceMs);
        freeSlot();
      });
      const abandon = () => {
        const expectedMs =
          this.#waitEstimatorOf(service).averageHoldMs * ABANDONED_WORK_FACTOR;
        setTimeout(freeSlot, sinceMs + expectedMs - performance.now());
      };
      settle({instance, release, abandon});
    });
  }

  /** Expected wait of a new request of a customer, in milliseconds. */
  #estimateWaitMs(service: string, customer: string): number {
    const queue = this.#queueOf(service);
    if (queue.pending < queue.concurrency) return 0;
    const maxAhead = (queue.sizeBy({customer}) + 1) * queue.sizeBy({});
    const ahead = Math.min(queue.size, maxAhead);
    const slots = this.#capacity.limit(service);
    return this.#waitEstimatorOf(service).waitMs(ahead, slots);
  }

  #waitEstimatorOf(service: string): WaitEstimator {
    const known = this.#waitEstimators.get(service);
    if (known) return known;
    const estimator = new WaitEstimator();
    this.#waitEstimators.set(service, estimator);
    return estimator;
  }

  #queueOf(service: string): ServiceQueue {
    const known = this.#queues.get(service);
    if (known) return known;
    const queue = new PQueue<FairQueue, FairQueueOptions>({
      queueClass: FairQueue,
    });
    this.#queues.set(service, queue);
    this.#updateConcurrency(queue, service);
    return queue;
  }

  /**
   * Requests on instances that are no longer available still hold slots. They
   * are added to the concurrency, so that they don't take slots from requests
   * on other instances.
   */
  #updateConcurrency(queue: ServiceQueue, service: string): void {
    const instances = this.#instances.availableFor(service);
    const slots = this.#capacity.limit(service);
    const ids = new Set(instances.map(instance => instance.id));
    const heldElsewhere = [...this.#heldSlots].filter(
      held => held.service === service && !ids.has(held.instance),
    ).length;
    // Without available slots the queue runs empty: each request is rejected.
    const concurrency = slots === 0 ? Infinity : slots + heldElsewhere;
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
