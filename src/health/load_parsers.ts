/**
 * Parsers for the vendors' load report formats, which instances send in the
 * response to a probe. A parser returns undefined for a malformed report.
 */

/** The response to a probe. */
export interface ProbeResponse {
  readonly headers: Readonly<Record<string, string>>;
  readonly text: string;
}

/** Returns the number of busy slots, or undefined if it isn't reported. */
type LoadParser = (res: ProbeResponse) => number | undefined;

const BUSY_METRIC = /^(?:[a-z_]*_)?(?:busy|in_flight|active)[^\s]*\s+(\S+)/im;

const PARSERS: Readonly<Record<string, LoadParser>> = {
  none: () => undefined,
  'json-status': ({text}) => toNonNegativeNumber(jsonField(text, 'busy')),
  'plain-number': ({text}) => toNonNegativeNumber(text.trim()),
  header: ({headers}) => toNonNegativeNumber(headers['x-load']),
  'prometheus-text': ({text}) =>
    toNonNegativeNumber(BUSY_METRIC.exec(text)?.[1]),
};

/** Parses a load report; undefined if the format is unknown. */
export function parseLoad(
  format: string,
  res: ProbeResponse,
): number | undefined {
  return PARSERS[format]?.(res);
}

function jsonField(text: string, name: string): unknown {
  try {
    const value = JSON.parse(text) as Record<string, unknown> | null;
    return value?.[name];
  } catch {
    return undefined;
  }
}

function toNonNegativeNumber(value: unknown): number | undefined {
  if (value === undefined || value === null || value === '') return undefined;
  const number = Number(value);
  return Number.isFinite(number) && number >= 0 ? number : undefined;
}
