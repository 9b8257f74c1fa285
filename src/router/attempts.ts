/**
 * Tries gates for one request. A sure "not run" may go to another gate; a
 * request that may have run goes again only if it is idempotent, with a rate
 * token of its own, and is from then on never reported as not run.
 */
import type {NotRun, Outcome, Work} from '../gate/work.js';
import type {RateToken} from '../rates/limiter.js';
import type {Backups} from './backups.js';
import type {Candidate} from './gates.js';
import {mayGoAgain} from './retry_rule.js';

/** What trying needs. */
export interface AttemptOptions {
  /** The next gate to try, undefined if none is left. */
  readonly next: (tried: ReadonlySet<string>) => Candidate | undefined;
  /** Draws one more rate token; undefined if there is none. */
  readonly draw: () => Promise<RateToken | undefined>;
  /** Sends to a gate, perhaps with a backup at another. */
  readonly backups: Backups;
}

const MAX_ATTEMPTS = 3;
const NOT_RUN: NotRun = {kind: 'not-run', reason: 'no-instance'};

/** What became of the work in the end. */
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

/** An attempt that may have run is not undone by a later one that did not. */
function worse(before: Outcome, now: Outcome): Outcome {
  return before.kind === 'unknown' && now.kind === 'not-run' ? before : now;
}
