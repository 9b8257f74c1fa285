/**
 * The gate stands before the one backend server of its VM; every request to
 * that server passes it. It alone knows the free slots, judges the server by
 * its real work, and stops new work the moment that the server leaves.
 */
import type {DecisionLog} from '../../log/decision_log.js';
import type {MeshMetrics} from '../mesh_metrics.js';
import type {Heartbeat, BackendStatus} from '../model.js';
import {BackendRuns} from './backend_runs.js';
import {BackendIdentity, type Identity} from './backend_identity.js';
import type {Exchange} from './exchange.js';
import {patienceOf} from './patience.js';
import {ResponseTimes} from './response_times.js';
import {SlotQueue, type Slot} from './slot_queue.js';
import {Suspicion, type FailureSign} from './suspicion.js';
import {
  declined,
  type Declined,
  type GateClient,
  type Outcome,
  type Reservation,
  type SlotRequest,
  type Work,
} from './work.js';

/** What a gate is made from. */
export interface GateOptions {
  /** The service of this VM's backend server. */
  readonly service: string;
  readonly exchange: Pick<Exchange, 'run'>;
  readonly log: DecisionLog;
  readonly metrics: MeshMetrics;
  /** Called when routers should hear of a change at once. */
  readonly onChange: () => void;
}

/** A reserved slot that isn't used within this time is free again. */
const RESERVATION_MS = 500;

/** Instances in doubt are tried again about twice a second. */
const DOUBT_WAIT_MS = 500;

/** The gate of one VM. */
export class Gate implements GateClient {
  /** What runs at the backend server now. */
  readonly runs = new BackendRuns();
  readonly #options: GateOptions;
  readonly #identity = new BackendIdentity();
  readonly #slots = new SlotQueue();
  #suspicion = new Suspicion();
  readonly #times = new ResponseTimes();
  #isStopping = false;

  constructor(options: GateOptions) {
    this.#options = options;
  }

  /** What routers need to know; undefined before the first heartbeat. */
  get status(): BackendStatus | undefined {
    const known = this.#identity.known;
    if (!known) return undefined;
    const nowMs = performance.now();
    return {
      instance: known.instance,
      service: known.service,
      state: this.#isStopping ? 'draining' : known.state,
      slots: known.slots,
      isCold: nowMs < known.coldUntilMs,
      trust: this.#suspicion.trust(nowMs),
      running: this.#slots.running,
      waiting: this.#slots.waiting,
    };
  }

  /** Whether requests hold slots or wait for one. */
  get isIdle(): boolean {
    return this.#slots.running + this.#slots.waiting === 0;
  }

  /** Takes a heartbeat of the backend server in. */
  announce(heartbeat: Heartbeat): void {
    if (heartbeat.service !== this.#options.service) return;
    const before = this.#identity.known;
    if (!this.#identity.announce(heartbeat, performance.now())) return;
    this.#adopt(before);
  }

  /** Takes over what a probe of the health path found. */
  found(instance: string, slots: number): void {
    const before = this.#identity.known;
    const {service} = this.#options;
    const state = 'ready';
    this.#identity.found({instance, service, slots, state, coldUntilMs: 0});
    this.#adopt(before);
  }

  /** The instance goes; nothing new is sent to it from now on. */
  leave(instance: string): void {
    const before = this.#identity.known;
    this.#identity.leave(instance);
    this.#adopt(before);
  }

  /** Gives no more slots; what runs is finished. */
  stopTaking(): void {
    this.#isStopping = true;
    this.#options.onChange();
  }

  async reserve(
    request: SlotRequest,
    signal: AbortSignal,
  ): Promise<Reservation | Declined> {
    const refusal = this.#refusal(request, this.#slots.running);
    if (refusal) return refusal;
    const {priority} = request;
    const patienceMs = this.#patienceMs(request);
    const slot = await this.#slots.take({priority, patienceMs, signal});
    if (slot.kind === 'declined') return slot;
    // Much may have changed while it waited; its own slot is held by now.
    const late = this.#refusal(request, this.#slots.running - 1);
    if (!late) return this.#reservation(request, slot);
    slot.release();
    return late;
  }

  #patienceMs({route, objectiveMs, leftMs}: SlotRequest): number {
    if (leftMs === 0) return 0;
    const usualMs = this.#times.usualMs(route, objectiveMs);
    return patienceOf(objectiveMs, leftMs, usualMs);
  }

  /** Why the request gets no slot while `running` others hold one. */
  #refusal(request: SlotRequest, running: number): Declined | undefined {
    const {service, assurance} = request;
    const known = this.#identity.known;
    if (this.#isStopping) return declined('stopping');
    if (!known || known.service !== service) return declined('no-instance');
    if (known.state === 'draining') return declined('leaving');
    if (known.state === 'down') return declined('no-instance');
    // Routers may not have heard yet that the instance hangs.
    const nowMs = performance.now();
    const isSure = this.#suspicion.assures(assurance, running === 0, nowMs);
    return isSure ? undefined : declined('doubtful', DOUBT_WAIT_MS);
  }

  #adopt(before: Identity | undefined): void {
    const now = this.#identity.known;
    if (!now) return;
    this.#slots.resize(now.slots);
    // What its predecessor did says nothing about a new incarnation.
    const isNew = before?.startedAtUnixMs !== now.startedAtUnixMs;
    if (isNew || before.instance !== now.instance) {
      this.#suspicion = new Suspicion();
    }
    const isSame =
      before?.instance === now.instance && before.state === now.state;
    if (isSame) return;
    const {instance, service, state, slots, sequence} = now;
    const fields = {instance, service, state, slots, sequence};
    this.#options.log.belief('backend-state', fields);
    this.#options.onChange();
  }

