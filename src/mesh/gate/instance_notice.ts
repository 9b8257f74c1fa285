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

/** How long an instance stays cold, as its health path tells it. */
export interface WarmupNotice {
  /** Undefined if it names no valid time. */
  readonly coldForMs: number | undefined;
  /** The text of a time that is not a number of milliseconds. */
  readonly invalidWarmup?: string;
}

/** Reads the remaining warm-up in the headers of a health response. */
export function readWarmup(
  headers: readonly string[],
  names: HeaderNames,
): WarmupNotice {
  const warmup = headerValue(headers, names.warmupLeft)?.trim();
  if (warmup === undefined) return {coldForMs: undefined};
  if (DECIMAL.test(warmup)) return {coldForMs: Number(warmup)};
  return {coldForMs: undefined, invalidWarmup: warmup};
}
