/**
 * Syntax of header fields (RFC 9110 and RFC 9112). Releases of Node.js differ
 * in what their parsers accept, and a field that two servers read differently
 * can hide one request inside another, so this program checks it itself.
 */

/** A header field that makes its message ambiguous. */
export interface FieldFault {
  /** The name as it was received, as a JSON string of at most 64 characters. */
  readonly field: string;
  readonly part: 'name' | 'value';
}

/** RFC 9110, section 5.6.2. */
const TOKEN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;
/** Visible characters, spaces, tabs and obs-text: no CR, LF or NUL. */
const FIELD_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;
const MAX_QUOTED_CHARS = 64;

/** Fields that say where a body ends, and the values they may have. */
const FRAMING_VALUES: ReadonlyMap<string, RegExp> = new Map([
  ['content-length', /^\d+$/],
  ['transfer-encoding', /^chunked$/i],
]);

/** The first faulty field in a list of alternating names and values. */
export function findFieldFault(
  rawHeaders: readonly string[],
): FieldFault | undefined {
  const names = rawHeaders.filter((_, index) => index % 2 === 0);
  const values = rawHeaders.filter((_, index) => index % 2 === 1);
  const badName = names.find(name => !TOKEN.test(name));
  if (badName !== undefined)
    return {field: quoteFieldName(badName), part: 'name'};
  const framing = names.filter(name => FRAMING_VALUES.has(name.toLowerCase()));
  const badValue =
    names.find((name, index) => !isValidValue(name, values[index] ?? '')) ??
    // Two of these fields are two statements about where the body ends.
    framing[1];
  return badValue === undefined
    ? undefined
    : {field: quoteFieldName(badValue), part: 'value'};
}

function isValidValue(name: string, value: string): boolean {
  const pattern = FRAMING_VALUES.get(name.toLowerCase()) ?? FIELD_VALUE;
  return pattern.test(value);
}

/** A field name as it is shown in refusals and logs. */
export function quoteFieldName(name: string): string {
  return JSON.stringify(name.slice(0, MAX_QUOTED_CHARS));
}
