/**
 * Slots of the instances behind one gate, and the queues of work that waits
 * for them: one for each service. Whoever waits is answered the moment that
 * it is cancelled, overdue or too old, not when a slot becomes free.
 */
import PQueue from 'p-queue';
import {candidacyOf} from '../health/health.js';
import type {Grade, HealthView} from '../health/view.js';
import {FairQueue, Place, type FairOptions} from './fair_queue.js';
import {mayReceiveWork, type Instance, type Instances} from './instances.js';
import {notRun, type NotRun} from './work.js';

/** A slot of an instance; it is held until it is released. */
export interface Slot {
  readonly instance: Instance;
  release(): void;
}

/** Who wants a slot, and until when. */
export interface SlotRequest {
  readonly service: string;
  readonly customer: string | undefined;
  /** Monotonic clock, milliseconds. */
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
  /** It may be sent again if it fails, and so may go to a sick instance. */
  readonly mayBeTrial?: boolean;
}

/** Slots of one gate, by service. */
export interface SlotCounts {
  /** Of instances with full trust. */
  readonly full: Readonly<Record<string, number>>;
  /** Of instances that are chosen only when the others are busy. */
  readonly spare: Readonly<Record<string, number>>;
}

const GRADE_ORDER: Readonly<Record<Grade, number>> = {
  full: 1,
  reduced: 2,
  ejected: 3,
};

/** Bounds of the queues. */
export interface SlotLimits {
  readonly maxQueueMs: number;
  readonly maxQueuePerCustomer: number;
}

/** A slot that work holds now. */
interface Held {
  readonly service: string;
  readonly instance: string;
}

type ServiceQueue = PQueue<FairQueue, FairOptions>;

/** The slots and queues of one gate. */
export class Slots {
  readonly #instances: Instances;
  readonly #health: HealthView;
  readonly #limits: SlotLimits;
  readonly #queues = new Map<string, ServiceQueue>();
  readonly #held = new Set<Held>();

  constructor(instances: Instances, health: HealthView, limits: SlotLimits) {
    this.#instances = instances;
    this.#health = health;
    this.#limits = limits;
  }

  /** Work that waits for a slot of a service. */
  waiting(service: string): number {
    return this.#queues.get(service)?.size ?? 0;
  }

  /** Free slots of instances with full trust. */
  free(service: string): number {
    return this.#instances
      .inService(service)
      .filter(({id}) => this.#health.grade(id) === 'full')
      .reduce((sum, i) => sum + Math.max(0, this.#limitOf(i) - i.busy), 0);
  }

  /** Requests that instances may hold at once by their grades. */
  limit(service: string): number {
    return this.#instances
      .inService(service)
      .reduce((sum, instance) => sum + this.#limitOf(instance), 0);
  }

  /** Slots that instances may have by their grades. */
  counts(): SlotCounts {
    const countOf = (grade: Grade) =>
      this.#instances
        .all()
        .filter(mayReceiveWork)
        .filter(({id}) => this.#health.grade(id) === grade)
        .reduce<Record<string, number>>((sums, {announcement}) => {
          const sum = sums[announcement.service] ?? 0;
          return {...sums, [announcement.service]: sum + announcement.slots};
        }, {});
    return {full: countOf('full'), spare: countOf('reduced')};
  }

  /** Resolves when nothing waits and every slot is released. */
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
    const overdue = leftMs <= this.#limits.maxQueueMs ? 'deadline' : 'busy';
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
      const timer = setTimeout(
        () => giveUp(notRun(overdue)),
        Math.min(leftMs, this.#limits.maxQueueMs),
      );
      signal.addEventListener('abort', onAbort, {once: true});
      const run = () => this.#hold(request, avoid, settle);
      void queue.add(run, {customer, place});
    });
  }

  /** Fits every queue to the slots in service. */
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
    const instance = this.#choose(request, avoid);
    if (!instance) {
      const there = this.#instances.inService(service).length > 0;
      settle(notRun(there ? 'busy' : 'no-instance'));
      return Promise.resolve();
    }
    const held = {service, instance: instance.id};
    this.#held.add(held);
    this.#instances.occupy(instance.id, 1);
    return new Promise(resolve => {
      const release = () => {
        this.#held.delete(held);
        this.#instances.occupy(instance.id, -1);
        this.resize();
        resolve();
      };
      settle({instance, release: once(release)});
    });
  }

  /** The best grade first, in it the instance with the most free slots. */
  #choose(
    request: SlotRequest,
    avoid: ReadonlySet<string>,
  ): Instance | undefined {
    const isTrial = request.mayBeTrial ?? false;
    const orderOf = (i: Instance) =>
      isTrial && this.#health.isTrialDue(i.id)
        ? 0
        : GRADE_ORDER[this.#health.grade(i.id)];
    const freeOf = (i: Instance) =>
      i.announcement.slots - i.busy - this.#health.foreignLoad(candidacyOf(i));
    return this.#instances
      .inService(request.service)
      .filter(i => !avoid.has(i.id) && i.busy < this.#limitOf(i, isTrial))
      .toSorted((a, b) => orderOf(a) - orderOf(b) || freeOf(b) - freeOf(a))[0];
  }

  #limitOf(instance: Instance, isTrial = false): number {
    return this.#health.limit(candidacyOf(instance), isTrial);
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
   * Slots of instances that left service are still held by their last work,
   * which must not take turns away from the others.
   */
  #fit(queue: ServiceQueue, service: string): void {
    const instances = this.#instances.inService(service);
    const slots = this.limit(service);
    const ids = new Set(instances.map(instance => instance.id));
    const elsewhere = [...this.#held].filter(
      held => held.service === service && !ids.has(held.instance),
    ).length;
    // With no slot in service the queue empties: each one is refused.
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
