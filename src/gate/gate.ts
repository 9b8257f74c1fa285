/**
 * The gate of a daemon is the only part that opens connections to the
 * instances which announced themselves to this daemon, so it knows for each
 * request whether it was started. Requests wait for a slot (permission for one
 * concurrent request to an instance) in one queue per service.
 */
import {toSnapshot} from '../health/outlier_detector.js';
import {
  classifyMethod,
  classifyResponse,
  type HealthView,
  type SampleKind,
} from '../health/health_view.js';
import type {Logger} from '../log/logger.js';
import {Capacity, type SlotCounts} from './capacity.js';
import {ExchangeError} from './exchange.js';
import {exchangeWithInstance} from './instance_exchange.js';
import {Instances, mayReceiveWork, type Instance} from './instances.js';
import type {ReserveReply} from './messages.js';
import {observeBody} from './observed_body.js';
import {Reservations} from './reservations.js';
import {Slots, type Slot, type SlotLimits, type SlotRequest} from './slots.js';
import {
  notRun,
  type GateClient,
  type NotRun,
  type NotRunReason,
  type Outcome,
  type Unknown,
  type Work,
} from './work.js';

export interface GateOptions extends SlotLimits {
  readonly log: Logger;
  readonly health: HealthView;
  /** Called when the available slots have changed. */
  readonly onSlotCounts: (slots: SlotCounts) => void;
}

/** Maximum number of instances that one request is tried on. */
const MAX_INSTANCES_PER_REQUEST = 3;

export class Gate implements GateClient {
  readonly instances: Instances;
  readonly #options: GateOptions;
  readonly #capacity: Capacity;
  readonly #slots: Slots;
  #reportedCounts = '';
  readonly #reservations = new Reservations();
  #isStopping = false;

  constructor(options: GateOptions) {
    this.#options = options;
    this.instances = new Instances(() => this.resize());
    this.#capacity = new Capacity(this.instances, options.health);
    this.#slots = new Slots(this.instances, this.#capacity, options);
  }

  /** Adjusts the queues to the available slots and reports changed counts. */
  resize(): void {
    this.#slots.resize();
    const counts = this.#capacity.counts();
    const text = JSON.stringify(counts);
    if (text !== this.#reportedCounts) this.#options.onSlotCounts(counts);
    this.#reportedCounts = text;
  }

  start(): void {
    this.instances.start();
  }

  /** Refuses renewals, so that instances announce to other daemons. */
  refuseRenewals(): void {
    this.instances.refuseRenewals();
  }

  /** Rejects new work and resolves when all work in flight has ended. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    await this.#slots.waitUntilIdle();
    this.instances.stop();
  }

  /** Free slots minus queued requests of a service; positive means room. */
  room(service: string): number {
    return this.#capacity.freeSlots(service) - this.#slots.waiting(service);
  }

  /** True if an instance of the service can take work, maybe after a wait. */
  hasSlots(service: string): boolean {
    return this.#capacity.limit(service) > 0;
  }

  /** True if an instance below the grade `full` is due for a trial request. */
  isTrialDue(service: string): boolean {
    return this.#capacity.isTrialDue(service);
  }

  async run(work: Work): Promise<Outcome> {
    const excluded = new Set<string>();
    let outcome: Outcome = notRun('no-instance');
    while (excluded.size < MAX_INSTANCES_PER_REQUEST) {
      const slot = await this.#acquireSlot(work, excluded);
      if ('kind' in slot) return excluded.size === 0 ? slot : outcome;
      outcome = await this.#send(work, slot);
      if (!mayTryNextInstance(outcome, work)) return outcome;
      excluded.add(slot.instance.id);
    }
    return outcome;
  }

  /** Waits for a slot and reserves it for a request that follows. */
  async reserve(request: SlotRequest): Promise<ReserveReply> {
    if (this.#isStopping) return {refusal: notRun('draining')};
    const slot = await this.#slots.acquire(request);
    if ('kind' in slot) return {refusal: slot};
    return {reservation: this.#reservations.add(slot)};
  }

  async #acquireSlot(work: Work, excluded: ReadonlySet<string>) {
    if (work.reservation !== undefined && excluded.size === 0) {
      return this.#reservations.claim(work.reservation) ?? notRun('busy');
    }
    if (this.#isStopping) return notRun('draining');
    const instances = this.instances.availableFor(work.service);
    const candidates = instances.filter(instance => !excluded.has(instance.id));
    if (candidates.length === 0) return notRun('no-instance');
    const mayBeTrial = work.idempotent && (work.body?.isBuffered ?? true);
    return this.#slots.acquire({...work, mayBeTrial}, excluded);
  }

  /** Holds the slot until the response body has ended. */
  async #send(work: Work, slot: Slot): Promise<Outcome> {
    const outcome = await this.#exchange(work, slot.instance).catch(
      (err: unknown) => {
        slot.release();
        throw err;
      },
    );
    if (outcome.kind === 'answered') outcome.body.once('close', slot.release);
    else if (mayStillRun(outcome)) slot.abandon();
    else slot.release();
    return outcome;
  }

  async #exchange(work: Work, instance: Instance): Promise<Outcome> {
    const leftMs = Math.max(1, work.deadlineAtMs - performance.now());
    let refusal: NotRunReason | undefined;
    const observation = this.#options.health.observe(
      toSnapshot(instance),
      classifyMethod(work.method),
    );
    try {
      const response = await exchangeWithInstance(
        instance.announcement.address,
        {
          method: work.method,
          path: work.path,
          headers: work.headers,
          body: work.body && observeBody(work.body, observation),
          signal: work.signal,
          headersTimeoutMs: leftMs,
          mayStart: () => {
            refusal = tryStart(work, instance);
            if (!work.body || work.body.isBuffered) observation.onSent();
            return refusal === undefined;
          },
        },
      );
      const {status, headers} = response;
      observation.onEnded(
        classifyResponse(status, headers, toSnapshot(instance)),
      );
      return {kind: 'answered', instance: instance.id, ...response};
    } catch (err) {
      if (!(err instanceof ExchangeError)) throw err;
      const outcome = toOutcome(err, {
        refusal,
        isCancelled: work.signal.aborted,
        isOverdue: err.hasTimedOut,
      });
      observation.onEnded(SAMPLE_KIND_BY_REASON[outcome.reason] ?? 'cancelled');
      return outcome;
    }
  }
}

