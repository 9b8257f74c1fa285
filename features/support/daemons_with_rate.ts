/**
 * Daemons that share one rate, in virtual time and without a network: who
 * reaches whom is set by the test, and answers come at once.
 */
import {
  SharedLimits,
  type Limit,
  type LimitPeers,
} from '../../src/mesh/limits/shared_limits.js';

/** What happens at half time. */
export type RateEvent =
  | 'nothing happens'
  | 'the owner dies'
  | '3 daemons are cut off'
  | 'all daemons restart';

interface Daemon {
  readonly id: string;
  readonly limits: SharedLimits;
}

const LIMIT = 'rate:small';
const STEP_MS = 10;
const HALF_MS = 10_000;
const WINDOW_MS = 5000;
/** The operators' tolerance: a tenth over, and 20 requests. */
const OVERAGE = 1.1;
const SLACK = 20;

/** The daemons and what they were granted. */
export class DaemonsWithRate {
  readonly #rate: {readonly perS: number; readonly burst: number};
  readonly #limit: Limit;
  readonly #ids: readonly string[];
  readonly #down = new Set<string>();
  readonly #cut = new Set<string>();
  readonly #granted: number[] = [];
  #daemons: readonly Daemon[];
  #nowMs = 0;

  constructor(
    count: number,
    rate: {readonly perS: number; readonly burst: number},
  ) {
    this.#rate = rate;
    const {perS, burst: capacity} = rate;
    this.#limit = {name: LIMIT, perS, capacity};
    this.#ids = Array.from({length: count}, (_, index) => `vm-${index}`);
    this.#daemons = this.#ids.map(id => this.#start(id, true));
  }

  /** Lets every daemon ask `perS` times a second, in virtual time. */
  async play(perS: number, event: RateEvent): Promise<void> {
    let asked = 0;
    for (; this.#nowMs < 2 * HALF_MS; this.#nowMs += STEP_MS) {
      if (this.#nowMs === HALF_MS) EVENTS[event](this);
      asked += (perS * STEP_MS) / 1000;
      for (; asked >= 1; asked -= 1) await this.#askAll();
    }
  }

  /** The most that any window was granted, and what is allowed. */
  busiestWindow(): {readonly most: number; readonly allowed: number} {
    const counts = this.#granted.map(
      from =>
        this.#granted.filter(at => at >= from && at < from + WINDOW_MS).length,
    );
    const {perS, burst} = this.#rate;
    const owed = (perS * WINDOW_MS) / 1000 + burst;
    return {most: Math.max(0, ...counts), allowed: owed * OVERAGE + SLACK};
  }

  killOwner(): void {
    const owner = this.#daemons.find(
      ({limits}) => limits.ownerOf(LIMIT) !== undefined,
    )?.limits;
    const id = owner?.ownerOf(LIMIT);
    if (id) this.#down.add(id);
  }

  cutOff(count: number): void {
    this.#ids.slice(0, count).forEach(id => this.#cut.add(id));
  }

  restartAll(): void {
    this.#daemons = this.#ids.map(id => this.#start(id, false));
  }

  async #askAll(): Promise<void> {
    const alive = this.#daemons.filter(({id}) => !this.#down.has(id));
    for (const {limits} of alive) {
      const {isGranted} = await limits.take(LIMIT);
      if (isGranted) this.#granted.push(this.#nowMs);
    }
  }

  #start(id: string, isFirstStart: boolean): Daemon {
    const peers: LimitPeers = {
      selfId: id,
      reachable: () => this.#reachableFrom(id),
      knownCount: () => this.#ids.length,
      ask: (vm, ask) => {
        const daemon = this.#daemons.find(other => other.id === vm);
        return Promise.resolve(daemon?.limits.grant(ask));
      },
    };
    const limits = new SharedLimits({
      peers,
      limitOf: () => this.#limit,
      isFirstStart,
      now: () => this.#nowMs,
    });
    return {id, limits};
  }

  #reachableFrom(id: string): readonly string[] {
    return this.#ids.filter(
      other =>
        other !== id &&
        !this.#down.has(other) &&
        this.#cut.has(other) === this.#cut.has(id),
    );
  }
}

const EVENTS: Readonly<Record<RateEvent, (all: DaemonsWithRate) => void>> = {
  'nothing happens': () => undefined,
  'the owner dies': all => all.killOwner(),
  '3 daemons are cut off': all => all.cutOff(3),
  'all daemons restart': all => all.restartAll(),
};