  #reservation(request: SlotRequest, slot: Slot): Reservation {
    const instance = this.#identity.known?.instance ?? '';
    const {route, objectiveMs} = request;
    const expiresAtMs = performance.now() + RESERVATION_MS;
    const expiry = setTimeout(() => slot.release(), RESERVATION_MS);
    return {
      kind: 'reserved',
      instance,
      lateAfterMs: this.#times.lateAfterMs(route, objectiveMs),
      release: () => {
        clearTimeout(expiry);
        slot.release();
      },
      run: async (work, signal) => {
        clearTimeout(expiry);
        // After a pause of the process this may run before the timer does.
        if (performance.now() > expiresAtMs) {
          slot.release();
          return notRun(instance, 'reservation expired');
        }
        return this.#run(request, work, {instance, slot, signal});
      },
    };
  }

  async #run(
    request: SlotRequest,
    work: Work,
    held: {
      readonly instance: string;
      readonly slot: Slot;
      readonly signal: AbortSignal;
    },
  ): Promise<Outcome> {
    const {instance, slot, signal} = held;
    const {route, objectiveMs} = request;
    if (signal.aborted || this.#identity.known?.instance !== instance) {
      slot.release();
      return notRun(instance, signal.aborted ? 'cancelled' : 'replaced');
    }
    const sentAtMs = performance.now();
    const lateAfterMs = this.#times.lateAfterMs(route, objectiveMs);
    const lateCause = {
      sign: 'late',
      id: work.requestId,
      route,
      instance,
      afterMs: Math.round(lateAfterMs),
    };
    const watch = setTimeout(() => {
      this.#noteTrust(lateCause, nowMs =>
        this.#suspicion.late(work.requestId, nowMs),
      );
    }, lateAfterMs);
    const run = this.runs.started(work.isRepeat);
    const outcome = await this.#options.exchange.run(work, {instance, signal});
    this.runs.ended(run);
    clearTimeout(watch);
    slot.release();
    this.#learn(request, outcome, sentAtMs);
    return outcome;
  }

  #learn(request: SlotRequest, outcome: Outcome, sentAtMs: number): void {
    const {instance} = outcome;
    const {requestId, route} = request;
    const tookMs = performance.now() - sentAtMs;
    this.#options.metrics.recordInstanceOutcome(route, outcome.kind, tookMs);
    const isGood = outcome.kind === 'answered' && outcome.status < 500;
    if (isGood) this.#times.add(route, tookMs);
    const sign = isGood ? undefined : failureSign(outcome);
    const reason =
      outcome.kind === 'answered' ? outcome.status : outcome.reason;
    const cause = {
      sign,
      id: requestId,
      route,
      instance,
      reason,
      tookMs: Math.round(tookMs),
    };
    this.#noteTrust(cause, nowMs => {
      this.#suspicion.ended(requestId, isGood, nowMs);
      if (isGood) this.#suspicion.succeeded(sentAtMs, nowMs);
      if (sign) this.#suspicion.failed(sign, nowMs);
    });
    const isGone = outcome.kind === 'not-run' && !outcome.hasArrived;
    if (!isGone) return;
    this.#identity.refusedConnection();
    this.#options.log.belief('backend-state', {instance, state: 'down'});
    this.#options.onChange();
  }

  /** Changes the suspicion and tells whoever must know of a new trust. */
  #noteTrust(
    cause: Readonly<Record<string, unknown>>,
    change: (nowMs: number) => void,
  ): void {
    const nowMs = performance.now();
    const before = this.#suspicion.trust(nowMs);
    change(nowMs);
    const trust = this.#suspicion.trust(nowMs);
    if (trust === before) return;
    this.#options.metrics.recordTrustChange(trust);
    this.#options.log.belief('backend-trust', {trust, before, ...cause});
    this.#options.onChange();
  }
}

function notRun(instance: string, reason: string): Outcome {
  return {kind: 'not-run', instance, reason, hasArrived: false};
}

/** How an outcome speaks against the instance, if it does. */
function failureSign(outcome: Outcome): FailureSign | undefined {
  if (outcome.kind === 'answered') return 'error';
  if (outcome.reason === 'cancelled') return undefined;
  return outcome.kind === 'unknown' ? 'broken' : 'rejected';
}
