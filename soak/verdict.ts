/** What a soak run showed, and which rules it broke. */
import {
  maxInWindow,
  worstWindowExcess,
} from '../features/support/open_loop_load.js';
import type {InstanceRun} from '../features/support/runs.js';
import type {Told} from './callers.js';

/** The customer that sends more than it may. */
export const LIMITED = {id: 'limited', ratePerS: 40, burst: 30} as const;

/** What callers and backend servers saw; ids are of requests. */
interface Findings {
  readonly posts: number;
  readonly served: number;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly ranTwice: readonly string[];
  /** They ran though their caller was told otherwise. */
  readonly untrue: readonly string[];
  /** Their caller got the answer to another. */
  readonly mixedUp: readonly string[];
  /** Starts above rate times length in the worst window of time. */
  readonly worstWindow: number;
}

/** The findings, and the rules that they break. */
export interface Verdict extends Findings {
  readonly brokenRules: readonly string[];
}

/** Judges what was told and run; `recovered` if all served again. */
export function judge(
  told: readonly Told[],
  runs: readonly InstanceRun[],
  recovered: boolean,
): Verdict {
  const findings = findingsOf(told, runs);
  return {...findings, brokenRules: brokenRules(findings, recovered)};
}

function findingsOf(
  told: readonly Told[],
  runs: readonly InstanceRun[],
): Findings {
  const ran = new Map<string, number>();
  runs.forEach(({id}) => ran.set(id, (ran.get(id) ?? 0) + 1));
  const outcomes: Record<string, number> = {};
  told.forEach(({status, ran: word}) => {
    const name = word === undefined ? String(status) : `${status} ${word}`;
    outcomes[name] = (outcomes[name] ?? 0) + 1;
  });
  const idsWhere = (holds: (t: Told) => boolean) =>
    told.filter(holds).map(({id}) => id);
  const starts = runs
    .filter(({customer}) => customer === LIMITED.id)
    .map(({startedMs}) => startedMs);
  return {
    posts: told.length,
    served: idsWhere(({status}) => status === 200).length,
    outcomes,
    ranTwice: idsWhere(({id}) => (ran.get(id) ?? 0) > 1),
    untrue: idsWhere(t => t.ran === 'no' && ran.has(t.id)),
    mixedUp: idsWhere(t => t.answeredId !== undefined && t.answeredId !== t.id),
    worstWindow: worstWindowExcess(starts, LIMITED.ratePerS),
  };
}

function brokenRules(found: Findings, recovered: boolean): readonly string[] {
  const broken = {
    'at most once': found.ranTwice.length > 0,
    'truth of "not run"': found.untrue.length > 0,
    'answers to their own caller': found.mixedUp.length > 0,
    'rate of a customer':
      found.worstWindow > maxInWindow(LIMITED.burst, LIMITED.ratePerS),
    'all serve again after the faults': !recovered,
    'something was served': found.served === 0,
  };
  return Object.entries(broken).flatMap(([rule, is]) => (is ? [rule] : []));
}
