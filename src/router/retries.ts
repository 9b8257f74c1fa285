/**
 * Sends one request to gates until it is answered or may not be retried. If it
 * certainly did not run, it may be sent to another gate. If it may have run,
 * it is repeated only if it is idempotent; the repeat needs a rate token of its
 * own, and the request is never reported as not run afterwards.
 */
import type {NotRun, Outcome, Work} from '../gate/work.js';
import type {RateToken} from '../rates/limiter.js';
import type {HedgedSender} from './hedged_sender.js';
import type {GateCandidate} from './gate_selector.js';
import {mayRetry} from './retry_rule.js';

/** What retries need. */
export interface RetryOptions {
  /** Selects the next gate to try; undefined if none is left. */
  readonly next: (tried: ReadonlySet<string>) => GateCandidate | undefined;
  /** Draws one more rate token; undefined if there is none. */
  readonly drawToken: () => Promise<RateToken | undefined>;
  /** Sends to a gate, with a hedge (second send) to another if needed. */
  readonly hedgedSender: HedgedSender;
}

const MAX_ATTEMPTS = 3;
const NO_INSTANCE: NotRun = {kind: 'not-run', reason: 'no-instance'};

/** Runs the work at up to three gates; resolves to the final outcome. */
export async function runWithRetries(
  work: Work,
  options: RetryOptions,
): Promise<Outcome> {
  const tried = new Set<string>();
  const {hedgedSender, next, drawToken} = options;
  const hedgeOptions = {next, drawToken, tried};
  let token = work.token;
  let last: Outcome = NO_INSTANCE;
  while (tried.size < MAX_ATTEMPTS) {
    const candidate = options.next(tried);
    if (!candidate) return last;
    tried.add(candidate.memberId);
    last = mergeOutcomes(
      last,
      await hedgedSender.run(candidate, {...work, token}, hedgeOptions),
    );
    if (!mayRetry(last, work)) return last;
    if (last.kind !== 'unknown') continue;
    if (!hedgedSender.payForRetry(work.service)) return last;
    if (work.token) {
      token = await options.drawToken();
      if (!token) return last;
    }
  }
  return last;
}

/** Keeps "may have run" if a later attempt certainly did not run. */
function mergeOutcomes(before: Outcome, now: Outcome): Outcome {
  return before.kind === 'unknown' && now.kind === 'not-run' ? before : now;
}
