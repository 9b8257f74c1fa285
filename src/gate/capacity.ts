/**
 * The slots that the instances behind one gate may use, by their health grades
 * (how much work each instance is trusted with), and the choice of the instance
 * that gets the next request.
 */
import {toSnapshot} from '../health/outlier_detector.js';
import type {Grade, HealthView} from '../health/health_view.js';
import {mayReceiveWork, type Instance, type Instances} from './instances.js';

/** Slot counts of one gate, by service. */
export interface SlotCounts {
  /** Slots of instances with the grade `full`. */
  readonly full: Readonly<Record<string, number>>;
  /** Slots of instances that are used only when the others are busy. */
  readonly spare: Readonly<Record<string, number>>;
}

/** Criteria for the choice of an instance. */
export interface SelectionCriteria {
  readonly service: string;
  /** It may be repeated if it fails, and so may go to an unhealthy instance. */
  readonly mayBeTrial?: boolean;
}

const GRADE_ORDER: Readonly<Record<Grade, number>> = {
  full: 1,
  reduced: 2,
  ejected: 3,
};

export class Capacity {
  readonly #instances: Instances;
  readonly #health: HealthView;

  constructor(instances: Instances, health: HealthView) {
    this.#instances = instances;
    this.#health = health;
  }

  /** Free slots of instances with the grade `full`. */
  freeSlots(service: string): number {
    return this.#instances
      .availableFor(service)
      .filter(({id}) => this.#health.grade(id) === 'full')
      .reduce((sum, i) => sum + Math.max(0, this.#limitOf(i) - i.busy), 0);
  }

  /** Maximum concurrent requests that the instances' grades allow. */
  limit(service: string): number {
    return this.#instances
      .availableFor(service)
      .reduce((sum, instance) => sum + this.#limitOf(instance), 0);
  }

  /** Announced slots of the instances that are available, by grade. */
  counts(): SlotCounts {
    return {full: this.#sumSlots('full'), spare: this.#sumSlots('reduced')};
  }

  /** True if an instance below the grade `full` is due for a trial request. */
  isTrialDue(service: string): boolean {
    return this.#instances
      .availableFor(service)
      .some(({id}) => this.#health.isTrialDue(id));
  }

  /** Prefers the best grade, then the instance with the most free slots. */
  selectInstance(
    criteria: SelectionCriteria,
    excluded: ReadonlySet<string>,
  ): Instance | undefined {
    const isTrial = criteria.mayBeTrial ?? false;
    const orderOf = (i: Instance) =>
      isTrial && this.#health.isTrialDue(i.id)
        ? 0
        : GRADE_ORDER[this.#health.grade(i.id)];
    const freeOf = (i: Instance) =>
      i.announcement.slots - i.busy - this.#health.foreignSlots(toSnapshot(i));
    return this.#instances
      .availableFor(criteria.service)
      .filter(i => !excluded.has(i.id) && i.busy < this.#limitOf(i, isTrial))
      .toSorted((a, b) => orderOf(a) - orderOf(b) || freeOf(b) - freeOf(a))[0];
  }

  #sumSlots(grade: Grade): Readonly<Record<string, number>> {
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
