/**
 * Sends one request to gates until it is answered or may not be retried. If it
 * certainly did not run, it may be sent to another gate. If it may have run,
 * it is repeated only if it is idempotent; the repeat needs a rate token of its
 * own, and the request is never reported as not run afterwards.
 */
import type {NotRun, Outcome, Work} from '../gate/work.js';
import type {RateToken} from '../rates/limiter.js';
import type {Backups} from './backups.js';
import type {Candidate} from './gates.js';
import {mayGoAgain} from './retry_rule.js';

/** What retries need. */
export interface AttemptOptions {
  /** Selects the next gate to try; undefined if none is left. */
  readonly next: (tried: ReadonlySet<string>) => Candidate | undefined;
  /** Draws one more rate token; undefined if there is none. */
  readonly draw: () => Promise<RateToken | undefined>;
  /** Sends to a gate, with a hedge (second send) to another if needed. */
  readonly backups: Backups;
}

const MAX_ATTEMPTS = 3;
const NOT_RUN: NotRun = {kind: 'not-run', reason: 'no-instance'};

/** Runs the work at up to three gates; resolves to the final outcome. */
export async function attempt(
  work: Work,
  options: AttemptOptions,
): Promise<Outcome> {
  const tried = new Set<string>();
  const {backups, next, draw} = options;
  const means = {next, draw, tried};
  let token = work.token;
  let last: Outcome = NOT_RUN;
  while (tried.size < MAX_ATTEMPTS) {
    const candidate = options.next(tried);
    if (!candidate) return last;
    tried.add(candidate.memberId);
    last = worse(last, await backups.run(candidate, {...work, token}, means));
    if (!mayGoAgain(last, work)) return last;
    if (last.kind !== 'unknown') continue;
    if (!backups.payRetry(work.service)) return last;
    if (work.token) {
      token = await options.draw();
      if (!token) return last;
    }
  }
  return last;
}

/** Keeps "may have run" if a later attempt certainly did not run. */
function worse(before: Outcome, now: Outcome): Outcome {
  return before.kind === 'unknown' && now.kind === 'not-run' ? before : now;
}
