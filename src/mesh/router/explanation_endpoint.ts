/**
 * `GET /explain` on the listener for metrics: explains a request as JSON. The
 * API key is a header field, so that no log of URLs contains it.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import * as z from 'zod';
import {sendProblem, type RefusalKind} from '../../http/problem.js';
import {FINGERPRINT_PATTERN} from './fingerprint.js';
import type {RouteExplainer} from './route_explanation.js';

/** Path of the endpoint. */
export const EXPLAIN_PATH = '/explain';
/** Header field with the API key of the request that is explained. */
export const EXPLAIN_KEY_FIELD = 'explain-key';

const BAD_QUESTION: RefusalKind = {
  status: 400,
  title: 'The question is not valid',
  ran: 'no',
};

const querySchema = z.strictObject({
  method: z
    .string()
    .regex(/^[A-Z]+$/)
    .default('GET'),
  host: z.string().min(1),
  path: z.string().startsWith('/'),
  bodyBytes: z.coerce.number().int().nonnegative().default(0),
  fingerprint: z.string().regex(FINGERPRINT_PATTERN).optional(),
});

/** Answers a request for an explanation. */
export function handleExplain(
  explainer: RouteExplainer,
  req: IncomingMessage,
  res: ServerResponse,
): void {
  const {searchParams} = new URL(req.url ?? '/', 'http://daemon');
  const query = querySchema.safeParse(Object.fromEntries(searchParams));
  if (!query.success) {
    const detail = query.error.issues
      .map(({path, message}) => `${path.join('.') || 'query'}: ${message}`)
      .join('; ');
    return sendProblem(res, 'question-invalid', BAD_QUESTION, {detail});
  }
  const header = req.headers[EXPLAIN_KEY_FIELD];
  const key = typeof header === 'string' ? header : undefined;
  const {fingerprint} = query.data;
  const explanation = explainer.explain({...query.data, fingerprint, key});
  res.setHeader('content-type', 'application/json');
  res.end(JSON.stringify(explanation));
}
