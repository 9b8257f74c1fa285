/**
 * All expected failures of chicorycourse in one table. An entry has a short
 * title, a message built from typed data, a hint that says what the reader
 * can do, and the exit code of the command line.
 */

/** Exit codes of the command line, documented in docs/OPERATIONS.md. */
export const EXIT_CODES = {
  ok: 0,
  internal: 1,
  usage: 2,
  invalidInput: 3,
  conflict: 4,
  unavailable: 5,
  refused: 6,
} as const;

/** One kind of failure; its message is built from `Data`. */
export interface FailureKind<Data> {
  readonly title: string;
  readonly message: (data: Data) => string;
  readonly hint: string;
  readonly exitCode: number;
}

/** Sets the data type of an entry; the type of the table is inferred. */
function kind<Data>(entry: FailureKind<Data>): FailureKind<Data> {
  return entry;
}

/** All failures by their stable names. */
export const CATALOGUE = {
  settingsUnreadable: kind<{file: string; reason: string}>({
    title: 'The settings file cannot be read',
    message: d => `${d.file}: ${d.reason}`,
    hint: 'Check the path, its permissions, and that the file is JSON.',
    exitCode: EXIT_CODES.invalidInput,
  }),
  settingsInvalid: kind<{file: string; faults: readonly string[]}>({
    title: 'The settings are not valid',
    message: d => `${d.file}:\n${d.faults.map(f => `  ${f}`).join('\n')}`,
    hint: 'Correct each field listed; docs/OPERATIONS.md describes all fields.',
    exitCode: EXIT_CODES.invalidInput,
  }),
  storeUnavailable: kind<{operation: string; reason: string}>({
    title: 'The key-value service does not answer',
    message: d => `${d.operation}: ${d.reason}`,
    hint: 'No change was confirmed. Retry when the service is available again.',
    exitCode: EXIT_CODES.unavailable,
  }),
  storeRestored: kind<{operation: string}>({
    title: 'The store was restored from a copy',
    message: ({operation}) => `the call ${operation} refers to lost history`,
    hint: 'Nothing to do: the daemon reads and registers again.',
    exitCode: EXIT_CODES.unavailable,
  }),
  storeRejected: kind<{operation: string; status: number; reason: string}>({
    title: 'The key-value service rejected a call',
    message: d => `${d.operation}: status ${d.status}: ${d.reason}`,
    hint: 'Check the address of the service and the size of the value.',
    exitCode: EXIT_CODES.unavailable,
  }),
  recordInvalid: kind<{record: string; reason: string}>({
    title: 'A configuration record is not valid',
    message: d => `${d.record}: ${d.reason}`,
    hint: 'Correct the record named above; nothing was changed.',
    exitCode: EXIT_CODES.invalidInput,
  }),
  writeConflict: kind<{record: string; reason: string}>({
    title: 'Another operator changed the same configuration',
    message: d => `${d.record}: ${d.reason}`,
    hint: 'Read the current state, review the change, and repeat it.',
    exitCode: EXIT_CODES.conflict,
  }),
  preconditionFailed: kind<{record: string; reason: string}>({
    title: 'The record is not as the change expects it',
    message: d => `${d.record}: ${d.reason}`,
    hint: 'Read the record, review the change, and repeat it with its ETag.',
    exitCode: EXIT_CODES.conflict,
  }),
  preconditionRequired: kind<{record: string}>({
    title: 'The record exists already',
    message: d => `${d.record} would be overwritten`,
    hint: 'Read the record and send its ETag as If-Match.',
    exitCode: EXIT_CODES.conflict,
  }),
  recordMissing: kind<{record: string}>({
    title: 'There is no such record',
    message: d => d.record,
    hint: 'List the records of this kind; ids are case-sensitive.',
    exitCode: EXIT_CODES.invalidInput,
  }),
  referenceBroken: kind<{faults: readonly string[]}>({
    title: 'Records refer to others that are not there',
    message: d => d.faults.join('\n'),
    hint: 'Create the missing records first, or remove the references to them.',
    exitCode: EXIT_CODES.invalidInput,
  }),
  sheetInvalid: kind<{faults: readonly string[]}>({
    title: 'The sheet has faults',
    message: d => d.faults.join('\n'),
    hint: 'Correct each fault listed; nothing was changed.',
    exitCode: EXIT_CODES.invalidInput,
  }),
  removalsRefused: kind<{reason: string}>({
    title: 'The sheet would remove much',
    message: d => d.reason,
    hint: 'If the removals are intended, repeat with --allow-removals.',
    exitCode: EXIT_CODES.refused,
  }),
  changeUnknown: kind<{changeId: string; reason: string}>({
    title: 'It is not known whether the change was made',
    message: d => `change ${d.changeId}: ${d.reason}`,
    hint: 'Repeat it with the same Change-Id; it is applied at most once.',
    exitCode: EXIT_CODES.unavailable,
  }),
  changeIdReused: kind<{changeId: string}>({
    title: 'The Change-Id belongs to another change',
    message: d => `change ${d.changeId}`,
    hint: 'Choose a new Change-Id for each new change.',
    exitCode: EXIT_CODES.conflict,
  }),
  shardMissing: kind<{index: number; stamp: string}>({
    title: 'A part of the configuration is not there',
    message: d => `shard ${d.index} of ${d.stamp}`,
    hint: 'It was replaced during the read; the read is repeated.',
    exitCode: EXIT_CODES.unavailable,
  }),
  unauthorized: kind<Readonly<Record<string, never>>>({
    title: 'A credential is needed',
    message: () => 'the request has no valid bearer token',
    hint: 'Use the token of a credential from the settings of the daemon.',
    exitCode: EXIT_CODES.refused,
  }),
  forbidden: kind<{name: string; needed: string}>({
    title: 'The credential may not do this',
    message: d => `${d.name} lacks the role ${d.needed}`,
    hint: 'Use a credential with that role.',
    exitCode: EXIT_CODES.refused,
  }),
  bodyTooLarge: kind<{maxBytes: number}>({
    title: 'The body of the request is too large',
    message: d => `more than ${d.maxBytes} bytes`,
    hint: 'Send a smaller body; a sheet may be larger than one record.',
    exitCode: EXIT_CODES.invalidInput,
  }),
  administrationUnreachable: kind<{address: string; reason: string}>({
    title: 'The administration port of the daemon does not answer',
    message: d => `${d.address}: ${d.reason}`,
    hint: 'Check --admin, or try another daemon: every daemon serves the API.',
    exitCode: EXIT_CODES.unavailable,
  }),
  metricsUnreachable: kind<{address: string; reason: string}>({
    title: 'The metrics listener of the daemon does not answer',
    message: d => `${d.address}: ${d.reason}`,
    hint: 'Check --metrics: it is listen.metrics of the daemon’s settings.',
    exitCode: EXIT_CODES.unavailable,
  }),
  usage: kind<{reason: string}>({
    title: 'The command needs something more',
    message: d => d.reason,
    hint: 'Run the command with --help.',
    exitCode: EXIT_CODES.usage,
  }),
  peerUnreachable: kind<{peer: string; reason: string}>({
    title: 'A daemon cannot be reached',
    message: d => `${d.peer}: ${d.reason}`,
    hint: 'Check that the daemon runs and that its peer port is open.',
    exitCode: EXIT_CODES.unavailable,
  }),
  ledgerFull: kind<{entries: number}>({
    title: 'A daemon holds too many idempotency keys',
    message: d => `it holds ${d.entries} keys`,
    hint: 'Lower the retention time of idempotency keys, or add daemons.',
    exitCode: EXIT_CODES.unavailable,
  }),
  frameInvalid: kind<{peer: string; reason: string}>({
    title: 'A daemon sent a frame that cannot be read',
    message: d => `${d.peer}: ${d.reason}`,
    hint: 'Check that all daemons run compatible versions.',
    exitCode: EXIT_CODES.internal,
  }),
  startFailed: kind<{part: string; reason: string}>({
    title: 'A part of the daemon could not start',
    message: d => `${d.part}: ${d.reason}`,
    hint: 'Check the address and port in the settings, then start again.',
    exitCode: EXIT_CODES.internal,
  }),
} as const;

/** The stable name of a failure. */
export type FailureName = keyof typeof CATALOGUE;

/** The data from which the message of a failure is built. */
export type FailureData<Name extends FailureName> =
  (typeof CATALOGUE)[Name] extends FailureKind<infer Data> ? Data : never;
