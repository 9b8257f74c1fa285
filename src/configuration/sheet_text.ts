/**
 * Decodes the text of a sheet as office programs export it: UTF-8 with or
 * without a byte order mark, or UTF-16; fields separated by `;`, `,` or tabs;
 * numbers in the notation of the planner's locale.
 */

/** The field separator of a sheet. */
export type Delimiter = ';' | ',' | '\t';

/** The decoded text, or the first line that can't be decoded. */
export type DecodedSheet = {readonly text: string} | {readonly badLine: number};

const DELIMITERS: readonly Delimiter[] = [';', '\t', ','];
const NEWLINE = 0x0a;

/** Decodes the bytes of a sheet and normalises the text to NFC. */
export function decodeSheet(bytes: Buffer): DecodedSheet {
  const isUtf16 = bytes[0] === 0xff && bytes[1] === 0xfe;
  const encoding = isUtf16 ? 'utf-16le' : 'utf-8';
  try {
    const decoder = new TextDecoder(encoding, {fatal: true});
    const text = decoder.decode(bytes).normalize('NFC');
    // Line numbers are only correct if all lines end the same way.
    const lines = text.replace(/\r\n?/g, '\n');
    return {text: lines.replace(/^sep=.\n/, '\n')};
  } catch {
    return {badLine: findFirstBadLine(bytes)};
  }
}

/** Returns the delimiter that occurs most often in the header line. */
export function detectDelimiter(text: string): Delimiter {
  const header = text.trimStart().split('\n', 1)[0] ?? '';
  const count = (delimiter: string) => header.split(delimiter).length;
  return DELIMITERS.toSorted((a, b) => count(b) - count(a))[0] ?? ';';
}

/**
 * Parses a number of a sheet; returns undefined if it is invalid or ambiguous.
 * In comma-separated sheets the decimal mark is a point, in others a comma;
 * the other one groups thousands. Spaces of any width group thousands too.
 */
export function parseSheetNumber(
  text: string,
  delimiter: Delimiter,
): number | undefined {
  const compact = removeGroupingSpaces(text.trim());
  const [decimal, group] = delimiter === ',' ? ['.', ','] : [',', '.'];
  if (/^-?\d+$/.test(compact)) return Number(compact);
  const grouped = new RegExp(
    `^-?[1-9]\\d{0,2}(\\${group}\\d{3})+(\\${decimal}\\d+)?$`,
  );
  if (grouped.test(compact)) {
    const hasDecimals = compact.includes(decimal);
    const isUnambiguous = compact.split(group).length > 2 || hasDecimals;
    // In a comma-separated sheet, `"1,500"` may mean 1.5 or 1500.
    if (!isUnambiguous && delimiter === ',') return undefined;
    return Number(compact.replaceAll(group, '').replace(decimal, '.'));
  }
  const isDecimal = /^-?\d+[.,]\d+$/.test(compact);
  return isDecimal ? Number(compact.replace(',', '.')) : undefined;
}

function removeGroupingSpaces(text: string): string {
  const isGrouped = /^-?\d{1,3}(\s\d{3})+([.,]\d+)?$/.test(text);
  return isGrouped ? text.replace(/\s/g, '') : text;
}

function findFirstBadLine(bytes: Buffer): number {
  let line = 1;
  let start = 0;
  while (start < bytes.length) {
    const end = bytes.indexOf(NEWLINE, start);
    const stop = end < 0 ? bytes.length : end + 1;
    const part = bytes.subarray(start, stop);
    if (!Buffer.from(part.toString()).equals(part)) return line;
    start = stop;
    line += 1;
  }
  return line;
}
