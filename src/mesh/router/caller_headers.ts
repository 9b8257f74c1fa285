/**
 * Builds the header fields of forwarded requests and responses. Hop-by-hop
 * fields are removed, and so is the customer's API key. Fields that only the
 * daemons may set replace whatever the caller sent.
 */
import type {IncomingMessage} from 'node:http';
import {HOP_BY_HOP_HEADERS} from '../../http/hop_by_hop.js';
import type {HeaderNames} from '../header_names.js';

/** Where a request comes from, as the daemon determined it. */
export interface RequestOrigin {
  readonly callerService: string;
  readonly customer: string | undefined;
}

/** Header fields for the backend server: names and values alternate. */
export function buildBackendHeaders(
  req: IncomingMessage,
  names: HeaderNames,
  origin: RequestOrigin,
): readonly string[] {
  const reservedNames = new Set([
    names.key,
    names.customer,
    names.callerService,
    names.targetInstance,
    names.deadline,
  ]);
  const {customer, callerService} = origin;
  return [
    ...removeHopByHop(req.rawHeaders, reservedNames),
    names.callerService,
    callerService,
    ...(customer === undefined ? [] : [names.customer, customer]),
  ];
}

/** Header fields of an instance's response, with the length of its body. */
export function buildCallerHeaders(
  headers: readonly string[],
  bodyBytes: number,
): readonly string[] {
  return [
    ...removeHopByHop(headers, new Set()),
    'content-length',
    String(bodyBytes),
  ];
}

function removeHopByHop(
  headers: readonly string[],
  reservedNames: ReadonlySet<string>,
): readonly string[] {
  const connectionNames = connectionFieldNames(headers);
  return headers.filter((_, index) => {
    const name = (headers[index - (index % 2)] ?? '').toLowerCase();
    // Bodies are buffered, and sent with a length of their own.
    if (name === 'content-length' || HOP_BY_HOP_HEADERS.has(name)) return false;
    return !connectionNames.has(name) && !reservedNames.has(name);
  });
}

/** Fields that the sender declared hop-by-hop in its `Connection` field. */
function connectionFieldNames(headers: readonly string[]): ReadonlySet<string> {
  const values = headers.filter((_, index) => {
    const name = index % 2 === 1 ? headers[index - 1] : '';
    return name?.toLowerCase() === 'connection';
  });
  const names = values.flatMap(value => value.split(','));
  return new Set(names.map(name => name.trim().toLowerCase()));
}
