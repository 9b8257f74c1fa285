/**
 * Daemons that share one rate, in virtual time and without a network. The test
 * sets which daemons reach each other; answers arrive immediately.
 */
import {PAYMENT_INTERVAL_MS} from '../../src/mesh/limits/payment_timer.js';
import {
  SharedLimits,
  type Limit,
  type LimitPeers,
} from '../../src/mesh/limits/shared_limits.js';
import {Reachability} from './reachability.js';
import {SeededRandom} from './seeded_random.js';

/** What happens halfway through the run. */
export type RateEvent =
  | 'nothing fails'
  | 'the owner fails'
  | '3 daemons are cut off'
  | 'all daemons restart'
  | 'half of the daemons lose the owner every 2 seconds';

interface Daemon {
  readonly id: string;
  readonly limits: SharedLimits;
}

const LIMIT = 'rate:small';
const STEP_MS = 10;
/** Spreads the times at which daemons pay. */
const PAYMENT_STAGGER = 7;
const HALF_MS = 10_000;
const SEED = 16;
/** How often the owner is lost, and for how long. */
const LOSS_INTERVAL_MS = 2000;
const LOSS_MS = 1500;
const WINDOW_MS = 5000;
/** The operators' tolerance: 10% over the rate, plus 20 requests. */
const TOLERANCE_FACTOR = 1.1;
const TOLERANCE_REQUESTS = 20;

/** The daemons, and the times at which tokens were granted. */
export class SimulatedRateFleet {
  readonly #rate: {readonly perS: number; readonly burst: number};
  readonly #limit: Limit;
  readonly #ids: readonly string[];
  readonly #random = new SeededRandom(SEED);
  readonly #reachability: Reachability;
  readonly #granted: number[] = [];
  #daemons: readonly Daemon[];
  #nowMs = 0;

  constructor(
    count: number,
    rate: {readonly perS: number; readonly burst: number},
  ) {
    this.#rate = rate;
    const {perS, burst: capacity} = rate;
    this.#limit = {name: LIMIT, tokensPerS: perS, capacity};
    this.#ids = Array.from({length: count}, (_, index) => `vm-${index}`);
    this.#reachability = new Reachability(this.#ids, () => this.#nowMs);
    this.#daemons = this.#ids.map(id => this.#start(id, true));
  }

  /** Lets every daemon request `perS` tokens per second of virtual time. */
  async run(perS: number, event: RateEvent): Promise<void> {
    const due = this.#ids.map((_, index) => index / this.#ids.length);
    for (; this.#nowMs < 2 * HALF_MS; this.#nowMs += STEP_MS) {
      if (this.#nowMs >= HALF_MS) EVENTS[event](this, this.#nowMs - HALF_MS);
      this.#sendDuePayments();
      for (const [index, {id, limits}] of this.#daemons.entries()) {
        due[index] = (due[index] ?? 0) + (perS * STEP_MS) / 1000;
        const count = Math.floor(due[index] ?? 0);
        due[index] = (due[index] ?? 0) - count;
        if (!this.#reachability.isDown(id))
          await this.#requestTokens(limits, count);
      }
    }
  }

  /** The most tokens granted in any window, and how many are allowed. */
  busiestWindow(): {readonly most: number; readonly allowed: number} {
    const counts = this.#granted.map(
      from =>
        this.#granted.filter(at => at >= from && at < from + WINDOW_MS).length,
    );
    const {perS, burst} = this.#rate;
    const nominal = (perS * WINDOW_MS) / 1000 + burst;
    return {
      most: Math.max(0, ...counts),
      allowed: nominal * TOLERANCE_FACTOR + TOLERANCE_REQUESTS,
    };
  }

  /** Tokens granted in the second half, as a share of the rate. */
  grantedShare(): number {
    const count = this.#granted.filter(at => at >= HALF_MS).length;
    return count / ((this.#rate.perS * HALF_MS) / 1000);
  }

  killOwner(): void {
    const [first] = this.#daemons;
    if (!first) return;
    this.#reachability.takeDown(first.limits.parts.ownerOf(LIMIT));
  }

  cutOff(count: number): void {
    this.#reachability.cutOff(count);
  }

  /** For a while, half of the daemons take the owner as unreachable. */
  loseOwner(): void {
    this.#daemons
      .filter(() => this.#random.next() < 0.5)
      .forEach(({id, limits}) => {
        const owner = limits.parts.ownerOf(LIMIT);
        this.#reachability.silence(id, owner, LOSS_MS);
      });
  }

  restartAll(): void {
    this.#daemons = this.#ids.map(id => this.#start(id, false));
  }

  async #requestTokens(limits: SharedLimits, count: number): Promise<void> {
    for (let sent = 0; sent < count; sent += 1) {
      const {isGranted} = await limits.take(LIMIT);
      if (isGranted) this.#granted.push(this.#nowMs);
    }
  }

  #daemon(id: string): Daemon | undefined {
    return this.#daemons.find(other => other.id === id);
  }

  /** Each daemon pays every `PAYMENT_INTERVAL_MS`, at its own offset. */
  #sendDuePayments(): void {
    const stepsPerPayment = PAYMENT_INTERVAL_MS / STEP_MS;
    const step = (this.#nowMs / STEP_MS) % stepsPerPayment;
    this.#daemons
      .filter(
        (_, index) => (index * PAYMENT_STAGGER) % stepsPerPayment === step,
      )
      .filter(({id}) => !this.#reachability.isDown(id))
      .forEach(({limits}) => limits.parts.sendPayments());
  }

  #start(id: string, isFirstStart: boolean): Daemon {
    const peers: LimitPeers = {
      selfId: id,
      reachable: () => this.#reachability.from(id),
      count: () => this.#ids.length,
      payPart: (vm, payment) =>
        this.#daemon(vm)?.limits.parts.receivePayment(payment),
      ask: (vm, ask) => {
        return Promise.resolve(this.#daemon(vm)?.limits.grant(ask));
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
}

type EventAction = (fleet: SimulatedRateFleet, sinceMs: number) => void;

const EVENTS: Readonly<Record<RateEvent, EventAction>> = {
  'nothing fails': () => undefined,
  'the owner fails': once(fleet => fleet.killOwner()),
  '3 daemons are cut off': once(fleet => fleet.cutOff(3)),
  'all daemons restart': once(fleet => fleet.restartAll()),
  'half of the daemons lose the owner every 2 seconds': (fleet, sinceMs) => {
    if (sinceMs % LOSS_INTERVAL_MS === 0) fleet.loseOwner();
  },
};

/** An event that happens only once, halfway through the run. */
function once(event: (fleet: SimulatedRateFleet) => void): EventAction {
  return (fleet, sinceMs) => {
    if (sinceMs === 0) event(fleet);
  };
}
