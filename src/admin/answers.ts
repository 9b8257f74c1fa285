/**
 * How the administration API reads requests and answers them: JSON bodies,
 * and failures of the catalogue as problem documents (RFC 9457).
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {CATALOGUE, type FailureName} from '../errors/catalogue.js';
import {Failure, reasonOf} from '../errors/failure.js';
import {BodyBuffer} from '../http/body_buffer.js';
import type {Logger} from '../log/logger.js';

/** HTTP status of each failure that the API can end in. */
const STATUS_OF: Readonly<Partial<Record<FailureName, number>>> = {
  unauthorized: 401,
  forbidden: 403,
  recordMissing: 404,
  recordInvalid: 400,
  sheetInvalid: 422,
  changeIdReused: 422,
  referenceBroken: 409,
  writeConflict: 409,
  removalsRefused: 409,
  preconditionFailed: 412,
  bodyTooLarge: 413,
  preconditionRequired: 428,
  storeUnavailable: 503,
  storeRejected: 503,
  shardMissing: 503,
  changeUnknown: 503,
};

/** Failures after which a change may have been made. */
const UNKNOWN: ReadonlySet<string> = new Set(['changeUnknown']);

/** Answers with JSON. */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  res.writeHead(status, {'content-type': 'application/json', ...headers});
  res.end(JSON.stringify(body));
}

/** Answers with the problem document of what was thrown. */
export function sendProblem(
  res: ServerResponse,
  err: unknown,
  log: Logger,
): void {
  const failure = err instanceof Failure ? err : undefined;
  const name: FailureName | 'internal' = failure?.failure ?? 'internal';
  const status = name === 'internal' ? 500 : (STATUS_OF[name] ?? 500);
  if (status >= 500) log.warn(`A call failed: ${reasonOf(err)}.`);
  if (res.headersSent) return void res.destroy();
  const body = {
    type: `urn:chicorycourse:failure:${name}`,
    status,
    title: failure?.title ?? 'The daemon failed',
    detail: reasonOf(err),
    hint: failure?.hint,
    changed: failure && !UNKNOWN.has(name) ? 'no' : 'unknown',
  };
  const retry = status === 503 ? {'retry-after': '1'} : {};
  res.writeHead(status, {'content-type': 'application/problem+json', ...retry});
  res.end(JSON.stringify(body));
}

/** The bytes of a request; throws `bodyTooLarge`. */
export async function readBytes(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Buffer> {
  const received = new BodyBuffer();
  for await (const chunk of req) {
    received.append(chunk as Buffer);
    const isTooLarge = received.sizeBytes > maxBytes;
    if (isTooLarge) throw new Failure('bodyTooLarge', {maxBytes});
  }
  return received.toBuffer();
}

/** The object in a body; throws `recordInvalid` if it is anything else. */
export function parseObject(
  bytes: Buffer,
  record: string,
): Readonly<Record<string, unknown>> {
  const reason = 'the body must be a JSON object';
  try {
    const value: unknown = JSON.parse(bytes.toString() || '{}');
    const isObject = typeof value === 'object' && value !== null;
    if (isObject && !Array.isArray(value)) {
      return value as Readonly<Record<string, unknown>>;
    }
  } catch (err) {
    throw new Failure('recordInvalid', {record, reason}, err);
  }
  throw new Failure('recordInvalid', {record, reason});
}

/** The stable name in the `type` of a problem document. */
export function failureNameOf(type: string): FailureName | undefined {
  const name = type.replace(/^urn:chicorycourse:failure:/, '');
  return name in CATALOGUE ? (name as FailureName) : undefined;
}
