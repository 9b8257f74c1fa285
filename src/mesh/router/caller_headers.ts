/**
 * Header fields on their way through: what concerns one connection stays
 * here, as does the customer's key; the fields that only this system may set
 * are set whatever the caller sent.
 */
import type {IncomingMessage} from 'node:http';
import {HOP_BY_HOP_HEADERS} from '../../http/hop_by_hop.js';
import type {HeaderNames} from '../header_names.js';

/** What the system says about a request. */
export interface Stamp {
  readonly callerService: string;
  readonly customer: string | undefined;
}

/** Fields for the backend server: names and values in turn. */
export function headersForBackend(
  req: IncomingMessage,
  names: HeaderNames,
  stamp: Stamp,
): readonly string[] {
  const own = new Set([
    names.key,
    names.customer,
    names.callerService,
    names.targetInstance,
    names.deadline,
  ]);
  const {customer, callerService} = stamp;
  return [
    ...withoutHopByHop(req.rawHeaders, own),
    names.callerService,
    callerService,
    ...(customer === undefined ? [] : [names.customer, customer]),
  ];
}

/** Fields of an instance's answer for the caller, with the body's length. */
export function headersForCaller(
  headers: readonly string[],
  bodyBytes: number,
): readonly string[] {
  return [
    ...withoutHopByHop(headers, new Set()),
    'content-length',
    String(bodyBytes),
  ];
}

function withoutHopByHop(
  headers: readonly string[],
  own: ReadonlySet<string>,
): readonly string[] {
  const named = namedByConnection(headers);
  return headers.filter((_, index) => {
    const name = (headers[index - (index % 2)] ?? '').toLowerCase();
    // Bodies are sent whole from here, with a length of their own.
    if (name === 'content-length' || HOP_BY_HOP_HEADERS.has(name)) return false;
    return !named.has(name) && !own.has(name);
  });
}

/** Fields that the sender declared to concern only its connection. */
function namedByConnection(headers: readonly string[]): ReadonlySet<string> {
  const values = headers.filter((_, index) => {
    const name = index % 2 === 1 ? headers[index - 1] : '';
    return name?.toLowerCase() === 'connection';
  });
  const names = values.flatMap(value => value.split(','));
  return new Set(names.map(name => name.trim().toLowerCase()));
}
