/**
 * Calls that a backend server makes while it runs a repeat count as repeats to
 * the called service, although no daemon decides on them. They are charged to
 * the budget of the called service; the repeats that daemons decide on can use
 * what remains.
 *
 * Designed for instances that hang while their requests are repeated
 * elsewhere, and each repeat calls a second service whose instances hang too.
 */
import type {DecisionLog} from '../../log/decision_log.js';
import type {InFlightRequests} from '../gate/in_flight_requests.js';
import type {RepeatBudget} from './repeat_budget.js';

/** Options of {@link RepeatCalls}. */
export interface RepeatCallsOptions {
  readonly repeats: Pick<RepeatBudget, 'chargeCall'>;
  /** Requests that are running at this VM's backend server. */
  readonly inFlight: Pick<InFlightRequests, 'recordCall'>;
  readonly log: DecisionLog;
}

/** Charges the calls that this VM's backend server makes for repeats. */
export class RepeatCalls {
  readonly #options: RepeatCallsOptions;

  constructor(options: RepeatCallsOptions) {
    this.#options = options;
  }

  /** Charges a request if it may be a call of a running repeat. */
  chargeIfRepeat(id: string, service: string): void {
    const {repeats, inFlight, log} = this.#options;
    if (!inFlight.recordCall(service)) return;
    repeats.chargeCall(service);
    log.step('repeat-call', {id, service});
  }
}
