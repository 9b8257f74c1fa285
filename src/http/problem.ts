/** Refusals as problem documents (RFC 9457), the same in every router. */
import type {ServerResponse} from 'node:http';

/** One kind of refusal. */
export interface RefusalKind {
  readonly status: number;
  readonly title: string;
  /** Whether the request ran: `no` is certain, `unknown` is not. */
  readonly ran: 'no' | 'unknown';
}

/** Answers with a problem document; other header fields are set before. */
export function endWithProblem(
  res: ServerResponse,
  name: string,
  kind: RefusalKind,
  members: Readonly<Record<string, unknown>>,
): void {
  const {status, title, ran} = kind;
  const type = `urn:chicorycourse:refusal:${name}`;
  const body = JSON.stringify({type, status, title, ran, ...members});
  res.statusCode = status;
  res.setHeader('content-type', 'application/problem+json');
  res.setHeader('content-length', Buffer.byteLength(body));
  res.end(body);
}
