/**
 * Merges the counts of all daemons. The same counts may come both from their
 * daemon and from a peer that stores them, so each process is counted only
 * once. Counts that are known to be missing are listed as gaps.
 */
import type {BurnAnswer} from './handover.js';
import type {Cell, Statement} from './messages.js';

/** A period for which the counts of one daemon are missing; Unix time. */
export interface Gap {
  readonly daemon: string;
  readonly fromMs: number;
  readonly untilMs: number;
  readonly reason: 'lost in a crash' | 'dropped for want of room';
}

/** Merged counts of the fleet. */
export interface FleetCounts {
  readonly cells: readonly Cell[];
  readonly daemons: readonly string[];
  readonly gaps: readonly Gap[];
}

/** Merges the responses of the daemons. */
export function mergeAnswers(answers: readonly BurnAnswer[]): FleetCounts {
  const reported = answers.flatMap(({statement, kept}) => [statement, ...kept]);
  const statements = withoutDuplicates(reported);
  return {
    cells: statements.flatMap(statement => statement.cells),
    daemons: [...new Set(statements.map(({daemon}) => daemon))].toSorted(),
    gaps: [...crashGaps(answers, statements), ...overflowGaps(statements)],
  };
}

/**
 * Prefers the statements with the most spans, and drops each one that shares a
 * process with a statement already taken.
 */
function withoutDuplicates(
  reported: readonly Statement[],
): readonly Statement[] {
  const covered = new Set<string>();
  return reported
    .toSorted((a, b) => b.spans.length - a.spans.length || endOf(b) - endOf(a))
    .filter(({daemon, spans}) => {
      const names = spans.map(span => `${daemon} ${span.incarnation}`);
      if (names.some(name => covered.has(name))) return false;
      names.forEach(name => covered.add(name));
      return true;
    });
}

function endOf({spans}: Statement): number {
  return Math.max(...spans.map(span => span.untilMs));
}

/** Returns the spans that a mark reports but no statement has counts for. */
function crashGaps(
  answers: readonly BurnAnswer[],
  statements: readonly Statement[],
): readonly Gap[] {
  const known = new Set(
    statements.flatMap(({daemon, spans}) =>
      spans.map(span => `${daemon} ${span.incarnation}`),
    ),
  );
  const lost = new Map<string, Gap>();
  answers
    .flatMap(({marks}) => marks)
    .forEach(({daemon, spans}) => {
      spans.forEach(({incarnation, fromMs, untilMs}) => {
        const name = `${daemon} ${incarnation}`;
        if (known.has(name)) return;
        const end = Math.max(untilMs, lost.get(name)?.untilMs ?? 0);
        const reason = 'lost in a crash';
        lost.set(name, {daemon, fromMs, untilMs: end, reason});
      });
    });
  return [...lost.values()];
}

function overflowGaps(statements: readonly Statement[]): readonly Gap[] {
  return statements
    .filter(({completeFromMs}) => completeFromMs > 0)
    .map(({daemon, spans, completeFromMs}) => ({
      daemon,
      fromMs: spans[0]?.fromMs ?? 0,
      untilMs: completeFromMs,
      reason: 'dropped for want of room' as const,
    }));
}
