/**
 * Load reports of vendors, read from the answer to a probe. Each format has
 * a reader; one that can't make sense of an answer reports nothing.
 */

/** The answer to a probe. */
export interface ProbeAnswer {
  readonly headers: Readonly<Record<string, string>>;
  readonly text: string;
}

/** Reads the number of busy slots, or undefined if it isn't told. */
type LoadReader = (answer: ProbeAnswer) => number | undefined;

const BUSY_METRIC = /^(?:[a-z_]*_)?(?:busy|in_flight|active)[^\s]*\s+(\S+)/im;

const READERS: Readonly<Record<string, LoadReader>> = {
  none: () => undefined,
  'json-status': ({text}) => numberOf(fieldOf(text, 'busy')),
  'plain-number': ({text}) => numberOf(text.trim()),
  header: ({headers}) => numberOf(headers['x-load']),
  'prometheus-text': ({text}) => numberOf(BUSY_METRIC.exec(text)?.[1]),
};

/** Reads the load in a vendor's format; an unknown format tells nothing. */
export function readLoad(
  format: string,
  answer: ProbeAnswer,
): number | undefined {
  return READERS[format]?.(answer);
}

function fieldOf(text: string, name: string): unknown {
  try {
    const value = JSON.parse(text) as Record<string, unknown> | null;
    return value?.[name];
  } catch {
    return undefined;
  }
}

function numberOf(value: unknown): number | undefined {
  if (value === undefined || value === null || value === '') return undefined;
  const number = Number(value);
  return Number.isFinite(number) && number >= 0 ? number : undefined;
}
