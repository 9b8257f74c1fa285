/**
 * The error class for failures of the catalogue, the one for failures that a
 * daemon reported, and the conversion of any thrown value to text.
 */
import {
  CATALOGUE,
  type FailureData,
  type FailureKind,
  type FailureName,
} from './catalogue.js';

/** An expected failure, with the data from which its message is built. */
export class Failure<Name extends FailureName = FailureName> extends Error {
  readonly failure: Name;
  readonly data: FailureData<Name>;

  constructor(failure: Name, data: FailureData<Name>, cause?: unknown) {
    const entry = CATALOGUE[failure] as FailureKind<FailureData<Name>>;
    super(entry.message(data), {cause});
    this.name = 'Failure';
    this.failure = failure;
    this.data = data;
  }

  /** A short sentence that describes the kind of failure. */
  get title(): string {
    return CATALOGUE[this.failure].title;
  }

  /** What the reader can do about it. */
  get hint(): string {
    return CATALOGUE[this.failure].hint;
  }

  /** The exit code of the command line. */
  get exitCode(): number {
    return CATALOGUE[this.failure].exitCode;
  }
}

/** True if `err` is the failure with the given name. */
export function isFailure<Name extends FailureName>(
  err: unknown,
  failure: Name,
): err is Failure<Name> {
  return err instanceof Failure && err.failure === failure;
}

/** The text of any thrown value. */
export function reasonOf(err: unknown): string {
  if (!(err instanceof Error)) return String(err);
  const code = 'code' in err ? String(err.code) : '';
  return err.message || code || err.name;
}

/** A failure that a daemon reported, as the command line prints it. */
export class RemoteFailure extends Error {
  readonly title: string;
  readonly hint: string;
  readonly exitCode: number;

  constructor(problem: {
    readonly title: string;
    readonly detail: string;
    readonly hint: string;
    readonly exitCode: number;
  }) {
    super(problem.detail);
    this.name = 'RemoteFailure';
    this.title = problem.title;
    this.hint = problem.hint;
    this.exitCode = problem.exitCode;
  }
}
