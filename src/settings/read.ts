/**
 * Reads settings files and checks them against a given schema. This module
 * imports no schema, so that a daemon loads only its own.
 */
import {readFileSync} from 'node:fs';
import type {ZodType} from 'zod';
import {Failure, reasonOf} from '../errors/failure.js';

/** Checks a value against a settings schema. */
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

/** Reads the JSON value of a settings file without checking it. */
export function readSettings(file: string): unknown {
  try {
    return JSON.parse(readFileSync(file, 'utf8'));
  } catch (err) {
    throw new Failure('settingsUnreadable', {file, reason: reasonOf(err)}, err);
  }
}
