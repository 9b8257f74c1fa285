/**
 * The gate's decisions about a cold instance in simulated time: any pattern of
 * requests, restarts of the gate, and an instance that becomes cold without
 * notice. The turns of the pacer are left out, so that only what the gate
 * decides at the moment of sending keeps the limit.
 */
import {
  ColdState,
  WARMUP_OVERAGE,
  WARMUP_SLACK,
  type ColdLimits,
} from '../../src/mesh/gate/cold_state.js';
import {SendWindow} from '../../src/mesh/gate/send_window.js';

/** What happens at one time. */
export type ColdEvent = {readonly atMs: number} & (
  | {readonly kind: 'heartbeat' | 'gate-restart' | 'turn-cold' | 'revert'}
  /** Several requests at once, each of which arrives after a delay. */
  | {
      readonly kind: 'requests';
      readonly count: number;
      readonly transitMs: number;
    }
);

/** Rules of the gate; a test may leave one of them out. */
export const COLD_RULES = [
  /** A gate that starts assumes a cold instance. */
  'assumeAtStart',
  /** It also assumes that its predecessor has used up the current second. */
  'fullAtStart',
  /** What was sent before the instance was known to be cold counts. */
  'countUnpaced',
  /** Requests are held once the cap is reached. */
  'holdAtCap',
] as const;
export type ColdRule = (typeof COLD_RULES)[number];

/** A request that reached the instance. */
interface Arrival {
  readonly atMs: number;
  readonly isPaced: boolean;
}

const WINDOW_MS = 1000;

/** Requests that a cold instance may get within a second. */
export function allowanceOf({coldPerS}: ColdLimits): number {
  return coldPerS * WARMUP_OVERAGE + WARMUP_SLACK;
}

/** One gate and its instance. */
export class SimulatedColdGate {
  readonly arrivals: Arrival[] = [];
  /** Unlimited requests to an instance that had reported that it is cold. */
  readonly unpacedAfterReportAtMs: number[] = [];
  readonly #limits: ColdLimits;
  readonly #without: ColdRule | undefined;
  #state: ColdState;
  #window: SendWindow;
  #coldUntilMs: number;
  #isReported = false;

  /** The gate and the instance start at time 0. */
  constructor(limits: ColdLimits, without?: ColdRule) {
    this.#limits = limits;
    this.#without = without;
    this.#coldUntilMs = limits.warmupMs;
    this.#state = this.#startState(0);
    this.#window = this.#startWindow(0);
  }

  apply(event: ColdEvent): void {
    const {atMs} = event;
    const handlers: Readonly<Record<ColdEvent['kind'], () => void>> = {
      heartbeat: () => {
        this.#state.report(Math.max(0, this.#coldUntilMs - atMs), atMs);
        this.#isReported = true;
      },
      'gate-restart': () => {
        this.#state = this.#startState(atMs);
        this.#window = this.#startWindow(atMs);
        this.#isReported = false;
      },
      'turn-cold': () => {
        this.#coldUntilMs = atMs + this.#limits.warmupMs;
        this.#isReported = false;
      },
      revert: () => this.#state.assumeCold(atMs),
      requests: () => {
        if (event.kind !== 'requests') return;
        for (let sent = 0; sent < event.count; sent += 1) {
          this.#send(atMs, event.transitMs);
        }
      },
    };
    handlers[event.kind]();
  }

  /**
   * The most requests in a second that ends with a paced one. Requests of the
   * time before a report count, but can't raise it over the allowance.
   */
  get worstPacedCount(): number {
    const counts = this.arrivals
      .filter(({isPaced}) => isPaced)
      .map(({atMs: endMs}) => {
        const isCounted = ({atMs}: Arrival) =>
          atMs > endMs - WINDOW_MS && atMs <= endMs;
        return this.arrivals.filter(isCounted).length;
      });
    return Math.max(0, ...counts);
  }

  #send(atMs: number, transitMs: number): void {
    const pace = this.#state.pace(atMs);
    const isHeld = pace && this.#window.waitMs(pace.cap, atMs) > 0;
    if (isHeld && this.#without !== 'holdAtCap') return;
    const isPaced = pace !== undefined;
    if (isPaced || this.#without !== 'countUnpaced') this.#window.record(atMs);
    this.arrivals.push({atMs: atMs + transitMs, isPaced});
    const isCold = atMs < this.#coldUntilMs;
    if (isCold && this.#isReported && !isPaced) {
      this.unpacedAfterReportAtMs.push(atMs);
    }
  }

  #startState(nowMs: number): ColdState {
    const state = new ColdState(nowMs);
    state.configure(this.#limits);
    if (this.#without === 'assumeAtStart') state.report(0, nowMs);
    return state;
  }

  #startWindow(nowMs: number): SendWindow {
    const isEmpty = this.#without === 'fullAtStart';
    return new SendWindow(isEmpty ? -Infinity : nowMs);
  }
}
