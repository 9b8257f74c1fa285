/**
 * The text of a sheet as office programs write it: UTF-8 with or without a
 * byte order mark, or UTF-16; fields divided by `;`, `,` or tabs; numbers in
 * the notation of the place.
 */

/** What divides the fields of a sheet. */
export type Delimiter = ';' | ',' | '\t';

/** Decoded text, or where it stops being text. */
export type DecodedSheet = {readonly text: string} | {readonly badLine: number};

const DELIMITERS: readonly Delimiter[] = [';', '\t', ','];
const NEWLINE = 0x0a;

/** Decodes the bytes of a sheet; normalises composed characters. */
export function decodeSheet(bytes: Buffer): DecodedSheet {
  const isUtf16 = bytes[0] === 0xff && bytes[1] === 0xfe;
  const encoding = isUtf16 ? 'utf-16le' : 'utf-8';
  try {
    const decoder = new TextDecoder(encoding, {fatal: true});
    const text = decoder.decode(bytes).normalize('NFC');
    // Lines are counted right only if they all end alike.
    const lines = text.replace(/\r\n?/g, '\n');
    return {text: lines.replace(/^sep=.\n/, '\n')};
  } catch {
    return {badLine: findFirstBadLine(bytes)};
  }
}

/** The delimiter that the header line uses most. */
export function detectDelimiter(text: string): Delimiter {
  const header = text.trimStart().split('\n', 1)[0] ?? '';
  const count = (delimiter: string) => header.split(delimiter).length;
  return DELIMITERS.toSorted((a, b) => count(b) - count(a))[0] ?? ';';
}

/**
 * A number as it is written in a sheet; undefined if it isn't one or if it
 * could be two. With `,` between the fields a point marks decimals, with
 * the others a comma does, and the other mark groups thousands. Spaces of
 * every width group thousands too.
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
    // `"1,500"` among commas: a planner's one and a half, or 1500?
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
