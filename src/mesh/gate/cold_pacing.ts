/**
 * Paces the requests to an instance that is cold, or that may be. Two limits
 * apply: turns are given out at the cold rate, and a request whose turn came
 * earlier is held at the moment of sending if too many were sent within the
 * last second. The second one also counts what was sent before the instance was
 * known to be cold.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {DecisionLog} from '../../log/decision_log.js';
import type {MeshMetrics} from '../mesh_metrics.js';
import type {ServiceRecord} from '../model.js';
import {ColdState, type ColdLimits, type ColdPace} from './cold_state.js';
import {SendWindow} from './send_window.js';

/** The limit that applies to the turns of a cold instance. */
export interface TurnLimit {
  readonly perS: number;
  readonly burst: number;
  /** Least wait for a turn, whatever the rate is. */
  readonly minWaitMs: () => number;
}

/** Options of {@link ColdPacing}. */
export interface ColdPacingOptions {
  readonly log: DecisionLog;
  readonly metrics: Pick<MeshMetrics, 'setColdLimit' | 'recordColdHold'>;
  /** Called with the limit in force, when it begins, changes or ends. */
  readonly onLimit: (limit: TurnLimit | undefined) => void;
}

/** A request that is about to be sent. */
export interface HeldRequest {
  readonly id: string;
  readonly leftMs: number;
  readonly signal: AbortSignal;
}

/** The monotonic clock starts with the process; no earlier one sent since. */
const PROCESS_START_MS = 0;
/**
 * Turns that may follow each other without a pause. With 1, the turns that
 * no request needs for a moment are lost: a fleet of cold instances refused 13 and
 * 21% of a load of four fifths of its rate.
 */
const BURST = 3;
/** Longest time that a request with a turn is held; then it goes elsewhere. */
const MAX_HOLD_MS = 500;
/** A held request notices that its caller has gone within this time. */
const MAX_SLEEP_MS = 50;
/** Node.js fires timers with a longer delay immediately. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** The cold pacing of one gate. */
export class ColdPacing {
  readonly #options: ColdPacingOptions;
  readonly #state = new ColdState(performance.now());
  readonly #window = new SendWindow(PROCESS_START_MS);
  #pace: ColdPace | undefined;
  #timer: NodeJS.Timeout | undefined;
  #hasLoggedInvalid = false;

  constructor(options: ColdPacingOptions) {
    this.#options = options;
    this.#update();
  }

  /** Applies the record of the instance's service. */
  configure(record: ServiceRecord | undefined): void {
    this.#state.configure(this.#toLimits(record));
    this.#update();
  }

  /** Applies what the instance reported in a heartbeat or a probe. */
  report(coldForMs: number): void {
    this.#state.report(coldForMs, performance.now());
    this.#update();
  }

  /** Paces as if the instance were cold, until it reports. */
  assumeCold(): void {
    this.#state.assumeCold(performance.now());
    this.#update();
  }

  /**
   * Waits until a request may be sent, and counts it as sent. Resolves to false
   * if it has to go elsewhere.
   */
  async waitToSend({id, leftMs, signal}: HeldRequest): Promise<boolean> {
    const startedAtMs = performance.now();
    const endAtMs = startedAtMs + Math.min(leftMs, MAX_HOLD_MS);
    let waitMs = this.#sendWaitMs();
    const isHeld = waitMs > 0;
    while (waitMs > 0) {
      if (signal.aborted || performance.now() + waitMs >= endAtMs) break;
      await sleep(Math.min(waitMs, MAX_SLEEP_MS));
      waitMs = this.#sendWaitMs();
    }
    const isSent = waitMs === 0 && !signal.aborted;
    if (isSent) this.#window.record(performance.now());
    if (isHeld) this.#recordHold(id, isSent, performance.now() - startedAtMs);
    return isSent;
  }

  #sendWaitMs(): number {
    const nowMs = performance.now();
    const pace = this.#state.pace(nowMs);
    return pace ? this.#window.waitMs(pace.cap, nowMs) : 0;
  }

  #recordHold(id: string, isSent: boolean, heldMs: number): void {
    const outcome = isSent ? 'sent' : 'returned';
    this.#options.metrics.recordColdHold(outcome);
    const fields = {id, outcome, heldMs: Math.round(heldMs)};
    this.#options.log.step('cold-hold', fields);
  }

  #update(): void {
    const nowMs = performance.now();
    const before = this.#pace;
    const pace = this.#state.pace(nowMs);
    this.#pace = pace;
    clearTimeout(this.#timer);
    if (pace && pace.untilMs !== Infinity) this.#scheduleEnd(pace, nowMs);
    const isSame = pace?.perS === before?.perS && pace?.cause === before?.cause;
    if (isSame) return;
    this.#options.metrics.setColdLimit(pace?.perS);
    if (isKnown(pace) || isKnown(before)) this.#logChange(pace, before);
    const minWaitMs = () => this.#sendWaitMs();
    const burst = BURST;
    this.#options.onLimit(pace && {perS: pace.perS, burst, minWaitMs});
  }

  #logChange(pace: ColdPace | undefined, before: ColdPace | undefined): void {
    this.#options.log.belief('backend-cold', {
      limitPerS: pace?.perS,
      cause: pace?.cause,
      before: before?.perS,
      forMs: pace && Math.round(pace.untilMs - performance.now()),
    });
  }

  #scheduleEnd({untilMs}: ColdPace, nowMs: number): void {
    // A timer may fire up to a millisecond early.
    const delayMs = Math.min(MAX_TIMER_MS, untilMs - nowMs + 1);
    this.#timer = setTimeout(() => this.#update(), delayMs);
    this.#timer.unref();
  }

  /** The limits of a record; undefined if its sender doesn't know them. */
  #toLimits(record: ServiceRecord | undefined): ColdLimits | undefined {
    const {warmupMs, coldPerS} = record ?? {warmupMs: 0, coldPerS: 0};
    if (isAmount(warmupMs) && isAmount(coldPerS)) return {warmupMs, coldPerS};
    const isMissing = warmupMs === undefined && coldPerS === undefined;
    if (!isMissing && !this.#hasLoggedInvalid) {
      this.#hasLoggedInvalid = true;
      const fields = {service: record?.name, warmupMs, coldPerS};
      this.#options.log.belief('cold-limits-invalid', fields);
    }
    return undefined;
  }
}

/** Whether the pacing follows from a configuration. */
function isKnown(pace: ColdPace | undefined): boolean {
  return pace !== undefined && pace.cause !== 'unknown';
}

function isAmount(value: number | undefined): value is number {
  return Number.isFinite(value) && Number(value) >= 0;
}
