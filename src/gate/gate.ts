/**
 * The gate: it alone opens connections to the instances that announced
 * themselves to this daemon, and knows whether a request was started. Work
 * waits for a slot in one queue for each service.
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
import {exchange, ExchangeError} from './exchange.js';
import {Instances, mayReceiveWork, type Instance} from './instances.js';
import type {ReserveReply} from './messages.js';
import {observedBody} from './observed_body.js';
import {Reservations} from './reservations.js';
import {Slots, type Slot, type SlotLimits, type SlotRequest} from './slots.js';
import {
  notRun,
  type GateDoor,
  type NotRun,
  type NotRunReason,
  type Outcome,
  type Unknown,
  type Work,
} from './work.js';

/** Options of {@link Gate}. */
export interface GateOptions extends SlotLimits {
  readonly log: Logger;
  readonly health: HealthView;
  /** Called when slots in service have changed. */
  readonly onSlots: (slots: SlotCounts) => void;
}

/** Instances that one piece of work is tried on, at most. */
const MAX_INSTANCES = 3;

/** The gate of one daemon. */
export class Gate implements GateDoor {
  readonly instances: Instances;
  readonly #options: GateOptions;
  readonly #capacity: Capacity;
  readonly #slots: Slots;
  #toldCounts = '';
  readonly #reservations = new Reservations();
  #stopping = false;

  constructor(options: GateOptions) {
    this.#options = options;
    this.instances = new Instances(() => this.resize());
    this.#capacity = new Capacity(this.instances, options.health);
    this.#slots = new Slots(this.instances, this.#capacity, options);
  }

  /** Fits queues to what instances may have now, and tells the others. */
  resize(): void {
    this.#slots.resize();
    const counts = this.#capacity.counts();
    const text = JSON.stringify(counts);
    if (text !== this.#toldCounts) this.#options.onSlots(counts);
    this.#toldCounts = text;
  }

  start(): void {
    this.instances.start();
  }

  /** Sends instances away, to announce to other daemons. */
  leave(): void {
    this.instances.leave();
  }

  /** Takes no new work, and waits until all work has ended. */
  async stop(): Promise<void> {
    this.#stopping = true;
    await this.#slots.idle();
    await this.instances.stop();
  }

  /** Free slots minus waiting work of a service; above zero means room. */
  room(service: string): number {
    return this.#capacity.free(service) - this.#slots.waiting(service);
  }

  /** True if an instance may be given work, now or after a wait. */
  hasSlots(service: string): boolean {
    return this.#capacity.limit(service) > 0;
  }

  /** True if an instance that isn't full should get a trial request. */
  isTrialDue(service: string): boolean {
    return this.#capacity.isTrialDue(service);
  }

  async run(work: Work): Promise<Outcome> {
    const avoid = new Set<string>();
    let outcome: Outcome = notRun('no-instance');
    while (avoid.size < MAX_INSTANCES) {
      const slot = await this.#slotFor(work, avoid);
      if ('kind' in slot) return avoid.size === 0 ? slot : outcome;
      outcome = await this.#send(work, slot);
      if (!mayGoToSibling(outcome, work)) return outcome;
      avoid.add(slot.instance.id);
    }
    return outcome;
  }

  /** Waits for a slot and keeps it for a request that follows. */
  async reserve(request: SlotRequest): Promise<ReserveReply> {
    if (this.#stopping) return {refusal: notRun('draining')};
    const slot = await this.#slots.take(request);
    if ('kind' in slot) return {refusal: slot};
    return {reservation: this.#reservations.keep(slot)};
  }

  async #slotFor(work: Work, avoid: ReadonlySet<string>) {
    if (work.reservation !== undefined && avoid.size === 0) {
      return this.#reservations.claim(work.reservation) ?? notRun('busy');
    }
    if (this.#stopping) return notRun('draining');
    const instances = this.instances.inService(work.service);
    const left = instances.filter(instance => !avoid.has(instance.id));
    if (left.length === 0) return notRun('no-instance');
    const mayBeTrial = work.idempotent && (work.body?.whole ?? true);
    return this.#slots.take({...work, mayBeTrial}, avoid);
  }

  /** Holds the slot until the answer's body has ended. */
  async #send(work: Work, slot: Slot): Promise<Outcome> {
    const outcome = await this.#exchange(work, slot.instance).catch(
      (err: unknown) => {
        slot.release();
        throw err;
      },
    );
    if (outcome.kind === 'answered') outcome.body.once('close', slot.release);
    else if (isAbandoned(outcome)) slot.abandon();
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
      const answer = await exchange(instance.dispatcher, {
        method: work.method,
        path: work.path,
        headers: work.headers,
        body: work.body && observedBody(work.body, observation),
        signal: work.signal,
        headersTimeoutMs: leftMs,
        mayStart: () => {
          refusal = startRefusalOf(work, instance);
          if (!work.body || work.body.whole) observation.onSent();
          return refusal === undefined;
        },
      });
      const {status, headers} = answer;
      observation.onEnded(
        classifyResponse(status, headers, toSnapshot(instance)),
      );
      return {kind: 'answered', instance: instance.id, ...answer};
    } catch (err) {
      if (!(err instanceof ExchangeError)) throw err;
      const outcome = outcomeOf(err, {
        refusal,
        isCancelled: work.signal.aborted,
        isOverdue: err.timedOut,
      });
      observation.onEnded(SAMPLE_OF[outcome.reason] ?? 'cancelled');
      return outcome;
    }
  }
}

/** What is known about an exchange that ended without an answer. */
interface Ending {
  readonly refusal: NotRunReason | undefined;
  readonly isCancelled: boolean;
  readonly isOverdue: boolean;
}

function outcomeOf(err: ExchangeError, ending: Ending): NotRun | Unknown {
  const {refusal, isCancelled, isOverdue} = ending;
  if (!err.started) return notRun(refusal ?? unstartedOf(ending));
  if (isCancelled) return {kind: 'unknown', reason: 'cancelled'};
  return {kind: 'unknown', reason: isOverdue ? 'timeout' : 'connection-lost'};
}

/** True if the instance may still work on what was given up. */
function isAbandoned({kind, reason}: NotRun | Unknown): boolean {
  return kind === 'unknown' && reason === 'cancelled';
}

function unstartedOf({isCancelled, isOverdue}: Ending): NotRunReason {
  if (isCancelled) return 'cancelled';
  return isOverdue ? 'deadline' : 'connect-failed';
}

/** What an exchange without an answer says about the instance. */
const SAMPLE_OF: Readonly<
  Partial<Record<NotRunReason | Unknown['reason'], SampleKind>>
> = {
  'connect-failed': 'failure',
  'connection-lost': 'failure',
  timeout: 'timeout',
};

/** Why work must not start at an instance now; spends the rate token. */
function startRefusalOf(
  work: Work,
  instance: Instance,
): NotRunReason | undefined {
  if (work.signal.aborted) return 'cancelled';
  if (performance.now() >= work.deadlineAtMs) return 'deadline';
  if (!mayReceiveWork(instance)) return 'draining';
  const spent = work.token?.spend() ?? true;
  return spent ? undefined : 'token-expired';
}

function mayGoToSibling(outcome: Outcome, work: Work): boolean {
  if (outcome.kind !== 'not-run') return false;
  if (work.body?.replayable === false) return false;
  return outcome.reason === 'connect-failed' || outcome.reason === 'draining';
}
