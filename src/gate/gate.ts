/**
 * The gate: it alone opens connections to the instances that announced
 * themselves to this daemon, and knows whether a request was started. Work
 * waits for a slot in one queue for each service.
 */
import PQueue from 'p-queue';
import type {Logger} from '../log/logger.js';
import {exchange, ExchangeError} from './exchange.js';
import {Instances, mayReceiveWork, type Instance} from './instances.js';
import type {GateDoor, NotRun, Outcome, Work} from './work.js';

/** Options of {@link Gate}. */
export interface GateOptions {
  readonly maxQueueMs: number;
  readonly maxQueuePerService: number;
  readonly log: Logger;
  /** Called when slots in service have changed. */
  readonly onSlots: (slots: Readonly<Record<string, number>>) => void;
}

/** The gate of one daemon. */
export class Gate implements GateDoor {
  readonly instances: Instances;
  readonly #options: GateOptions;
  readonly #queues = new Map<string, PQueue>();
  #stopping = false;

  constructor(options: GateOptions) {
    this.#options = options;
    this.instances = new Instances(() => this.#resize());
  }

  start(): void {
    this.instances.start();
  }

  /** Takes no new work, and waits until all work has ended. */
  async stop(): Promise<void> {
    this.#stopping = true;
    await Promise.all([...this.#queues.values()].map(q => q.onIdle()));
    await this.instances.stop();
  }

  /** Free slots minus waiting work of a service; above zero means room. */
  room(service: string): number {
    const instances = this.instances.inService(service);
    const free = instances.reduce(
      (sum, i) => sum + i.announcement.slots - i.busy,
      0,
    );
    return free - (this.#queues.get(service)?.size ?? 0);
  }

  async run(work: Work): Promise<Outcome> {
    if (this.#stopping) return notRun('draining');
    const queue = this.#queueOf(work.service);
    const instances = this.instances.inService(work.service);
    if (instances.length === 0) return notRun('no-instance');
    if (queue.size >= this.#options.maxQueuePerService) return notRun('busy');
    return new Promise<Outcome>(resolve => {
      const giveUpAtMs = performance.now() + this.#options.maxQueueMs;
      void queue.add(() => this.#send(work, giveUpAtMs, resolve));
    });
  }

  /** Holds a slot until the answer's body has ended. */
  async #send(
    work: Work,
    giveUpAtMs: number,
    resolve: (outcome: Outcome) => void,
  ): Promise<void> {
    const refusal = refusalOf(work, giveUpAtMs);
    if (refusal) return resolve(refusal);
    const instance = this.#choose(work.service);
    if (!instance) return resolve(notRun('busy'));
    this.instances.occupy(instance.id, 1);
    try {
      const outcome = await this.#exchange(work, instance);
      resolve(outcome);
      if (outcome.kind === 'answered') await ended(outcome.body);
    } finally {
      this.instances.occupy(instance.id, -1);
    }
  }

  async #exchange(work: Work, instance: Instance): Promise<Outcome> {
    const leftMs = Math.max(1, work.deadlineAtMs - performance.now());
    const deadline = new AbortController();
    const timer = setTimeout(() => deadline.abort(), leftMs);
    try {
      const answer = await exchange(instance.dispatcher, {
        method: work.method,
        path: work.path,
        headers: work.headers,
        body: work.body,
        signal: AbortSignal.any([work.signal, deadline.signal]),
        mayStart: () =>
          mayReceiveWork(instance) && (work.token?.spend() ?? true),
      });
      return {kind: 'answered', instance: instance.id, ...answer};
    } catch (err) {
      if (!(err instanceof ExchangeError)) throw err;
      if (!err.started) return notRun('connect-failed');
      if (work.signal.aborted) return {kind: 'unknown', reason: 'cancelled'};
      const reason = deadline.signal.aborted ? 'timeout' : 'connection-lost';
      return {kind: 'unknown', reason};
    } finally {
      clearTimeout(timer);
    }
  }

  /** The instance with the most free slots. */
  #choose(service: string): Instance | undefined {
    const free = (i: Instance) => i.announcement.slots - i.busy;
    return this.instances
      .inService(service)
      .filter(instance => free(instance) > 0)
      .toSorted((a, b) => free(b) - free(a))[0];
  }

  #queueOf(service: string): PQueue {
    const known = this.#queues.get(service);
    if (known) return known;
    const concurrency = Math.max(1, this.instances.slots()[service] ?? 0);
    const queue = new PQueue({concurrency});
    this.#queues.set(service, queue);
    return queue;
  }

  #resize(): void {
    const slots = this.instances.slots();
    this.#queues.forEach((queue, service) => {
      queue.concurrency = Math.max(1, slots[service] ?? 0);
    });
    this.#options.onSlots(slots);
  }
}

function notRun(reason: NotRun['reason']): NotRun {
  return {kind: 'not-run', reason};
}

function refusalOf(work: Work, giveUpAtMs: number): NotRun | undefined {
  const nowMs = performance.now();
  if (work.signal.aborted) return notRun('cancelled');
  if (nowMs >= work.deadlineAtMs) return notRun('deadline');
  if (nowMs >= giveUpAtMs) return notRun('busy');
  return undefined;
}

function ended(body: Readonly<NodeJS.ReadableStream>): Promise<void> {
  return new Promise(resolve => {
    body.once('close', () => resolve());
  });
}
