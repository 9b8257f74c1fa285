/**
 * Header fields that the parser of Node.js refuses itself. Which ones it refuses
 * depends on the release: a space before the colon is passed to the program by
 * some releases of Node.js 20 and refused by others.
 */
import {quoteFieldName, type FieldFault} from './field_syntax.js';

/** What Node.js reports about a request that its parser refuses. */
export interface ParserError {
  readonly code?: string;
  /** Offset in `rawPacket` of the byte that was refused. */
  readonly bytesParsed?: number;
  /** The bytes that were received last. */
  readonly rawPacket?: Buffer;
}

/** Error codes of the parser for faulty header fields. */
const FIELD_ERROR_CODES: ReadonlySet<string> = new Set([
  'HPE_CR_EXPECTED',
  'HPE_INVALID_CONTENT_LENGTH',
  'HPE_INVALID_HEADER_TOKEN',
  'HPE_INVALID_TRANSFER_ENCODING',
  'HPE_LF_EXPECTED',
  'HPE_UNEXPECTED_CONTENT_LENGTH',
]);

/** Whether the parser refused a header field. */
export function isFieldError({code}: ParserError): boolean {
  return code !== undefined && FIELD_ERROR_CODES.has(code);
}

/**
 * The field that the parser refused; undefined if its line began in bytes that
 * were received before, which Node.js doesn't keep.
 */
export function findRefusedField({
  bytesParsed = 0,
  rawPacket,
}: ParserError): FieldFault | undefined {
  if (!rawPacket) return undefined;
  const text = rawPacket.toString('latin1');
  const start = startOfField(text, bytesParsed);
  if (start === 0) return undefined;
  const line = text.slice(start).split(/\r?\n/, 1)[0] ?? '';
  const colon = line.indexOf(':');
  const nameLength = colon < 0 ? line.length : colon;
  const part = bytesParsed - start <= nameLength ? 'name' : 'value';
  return {field: quoteFieldName(line.slice(0, nameLength)), part};
}

/** Where the line with the offset begins, or the line that it continues. */
function startOfField(text: string, offset: number): number {
  if (offset === 0) return 0;
  const start = text.lastIndexOf('\n', offset - 1) + 1;
  const isFolded = start > 0 && /[ \t]/.test(text.charAt(start));
  return isFolded ? startOfField(text, start - 1) : start;
}
