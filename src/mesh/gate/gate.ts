/**
 * The gate in front of the one backend server of its VM. Every request to that
 * server passes through it, so it alone knows the number of free slots. It
 * judges the server by the outcome of these requests, and admits no new ones
 * from the moment that the server leaves.
 */
import type {DecisionLog} from '../../log/decision_log.js';
import {ResponseTimeout} from '../../timing/response_timeout.js';
import type {MeshMetrics} from '../mesh_metrics.js';
import type {Heartbeat, BackendStatus} from '../model.js';
import {InFlightRequests} from './in_flight_requests.js';
import {BackendIdentity, type Identity} from './backend_identity.js';
import type {BackendClient} from './backend_client.js';
import {ColdPacing, type TurnLimit} from './cold_pacing.js';
import type {InstanceNotice} from './instance_notice.js';
import type {DomainState} from '../evacuation/evacuated_domains.js';
import {queueTimeoutMs} from './queue_timeout.js';
import {QueuedWaits} from './queued_waits.js';
import {NO_MEMORY_REASON} from './response_reader.js';
import {RunLimit} from './run_limit.js';
import {ResponseTimes} from './response_times.js';
import type {CustomerShares} from './queue_place.js';
import {QueueReport} from './queue_report.js';
import {SlotQueue, type Slot} from './slot_queue.js';
import {OutlierDetector, type FailureKind} from './outlier_detector.js';
import {
  declined,
  type Declined,
  type GateClient,
  type Outcome,
  type Reservation,
  type SlotRequest,
  type Work,
} from './work.js';

/** Options of {@link Gate}. */
export interface GateOptions {
  /** The service of this VM's backend server. */
  readonly service: string;
  readonly client: Pick<BackendClient, 'run'>;
  readonly log: DecisionLog;
  readonly metrics: MeshMetrics;
  /** Called when routers should be notified of a change at once. */
  readonly onChange: () => void;
  /** `none` if omitted. */
  readonly customerShares?: CustomerShares;
  /** The weight of a customer; 1 if omitted. */
  readonly weightOf?: (customer: string) => number;
}

/** A reserved slot that is not used within this time is released. */
const RESERVATION_TTL_MS = 500;

/** Instances that are not fully trusted are tried about twice a second. */
const DOUBTFUL_RETRY_MS = 500;

/** The gate of one VM. */
export class Gate implements GateClient {
  /** The requests in flight at the backend server. */
  readonly inFlight = new InFlightRequests();
  readonly #options: GateOptions;
  readonly #identity = new BackendIdentity();
  readonly #slots: SlotQueue;
  /** Paces the requests while the instance is cold. */
  readonly cold: ColdPacing;
  #outliers = new OutlierDetector();
  readonly #responseTimes = new ResponseTimes();
  #isStopping = false;
  #domainState: DomainState = 'in-service';
  readonly #queuedWaits = new QueuedWaits();

