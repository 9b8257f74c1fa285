/** What an instance says about itself in the headers of its responses. */
import type {HeaderNames} from '../header_names.js';
import {headerValue} from './header_value.js';

/** The state of an instance, as its latest response tells it. */
export interface InstanceNotice {
  /**
   * Requests per second that the instance takes from all callers together;
   * undefined if it names no limit.
   */
  readonly limitPerS: number | undefined;
  /** The text of a limit that is not a number. */
  readonly invalidLimit?: string;
  readonly isLeaving: boolean;
}

const DECIMAL = /^(\d+\.?\d*|\.\d+)$/;
const LEAVING = '1';

/** Reads the notice in the headers of a response. */
export function readInstanceNotice(
  headers: readonly string[],
  names: HeaderNames,
): InstanceNotice {
  const isLeaving = headerValue(headers, names.leaving)?.trim() === LEAVING;
  const limit = headerValue(headers, names.rateLimit)?.trim();
  if (limit === undefined) return {limitPerS: undefined, isLeaving};
  if (DECIMAL.test(limit)) return {limitPerS: Number(limit), isLeaving};
  return {limitPerS: undefined, invalidLimit: limit, isLeaving};
}
