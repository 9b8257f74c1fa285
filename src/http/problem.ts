/** Refusals as problem documents (RFC 9457), in one format for all routers. */
import type {ServerResponse} from 'node:http';

/** One kind of refusal. */
export interface RefusalKind {
  readonly status: number;
  readonly title: string;
  /** Whether the request ran: `no` is certain, `unknown` is not. */
  readonly ran: 'no' | 'unknown';
}

/** Ends the response with a problem document; headers set before are kept. */
export function sendProblem(
  res: ServerResponse,
  name: string,
  kind: RefusalKind,
  members: Readonly<Record<string, unknown>>,
): void {
  const body = renderProblem(name, kind, members);
  res.statusCode = kind.status;
  res.setHeader('content-type', 'application/problem+json');
  res.setHeader('content-length', Buffer.byteLength(body));
  res.end(body);
}

/** The problem document as text. */
export function renderProblem(
  name: string,
  {status, title, ran}: RefusalKind,
  members: Readonly<Record<string, unknown>>,
): string {
  const type = `urn:chicorycourse:refusal:${name}`;
  return JSON.stringify({type, status, title, ran, ...members});
}
