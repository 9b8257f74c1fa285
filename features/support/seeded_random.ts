/** Numbers that look random and are the same in each run. */
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

const RANGE = 1 << 24;

/** A sequence that its seed decides. */
export class SeededRandom {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** The next number, from 0 up to but not including 1. */
  next(): number {
    const whole = unsafeUniformIntDistribution(0, RANGE - 1, this.#generator);
    return whole / RANGE;
  }
}
