/**
 * Reads and checks settings files by any schema. It stands apart from the
 * schemas, so that a daemon loads no other than its own.
 */
import {readFileSync} from 'node:fs';
import type {ZodType} from 'zod';
import {Failure, reasonOf} from '../errors/failure.js';

/** Checks a value by any schema of settings. */
export function checkSettings<Checked>(
  schema: ZodType<Checked>,
  value: unknown,
  file: string,
): Checked {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const faults = result.error.issues.map(
    issue => `${issue.path.join('.') || '(top level)'}: ${issue.message}`,
  );
  throw new Failure('settingsInvalid', {file, faults});
}

/** The JSON value of a settings file, unchecked. */
export function readSettings(file: string): unknown {
  try {
    return JSON.parse(readFileSync(file, 'utf8'));
  } catch (err) {
    throw new Failure('settingsUnreadable', {file, reason: reasonOf(err)}, err);
  }
}