/** The state of an exchange that ended without a response. */
interface FailureContext {
  readonly refusal: NotRunReason | undefined;
  readonly isCancelled: boolean;
  readonly isOverdue: boolean;
}

function toOutcome(
  err: ExchangeError,
  context: FailureContext,
): NotRun | Unknown {
  const {refusal, isCancelled, isOverdue} = context;
  if (!err.hasStarted) return notRun(refusal ?? notStartedReason(context));
  if (isCancelled) return {kind: 'unknown', reason: 'cancelled'};
  return {kind: 'unknown', reason: isOverdue ? 'timeout' : 'connection-lost'};
}

/** True if the instance may still process the cancelled request. */
function mayStillRun({kind, reason}: NotRun | Unknown): boolean {
  return kind === 'unknown' && reason === 'cancelled';
}

function notStartedReason({
  isCancelled,
  isOverdue,
}: FailureContext): NotRunReason {
  if (isCancelled) return 'cancelled';
  return isOverdue ? 'deadline' : 'connect-failed';
}

/** Health sample that an exchange without a response counts as. */
const SAMPLE_KIND_BY_REASON: Readonly<
  Partial<Record<NotRunReason | Unknown['reason'], SampleKind>>
> = {
  'connect-failed': 'failure',
  'connection-lost': 'failure',
  timeout: 'timeout',
};

/**
 * Checks right before the first byte is sent whether the work may start, and
 * spends its rate token; returns the reason if it may not.
 */
function tryStart(work: Work, instance: Instance): NotRunReason | undefined {
  if (work.signal.aborted) return 'cancelled';
  if (performance.now() >= work.deadlineAtMs) return 'deadline';
  if (!mayReceiveWork(instance)) return 'draining';
  const isTokenSpent = work.token?.spend() ?? true;
  return isTokenSpent ? undefined : 'token-expired';
}

function mayTryNextInstance(outcome: Outcome, work: Work): boolean {
  if (outcome.kind !== 'not-run') return false;
  if (work.body?.isReplayable === false) return false;
  return outcome.reason === 'connect-failed' || outcome.reason === 'draining';
}