  constructor(options: GateOptions) {
    this.#options = options;
    const report = new QueueReport(options);
    this.#slots = new SlotQueue({
      ...options,
      onEnd: (waiter, end) => report.record(waiter, end),
    });
    const {log, metrics, onChange} = options;
    let isStarted = false;
    const onLimit = (limit: TurnLimit | undefined) => {
      this.#slots.setColdLimit(limit);
      if (isStarted) onChange();
    };
    this.cold = new ColdPacing({log, metrics, onLimit});
    isStarted = true;
  }

  /**
   * The status for routers; undefined before the first heartbeat, and before it
   * is known whether this VM's failure domain is evacuated.
   */
  get status(): BackendStatus | undefined {
    const known = this.#identity.known;
    if (!known || this.#domainState === 'unknown') return undefined;
    const nowMs = performance.now();
    return {
      instance: known.instance,
      service: known.service,
      // Daemons that know nothing of evacuations avoid a gate that is draining.
      state: this.#isAdmitting ? known.state : 'draining',
      slots: known.slots,
      isCold: nowMs < known.coldUntilMs,
      trust: this.#outliers.trust(nowMs),
      running: this.#slots.running,
      waiting: this.#slots.waiting,
      turnWaitMs: this.#slots.turnWaitMs,
    };
  }

  /** Whether no request holds a slot or waits for one. */
  get isIdle(): boolean {
    return this.#slots.running + this.#slots.waiting === 0;
  }

  /** Applies a heartbeat of the backend server. */
  applyHeartbeat(heartbeat: Heartbeat): void {
    if (heartbeat.service !== this.#options.service) return;
    const before = this.#identity.known;
    if (!this.#identity.applyHeartbeat(heartbeat, performance.now())) return;
    this.cold.report(heartbeat.coldForMs);
    this.#applyIdentity(before);
  }

  /** Adopts the result of a probe of the health path. */
  adoptProbe(instance: string, slots: number, coldForMs?: number): void {
    if (!this.#identity.known && coldForMs !== undefined) {
      this.cold.report(coldForMs);
    }
    const before = this.#identity.known;
    const {service} = this.#options;
    const state = 'ready';
    this.#identity.adoptProbe({
      instance,
      service,
      slots,
      state,
      coldUntilMs: performance.now() + (coldForMs ?? 0),
    });
    this.#applyIdentity(before);
  }

  /**
   * Marks an instance as leaving; it gets no new requests from now on. Without a
   * start, its last incarnation is meant.
   */
  markLeaving(instance: string, startedAtUnixMs?: number): void {
    const before = this.#identity.known;
    this.#identity.markLeaving(instance, startedAtUnixMs);
    this.#applyIdentity(before);
  }

  /** Grants no more slots; requests in flight are finished. */
  stopAdmitting(): void {
    this.#isStopping = true;
    this.#options.onChange();
  }

  /** Applies what is known of an evacuation of this VM's failure domain. */
  setDomainState(state: DomainState): void {
    const before = this.#domainState;
    if (state === before) return;
    this.#domainState = state;
    if (state === 'evacuated') this.#queuedWaits.endAll();
    // An instance may become cold while it gets no requests.
    if (before === 'evacuated') this.cold.assumeCold();
    this.#options.log.belief('gate-domain', {state, before});
    this.#options.onChange();
  }

  get #isAdmitting(): boolean {
    return !this.#isStopping && this.#domainState === 'in-service';
  }

  async reserve(
    request: SlotRequest,
    signal: AbortSignal,
  ): Promise<Reservation | Declined> {
    const wait = this.#queuedWaits.begin(signal);
    const result = await this.#reserve(request, wait.signal);
    wait.end();
    const isEnded =
      result.kind === 'declined' &&
      result.reason === 'withdrawn' &&
      !signal.aborted;
    return isEnded ? this.#declineEvacuated(request.requestId) : result;
  }

  #declineEvacuated(id: string): Declined {
    this.#options.metrics.recordEvacuatedDecline('reservation');
    this.#options.log.step('evacuated', {id, declined: 'reservation'});
    return declined('evacuated');
  }

  async #reserve(
    request: SlotRequest,
    signal: AbortSignal,
  ): Promise<Reservation | Declined> {
    const decline = this.#checkAdmission(request, this.#slots.running);
    if (decline) return decline;
    const slot = await this.#slots.acquire({
      ...request,
      queueTimeoutMs: this.#queueTimeoutMs(request),
      signal,
    });
    if (slot.kind === 'declined') return slot;
    // The state may have changed during the wait; `running` now includes
    // this request's own slot.
    const lateDecline = this.#checkAdmission(request, this.#slots.running - 1);
    if (!lateDecline) return this.#createReservation(request, slot);
    slot.releaseUnused();
    return lateDecline;
  }

  #queueTimeoutMs({route, objectiveMs, leftMs}: SlotRequest): number {
    if (leftMs === 0) return 0;
    const expectedMs = this.#responseTimes.expectedMs(route, objectiveMs);
    return queueTimeoutMs(objectiveMs, leftMs, expectedMs);
  }

  /** Why the request gets no slot while `running` others hold one. */
  #checkAdmission(request: SlotRequest, running: number): Declined | undefined {
    const {service, assurance} = request;
    const known = this.#identity.known;
    if (this.#isStopping) return declined('stopping');
    if (this.#domainState === 'evacuated')
      return this.#declineEvacuated(request.requestId);
    if (this.#domainState === 'unknown') return declined('no-instance');
    if (!known || known.service !== service) return declined('no-instance');
    if (known.state === 'draining') return declined('leaving');
    if (known.state === 'down') return declined('no-instance');
    // Routers may not know yet that the instance hangs.
    const nowMs = performance.now();
    const isAssured = this.#outliers.assures(assurance, running === 0, nowMs);
    return isAssured ? undefined : declined('doubtful', DOUBTFUL_RETRY_MS);
  }

  #applyIdentity(before: Identity | undefined): void {
    const now = this.#identity.known;
    if (!now) return;
    this.#slots.resize(now.slots);
    // Failures of the previous incarnation say nothing about a new one.
    const isNew = before?.startedAtUnixMs !== now.startedAtUnixMs;
    if (isNew || before.instance !== now.instance) {
      this.#outliers = new OutlierDetector();
      this.#slots.setLimit(undefined);
      this.#options.metrics.setBackendLimit(undefined);
    }
    const isSame =
      before?.instance === now.instance && before.state === now.state;
    if (isSame) return;
    const {instance, service, state, slots, sequence} = now;
    const fields = {instance, service, state, slots, sequence};
    this.#options.log.belief('backend-state', fields);
    this.#options.onChange();
  }

  /** Applies what an instance said in its response to a request. */
  #applyNotice(notice: InstanceNotice, sentTo: Identity | undefined): void {
    const {known} = this.#identity;
    // A response of an earlier incarnation says nothing about this one.
    const isCurrent =
      known !== undefined &&
      known.instance === sentTo?.instance &&
      known.startedAtUnixMs === sentTo.startedAtUnixMs;
    if (!isCurrent) return;
    this.#applyLimit(known.instance, notice);
    if (!notice.isLeaving) return;
    if (known.state !== 'draining') {
      const {instance} = known;
      this.#options.log.belief('backend-leaving', {instance});
    }
    this.markLeaving(known.instance);
  }

  #applyLimit(
    instance: string,
    {limitPerS, invalidLimit: limit}: InstanceNotice,
  ): void {
    const {log, metrics} = this.#options;
    if (limit !== undefined) {
      log.belief('backend-limit-invalid', {instance, limit});
      return;
    }
    const before = this.#slots.limitPerS;
    if (limitPerS === before) return;
    this.#slots.setLimit(limitPerS);
    metrics.setBackendLimit(limitPerS);
    log.belief('backend-limit', {instance, limitPerS, before});
    const isBeginOrEnd = limitPerS === undefined || before === undefined;
    if (isBeginOrEnd) this.#options.onChange();
  }

  #createReservation(request: SlotRequest, slot: Slot): Reservation {
    const instance = this.#identity.known?.instance ?? '';
    const {route, objectiveMs} = request;
    const reservedAtMs = performance.now();
    let isExpired = false;
    const expiry = new ResponseTimeout(RESERVATION_TTL_MS, () => {
      isExpired = true;
      slot.releaseUnused();
    });
    let isUsed = false;
    return {
      kind: 'reserved',
      instance,
      lateAfterMs: this.#responseTimes.lateAfterMs(route, objectiveMs),
      release: () => {
        expiry.cancel();
        if (isUsed) slot.release();
        else slot.releaseUnused();
      },
      run: async (work, signal) => {
        expiry.cancel();
        // The router read the time left later than this reservation was made.
        const leftMs = work.leftMs - (performance.now() - reservedAtMs);
        if (isExpired || !(leftMs > 0)) {
          slot.releaseUnused();
          return notRun(instance, 'reservation expired');
        }
        if (this.#isStopping) {
          slot.releaseUnused();
          return notRun(instance, 'stopping');
        }
        isUsed = true;
        return this.#run(request, {...work, leftMs}, {instance, slot, signal});
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
    const admittedAtMs = performance.now();
    const {requestId: id, leftMs} = work;
    const isInTime = await this.cold.waitToSend({id, leftMs, signal});
    const refusal = this.#checkSending(id, held, isInTime);
    if (refusal !== undefined) {
      slot.releaseUnused();
      return notRun(instance, refusal);
    }
    const sentAtMs = performance.now();
    const lateAfterMs = this.#responseTimes.lateAfterMs(route, objectiveMs);
    const lateCause = {
      sign: 'late',
      id: work.requestId,
      route,
      instance,
      afterMs: Math.round(lateAfterMs),
    };
    const lateTimeout = new ResponseTimeout(lateAfterMs, () => {
      this.#updateTrust(lateCause, nowMs =>
        this.#outliers.recordLate(work.requestId, nowMs),
      );
    });
    const inFlightRequest = this.inFlight.start(work.isRepeat);
    const sentTo = this.#identity.known;
    const timely = {...work, leftMs: leftMs - (sentAtMs - admittedAtMs)};
    const limit = new RunLimit(timely.leftMs, signal);
    const outcome = await this.#options.client.run(timely, {
      instance,
      signal: limit.signal,
      onNotice: notice => this.#applyNotice(notice, sentTo),
      // From then on the daemon delays the response, not the instance.
      onWait: () => lateTimeout.cancel(),
    });
    limit.cancel();
    if (limit.isExceeded) this.#recordExceededLimit(timely, route, instance);
    this.inFlight.end(inFlightRequest);
    lateTimeout.cancel();
    slot.release();
    this.#recordOutcome(request, outcome, sentAtMs);
    return outcome;
  }

  /** Tells that the router did not cancel a run at its deadline. */
  #recordExceededLimit(work: Work, route: string, instance: string): void {
    const {requestId: id, leftMs} = work;
    this.#options.metrics.recordRunLimit(route);
    const fields = {id, route, instance, leftMs: Math.round(leftMs)};
    this.#options.log.failure('run-limit-exceeded', fields);
  }

  /** Why a reserved request is not sent after all. */
  #checkSending(
    id: string,
    {
      instance,
      signal,
    }: {readonly instance: string; readonly signal: AbortSignal},
    isInTime: boolean,
  ): string | undefined {
    if (signal.aborted) return 'cancelled';
    if (this.#domainState === 'evacuated') {
      this.#options.metrics.recordEvacuatedDecline('use');
      this.#options.log.step('evacuated', {id, declined: 'use'});
      return 'evacuated';
    }
    const {known} = this.#identity;
    if (known?.instance !== instance) return 'replaced';
    // While a request is held, the stop or the leaving may begin.
    if (this.#isStopping) return 'stopping';
    if (known.state === 'draining') return 'leaving';
    return isInTime ? undefined : 'cold';
  }

  #recordOutcome(
    request: SlotRequest,
    outcome: Outcome,
    sentAtMs: number,
  ): void {
    const {instance} = outcome;
    const {requestId, route} = request;
    const tookMs = performance.now() - sentAtMs;
    this.#options.metrics.recordInstanceOutcome(route, outcome.kind, tookMs);
    const isGood = outcome.kind === 'answered' && outcome.status < 500;
    if (isGood) this.#responseTimes.addSample(route, tookMs);
    const failureKind = isGood ? undefined : classifyFailure(outcome);
    const reason =
      outcome.kind === 'answered' ? outcome.status : outcome.reason;
    const cause = {
      sign: failureKind,
      id: requestId,
      route,
      instance,
      reason,
      tookMs: Math.round(tookMs),
    };
    const isUnread =
      outcome.kind === 'unknown' && outcome.reason === NO_MEMORY_REASON;
    this.#updateTrust(cause, nowMs => {
      // The head of a response that wasn't read shows that nothing hangs.
      this.#outliers.recordEnd(requestId, isGood || isUnread, nowMs);
      if (isGood) this.#outliers.recordSuccess(sentAtMs, nowMs);
      if (failureKind) this.#outliers.recordFailure(failureKind, nowMs);
    });
    const hasEnded = outcome.kind === 'unknown' && outcome.hasInstanceEnded;
    if (hasEnded) this.cold.assumeCold();
    const isDown = outcome.kind === 'not-run' && !outcome.hasArrived;
    if (!isDown) return;
    this.#identity.markDown();
    this.#options.log.belief('backend-state', {instance, state: 'down'});
    this.#options.onChange();
  }

  /** Applies a change to the outlier detector and reports a new trust level. */
  #updateTrust(
    cause: Readonly<Record<string, unknown>>,
    change: (nowMs: number) => void,
  ): void {
    const nowMs = performance.now();
    const before = this.#outliers.trust(nowMs);
    change(nowMs);
    const trust = this.#outliers.trust(nowMs);
    if (trust === before) return;
    this.#options.metrics.recordTrustChange(trust);
    this.#options.log.belief('backend-trust', {trust, before, ...cause});
    this.#options.onChange();
  }
}

function notRun(instance: string, reason: string): Outcome {
  return {kind: 'not-run', instance, reason, hasArrived: false};
}

/** Reasons for a run without a response that don't lie with the instance. */
const OWN_REASONS: ReadonlySet<string> = new Set([
  'cancelled',
  NO_MEMORY_REASON,
]);

/** The kind of failure of an outcome; undefined if it is not a failure. */
function classifyFailure(outcome: Outcome): FailureKind | undefined {
  if (outcome.kind === 'answered') return 'error';
  if (OWN_REASONS.has(outcome.reason)) return undefined;
  return outcome.kind === 'unknown' ? 'broken' : 'rejected';
}
