/**
 * Calls that a backend server makes while it runs a repeat count as repeats of
 * the service that is called, though nobody decides on them. They are taken
 * from that service's budget, so that the repeats that are decided on can use
 * the rest.
 *
 * Pattern: instances hang, requests are repeated elsewhere, and each repeat
 * calls a second service whose instances hang as well.
 */
import type {DecisionLog} from '../../log/decision_log.js';
import {repeatLimit} from '../router/dispatcher.js';
import type {SharedLimits} from './shared_limits.js';

/** What the count is made from. */
export interface RepeatCallsOptions {
  readonly limits: Pick<SharedLimits, 'spend'>;
  /** Part of what runs at this VM's backend server that is a repeat. */
  readonly repeatShare: () => number;
  readonly log: DecisionLog;
}

/** Counts the calls of this VM's backend server. */
export class RepeatCalls {
  readonly #options: RepeatCallsOptions;
  /** Calls of repeats to each service that aren't taken off yet. */
  readonly #owed = new Map<string, number>();

  constructor(options: RepeatCallsOptions) {
    this.#options = options;
  }

  /**
   * Notes a request that may be a call. A call doesn't say which run makes it,
   * so it counts by the part of the runs that are repeats.
   */
  called(id: string, service: string): void {
    const share = this.#options.repeatShare();
    if (share === 0) return;
    const owed = (this.#owed.get(service) ?? 0) + share;
    this.#owed.set(service, owed >= 1 ? owed - 1 : owed);
    if (owed < 1) return;
    this.#options.limits.spend(repeatLimit(service));
    this.#options.log.step('repeat-call', {id, service, share});
  }
}
