/** Metrics and log lines about requests that waited at a gate, or were refused. */
import type {DecisionLog} from '../../log/decision_log.js';
import type {MeshMetrics} from '../mesh_metrics.js';
import type {CustomerShares} from './queue_place.js';
import type {QueueEnd, Waiter} from './slot_queue.js';

/** Priorities with labels of their own; calls of instances have -1. */
const MIN_PRIORITY = -1;
const MAX_PRIORITY = 9;
const OTHER_PRIORITY = 'other';

/** Options of {@link QueueReport}. */
export interface QueueReportOptions {
  readonly log: Pick<DecisionLog, 'step'>;
  readonly metrics: Pick<
    MeshMetrics,
    'recordQueueWait' | 'recordQueueOverestimate'
  >;
  readonly customerShares?: CustomerShares;
}

/** Reports how requests left the queue of one gate. */
export class QueueReport {
  readonly #options: QueueReportOptions;

  constructor(options: QueueReportOptions) {
    this.#options = options;
  }

  record(waiter: Waiter, end: QueueEnd): void {
    const {metrics, customerShares = 'none'} = this.#options;
    const {result, waitedMs, expectedMs} = end;
    // Routers ask for a free slot without a queue timeout, up to six times.
    if (waiter.queueTimeoutMs === 0) return;
    const priority = priorityLabel(waiter.priority);
    metrics.recordQueueWait(priority, result, waitedMs);
    const isOverestimated = result === 'slot' && waitedMs < expectedMs;
    if (isOverestimated) metrics.recordQueueOverestimate(priority);
    if (customerShares === 'none') return;
    this.#options.log.step('queue-left', {
      id: waiter.requestId,
      route: waiter.route,
      customer: waiter.customer,
      priority: waiter.priority,
      result,
      waitedMs: Math.round(waitedMs),
      expectedMs: Math.round(expectedMs),
      timeoutMs: Math.round(waiter.queueTimeoutMs),
    });
  }
}

/** One of a bounded set of labels, since priorities also come from peers. */
export function priorityLabel(priority: number): string {
  const isKnown =
    Number.isInteger(priority) &&
    priority >= MIN_PRIORITY &&
    priority <= MAX_PRIORITY;
  return isKnown ? String(priority) : OTHER_PRIORITY;
}
