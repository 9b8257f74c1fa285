/**
 * What goes wrong in one soak run, and when: drawn from a seed, in series and
 * overlapping, so that each run can be played again.
 */
import {SeededRandom} from '../features/support/seeded_random.js';

/** What can go wrong. */
export const FAULT_KINDS = [
  'kill',
  'restart',
  'pause',
  'pause-instance',
  'drop-answers',
  'cut',
  'cut-one-way',
  'slow-link',
  'cut-from-store',
  'store-outage',
] as const;

/** One kind of {@link FAULT_KINDS}. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** One fault; times in milliseconds from the start of the run. */
export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly forMs: number;
  /** Whom it strikes, as an index of daemons or instances. */
  readonly victim: number;
  /** The other end of a link; never the victim. */
  readonly other: number;
}

/** How large a run is, and of which program. */
export interface SoakOptions {
  readonly daemons: number;
  readonly seconds: number;
  /** A mutant that all daemons run; the real program if undefined. */
  readonly mutant?: string;
}

/** Faults that begin in each ten seconds, on average. */
const FAULTS_PER_10_S = 5;
const SHORTEST_MS = 200;
const LONGEST_MS = 6000;

/** The faults of a seed, in order of their beginning. */
export function planOf(seed: number, options: SoakOptions): readonly Fault[] {
  const random = new SeededRandom(seed);
  const below = (count: number) => Math.floor(random.next() * count);
  const count = Math.ceil((options.seconds / 10) * FAULTS_PER_10_S);
  const fault = (): Fault => {
    const victim = below(options.daemons);
    return {
      kind: FAULT_KINDS[below(FAULT_KINDS.length)] ?? 'kill',
      atMs: below(options.seconds * 1000),
      forMs: SHORTEST_MS + below(LONGEST_MS - SHORTEST_MS),
      victim,
      other: (victim + 1 + below(options.daemons - 1)) % options.daemons,
    };
  };
  return Array.from({length: count}, fault).toSorted((a, b) => a.atMs - b.atMs);
}
