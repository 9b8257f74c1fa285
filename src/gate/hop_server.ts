/** Gate side of a hop: accepts work from routers on other VMs. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {discardRequestBody} from '../http/discard_request_body.js';
import {sendBody} from '../http/send_body.js';
import {isOwnClock, readOwnClock} from '../member/peer_clocks.js';
import {createStreamedBody} from './body.js';
import {
  decodeHeader,
  encodeHeader,
  OUTCOME_HEADER,
  WORK_HEADER,
  type HopOutcome,
  type HopWork,
} from './hop.js';
import type {Links} from '../member/links.js';
import type {Gate} from './gate.js';
import type {RateToken} from '../rates/limiter.js';
import {notRun, type Outcome, type Work} from './work.js';

const SECRET_HEADER = 'x-chicorycourse-secret';
const INTERNAL_HEADERS: ReadonlySet<string> = new Set([
  WORK_HEADER,
  SECRET_HEADER,
]);

/** Handles a request from another daemon's router. */
export async function serveHop(
  gate: Gate,
  secret: string,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const workHeader = req.headers[WORK_HEADER];
  if (req.headers[SECRET_HEADER] !== secret || typeof workHeader !== 'string') {
    res.writeHead(401);
    res.end();
    return;
  }
  const abortController = new AbortController();
  res.on('close', () => {
    if (!res.writableFinished) abortController.abort();
  });
  const hop = decodeHeader<HopWork>(workHeader);
  if (!isOwnClock(hop)) {
    // The times refer to the clock of an earlier process at this address, so
    // neither the deadline nor the token's expiry can be checked.
    const outcome = notRun('token-expired');
    return sendOutcome(outcome, {attempt: hop.attempt}, res);
  }
  const work = createWork(hop, req, abortController.signal);
  const token = createToken(hop, () => res.writeProcessing());
  const outcome = await gate.run({...work, token});
  const room = gate.room(hop.service);
  await sendOutcome(outcome, {attempt: hop.attempt, room}, res);
  discardRequestBody(req);
}

/** Handles slot reservations of routers on other VMs. */
export function serveReservations(links: Links, gate: Gate): void {
  links.handle('gate.reserve', ({service, customer, leftMs}) =>
    gate.reserve({
      service,
      customer,
      deadlineAtMs: performance.now() + leftMs,
      signal: new AbortController().signal,
    }),
  );
}

function createWork(
  hop: HopWork,
  req: IncomingMessage,
  signal: AbortSignal,
): Work {
  const hasBody =
    (req.headers['content-length'] ?? '0') !== '0' ||
    req.headers['transfer-encoding'] !== undefined;
  return {
    requestId: hop.requestId,
    service: hop.service,
    method: req.method ?? 'GET',
    path: req.url ?? '/',
    headers: stripInternalHeaders(req.rawHeaders),
    body: hasBody ? createStreamedBody(req) : undefined,
    customer: hop.customer,
    idempotent: hop.idempotent,
    deadlineAtMs: hop.deadlineAtMs,
    token: undefined,
    signal,
    reservation: hop.reservation,
  };
}

/**
 * The router's rate token, which is spent at this gate or not at all. Returning
 * it and confirming its use are up to the router.
 */
function createToken(hop: HopWork, onSpent: () => void): RateToken | undefined {
  const expiresAtMs = hop.tokenExpiresAtMs;
  if (expiresAtMs === undefined) return undefined;
  let isSpent = false;
  return {
    expiresAtMs,
    spend: () => {
      if (isSpent || performance.now() >= expiresAtMs) return false;
      isSpent = true;
      onSpent();
      return true;
    },
    release: () => undefined,
    delegate: () => false,
    confirm: () => undefined,
    reclaim: () => undefined,
  };
}

function stripInternalHeaders(
  rawHeaders: readonly string[],
): readonly string[] {
  const dropped = new Set([
    ...INTERNAL_HEADERS,
    'connection',
    'transfer-encoding',
  ]);
  return rawHeaders.filter((_, index) => {
    const name = rawHeaders[index - (index % 2)] ?? '';
    return !dropped.has(name.toLowerCase());
  });
}

async function sendOutcome(
  outcome: Outcome,
  detail: Pick<HopOutcome, 'attempt' | 'room'>,
  res: ServerResponse,
): Promise<void> {
  if (outcome.kind !== 'answered') {
    const {kind, reason} = outcome;
    const retryAfterMs =
      outcome.kind === 'not-run' ? outcome.retryAfterMs : undefined;
    res.writeHead(503, [
      OUTCOME_HEADER,
      encodeHeader({
        ...detail,
        kind,
        reason,
        retryAfterMs,
        clock: readOwnClock(),
      }),
    ]);
    res.end();
    return;
  }
  const {kind, instance} = outcome;
  const clock = readOwnClock();
  const hopOutcome: HopOutcome = {...detail, kind, instance, clock};
  const headers = outcome.headers.filter((_, index) => {
    const name = outcome.headers[index - (index % 2)] ?? '';
    return name.toLowerCase() !== OUTCOME_HEADER;
  });
  res.writeHead(outcome.status, [
    ...headers,
    OUTCOME_HEADER,
    encodeHeader(hopOutcome),
  ]);
  await sendBody(outcome.body, res);
}
