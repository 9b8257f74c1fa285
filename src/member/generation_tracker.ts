/**
 * Keeps the newest generation that this daemon knows, and since when it is
 * settled: taken in by a majority of the witnesses of the one before, which
 * from then on vouch for nothing older.
 */
import type {Logger} from '../log/logger.js';
import {
  LOAN_LAPSE_MS,
  VOUCH_LAPSE_MS,
  type Generation,
  type Generations,
} from './generation.js';

/** Called after a newer generation was taken in. */
export type GenerationListener = (generation: Generation) => void;

/** The newest generation; its number never falls. */
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

  /** How long ago the current generation settled, as far as is known. */
  settledForMs(): number | undefined {
    if (this.#settledAtMs === undefined) return undefined;
    return performance.now() - this.#settledAtMs;
  }

  onChange(listener: GenerationListener): void {
    this.#listeners.push(listener);
  }

  /** Takes in a generation if it is newer than the current one. */
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

  /** Notes that a generation was settled by `atMs`. */
  markSettled(number: number, atMs: number): void {
    if (this.#current?.number !== number) return;
    this.#settledAtMs = Math.min(atMs, this.#settledAtMs ?? atMs);
  }
}
