/**
 * Fetches the counts of every member of the fleet over the administration API
 * and builds the report from them.
 */
import PQueue from 'p-queue';
import {Failure, reasonOf} from '../errors/failure.js';
import {makeReport, type BurnReport, type Objective} from './burn.js';
import type {BurnAnswer} from './handover.js';
import {mergeAnswers} from './merge.js';

/** Response body of `GET /v1/burn`. */
export interface BurnDocument extends BurnAnswer {
  readonly objectives: readonly Objective[];
}

/** Address of the first daemon to query, and the credential. */
export interface CollectOptions {
  /** `IP:PORT` of an administration listener. */
  readonly admin: string;
  readonly token: string;
}

interface Status {
  readonly members: readonly {
    readonly id: string;
    readonly administrationAddress: string;
    readonly incarnation: number;
  }[];
}

const TIMEOUT_MS = 5000;
const CONCURRENCY = 32;

/**
 * Collects and merges the counts. Throws `administrationUnreachable` if the
 * first daemon fails. Another member that fails is listed as unreached, unless
 * a peer holds its counts.
 */
export async function collectReport(
  options: CollectOptions,
): Promise<BurnReport> {
  const {admin, token} = options;
  const status = await get<Status>(admin, '/v1/status', token);
  const first = await get<BurnDocument>(admin, '/v1/burn', token);
  const failed: Status['members'][number][] = [];
  const queue = new PQueue({concurrency: CONCURRENCY});
  const others = await queue.addAll(
    status.members
      .filter(({id}) => id !== first.statement.daemon)
      .map(member => async () => {
        const address = member.administrationAddress;
        const asked = get<BurnDocument>(address, '/v1/burn', token);
        return asked.catch(() => void failed.push(member));
      }),
  );
  const answers = [first, ...others.filter(other => typeof other === 'object')];
  return makeReport({
    atMs: Date.now(),
    counts: mergeAnswers(answers),
    objectives: first.objectives,
    unreached: failed
      .filter(member => !hasHandedOver(member, answers))
      .map(({id}) => id),
  });
}

/**
 * Whether a peer holds the counts of this member: it sends them to its backup
 * peers before a planned stop.
 */
function hasHandedOver(
  member: Status['members'][number],
  answers: readonly BurnAnswer[],
): boolean {
  return answers
    .flatMap(({kept}) => kept)
    .filter(({daemon}) => daemon === member.id)
    .some(({spans}) =>
      spans.some(span => span.incarnation === member.incarnation),
    );
}

async function get<Body>(
  address: string,
  path: string,
  token: string,
): Promise<Body> {
  try {
    const res = await fetch(`http://${address}${path}`, {
      headers: {authorization: `Bearer ${token}`},
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    if (!res.ok) {
      const reason = `status ${res.status}`;
      throw new Failure('administrationUnreachable', {address, reason});
    }
    return (await res.json()) as Body;
  } catch (err) {
    if (err instanceof Failure) throw err;
    const reason = reasonOf(err);
    throw new Failure('administrationUnreachable', {address, reason}, err);
  }
}
