/**
 * Load reports of vendors, read from the answer to a probe. Each format has
 * a reader; one that can't make sense of an answer reports nothing.
 */

/** The answer to a probe. */
export interface ProbeResponse {
  readonly headers: Readonly<Record<string, string>>;
  readonly text: string;
}

/** Reads the number of busy slots, or undefined if it isn't told. */
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

/** Reads the load in a vendor's format; an unknown format tells nothing. */
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
