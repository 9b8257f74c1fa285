/**
 * Tracks the newest generation that this daemon knows and when it settled. A
 * generation is settled once a majority of the witnesses of the previous
 * generation has recorded it; they then no longer vouch for an older one.
 */
import type {Logger} from '../log/logger.js';
import {
  LOAN_LAPSE_MS,
  VOUCH_LAPSE_MS,
  type Generation,
  type Generations,
} from './generation.js';

/** Called after a newer generation has been adopted. */
export type GenerationListener = (generation: Generation) => void;

/** The newest generation; its number never decreases. */
export class GenerationTracker implements Generations {
  readonly #log: Logger;
  readonly #listeners: GenerationListener[] = [];
  #current: Generation | undefined;
  #previous: Generation | undefined;
  #settledAtMs: number | undefined;

  constructor(log: Logger) {
    this.#log = log;
  }

  current(): Generation | undefined {
    return this.#current;
  }

  previous(): Generation | undefined {
    return this.#previous;
  }

  movedDutiesFromMs(): number | undefined {
    if (this.#settledAtMs === undefined) return undefined;
    return this.#settledAtMs + VOUCH_LAPSE_MS;
  }

  isInForce(): boolean {
    const fromMs = this.movedDutiesFromMs();
    return fromMs !== undefined && performance.now() >= fromMs + LOAN_LAPSE_MS;
  }

  /** Time since the current generation settled; `undefined` while unknown. */
  settledForMs(): number | undefined {
    if (this.#settledAtMs === undefined) return undefined;
    return performance.now() - this.#settledAtMs;
  }

  onChange(listener: GenerationListener): void {
    this.#listeners.push(listener);
  }

  adoptIfNewer(generation: Generation): void {
    const last = this.#current;
    if (last && generation.number <= last.number) return;
    const follows = last !== undefined && generation.number === last.number + 1;
    this.#previous = follows ? last : undefined;
    this.#current = generation;
    this.#settledAtMs =
      generation.previousWitnesses.length === 0 ? -Infinity : undefined;
    const {number, members} = generation;
    this.#log.info(`Generation ${number} has ${members.length} members.`);
    this.#listeners.forEach(listener => listener(generation));
  }

  /** Records that a generation had settled by `atMs`. */
  markSettled(number: number, atMs: number): void {
    if (this.#current?.number !== number) return;
    this.#settledAtMs = Math.min(atMs, this.#settledAtMs ?? atMs);
  }
}
