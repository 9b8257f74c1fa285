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
import type {InFlightRequests} from '../gate/in_flight_requests.js';
import type {RepeatBudget} from './repeat_budget.js';

/** What the count is made from. */
export interface RepeatCallsOptions {
  readonly repeats: Pick<RepeatBudget, 'spend'>;
  /** What runs at this VM's backend server. */
  readonly runs: Pick<InFlightRequests, 'recordCall'>;
  readonly log: DecisionLog;
}

/** Counts the calls of this VM's backend server. */
export class RepeatCalls {
  readonly #options: RepeatCallsOptions;

  constructor(options: RepeatCallsOptions) {
    this.#options = options;
  }

  /** Notes a request that may be a call. */
  called(id: string, service: string): void {
    const {repeats, runs, log} = this.#options;
    if (!runs.recordCall(service)) return;
    repeats.spend(service);
    log.step('repeat-call', {id, service});
  }
}
