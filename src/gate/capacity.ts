/**
 * How much work the instances behind one gate may have by their grades, and
 * which of them gets the next piece.
 */
import {toSnapshot} from '../health/outlier_detector.js';
import type {Grade, HealthView} from '../health/health_view.js';
import {mayReceiveWork, type Instance, type Instances} from './instances.js';

/** Slots of one gate, by service. */
export interface SlotCounts {
  /** Of instances with full trust. */
  readonly full: Readonly<Record<string, number>>;
  /** Of instances that are chosen only when the others are busy. */
  readonly spare: Readonly<Record<string, number>>;
}

/** What the choice of an instance depends on. */
export interface Choice {
  readonly service: string;
  /** It may be sent again if it fails, and so may go to a sick instance. */
  readonly mayBeTrial?: boolean;
}

const GRADE_ORDER: Readonly<Record<Grade, number>> = {
  full: 1,
  reduced: 2,
  ejected: 3,
};

/** The capacity of one gate. */
export class Capacity {
  readonly #instances: Instances;
  readonly #health: HealthView;

  constructor(instances: Instances, health: HealthView) {
    this.#instances = instances;
    this.#health = health;
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
    return {full: this.#countOf('full'), spare: this.#countOf('reduced')};
  }

  /** True if an instance that isn't full should get a trial request. */
  isTrialDue(service: string): boolean {
    return this.#instances
      .inService(service)
      .some(({id}) => this.#health.isTrialDue(id));
  }

  /** The best grade first, in it the instance with the most free slots. */
  choose(choice: Choice, avoid: ReadonlySet<string>): Instance | undefined {
    const isTrial = choice.mayBeTrial ?? false;
    const orderOf = (i: Instance) =>
      isTrial && this.#health.isTrialDue(i.id)
        ? 0
        : GRADE_ORDER[this.#health.grade(i.id)];
    const freeOf = (i: Instance) =>
      i.announcement.slots - i.busy - this.#health.foreignSlots(toSnapshot(i));
    return this.#instances
      .inService(choice.service)
      .filter(i => !avoid.has(i.id) && i.busy < this.#limitOf(i, isTrial))
      .toSorted((a, b) => orderOf(a) - orderOf(b) || freeOf(b) - freeOf(a))[0];
  }

  #countOf(grade: Grade): Readonly<Record<string, number>> {
    return this.#instances
      .all()
      .filter(mayReceiveWork)
      .filter(({id}) => this.#health.grade(id) === grade)
      .reduce<Record<string, number>>((sums, {announcement}) => {
        const sum = sums[announcement.service] ?? 0;
        return {...sums, [announcement.service]: sum + announcement.slots};
      }, {});
  }

  #limitOf(instance: Instance, isTrial = false): number {
    return this.#health.limit(toSnapshot(instance), isTrial);
  }
}
