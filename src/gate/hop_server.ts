/** Gate side of a hop: accepts work from routers on other VMs. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {discardRest} from '../http/discard_rest.js';
import {sendBody} from '../http/send_body.js';
import {isOwnClock, readOwnClock} from '../member/peer_clocks.js';
import {streamedBody} from './body.js';
import {
  decodeField,
  encodeField,
  OUTCOME_FIELD,
  WORK_FIELD,
  type HopOutcome,
  type HopWork,
} from './hop.js';
import type {Links} from '../member/links.js';
import type {Gate} from './gate.js';
import type {RateToken} from '../rates/limiter.js';
import {notRun, type Outcome, type Work} from './work.js';

const SECRET_FIELD = 'x-chicorycourse-secret';
const OWN_FIELDS: ReadonlySet<string> = new Set([WORK_FIELD, SECRET_FIELD]);

/** Handles a request from another daemon's router. */
export async function serveHop(
  gate: Gate,
  secret: string,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const field = req.headers[WORK_FIELD];
  if (req.headers[SECRET_FIELD] !== secret || typeof field !== 'string') {
    res.writeHead(401);
    res.end();
    return;
  }
  const gone = new AbortController();
  res.on('close', () => {
    if (!res.writableFinished) gone.abort();
  });
  const hop = decodeField<HopWork>(field);
  if (!isOwnClock(hop)) {
    // The times refer to the clock of an earlier process at this address, so
    // neither the deadline nor the token's expiry can be checked.
    const outcome = notRun('token-expired');
    return reply(outcome, {attempt: hop.attempt}, res);
  }
  const work = workOf(hop, req, gone.signal);
  const token = tokenOf(hop, () => res.writeProcessing());
  const outcome = await gate.run({...work, token});
  const room = gate.room(hop.service);
  await reply(outcome, {attempt: hop.attempt, room}, res);
  discardRest(req);
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

function workOf(hop: HopWork, req: IncomingMessage, signal: AbortSignal): Work {
  const hasBody =
    (req.headers['content-length'] ?? '0') !== '0' ||
    req.headers['transfer-encoding'] !== undefined;
  return {
    requestId: hop.requestId,
    service: hop.service,
    method: req.method ?? 'GET',
    path: req.url ?? '/',
    headers: withoutOwnFields(req.rawHeaders),
    body: hasBody ? streamedBody(req) : undefined,
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
function tokenOf(hop: HopWork, onSpent: () => void): RateToken | undefined {
  const expiresAtMs = hop.tokenExpiresAtMs;
  if (expiresAtMs === undefined) return undefined;
  let spent = false;
  return {
    expiresAtMs,
    spend: () => {
      if (spent || performance.now() >= expiresAtMs) return false;
      spent = true;
      onSpent();
      return true;
    },
    giveBack: () => undefined,
    handOver: () => false,
    confirm: () => undefined,
    takeBack: () => undefined,
  };
}

function withoutOwnFields(raw: readonly string[]): readonly string[] {
  const dropped = new Set([...OWN_FIELDS, 'connection', 'transfer-encoding']);
  return raw.filter((_, index) => {
    const name = raw[index - (index % 2)] ?? '';
    return !dropped.has(name.toLowerCase());
  });
}

async function reply(
  outcome: Outcome,
  detail: Pick<HopOutcome, 'attempt' | 'room'>,
  res: ServerResponse,
): Promise<void> {
  if (outcome.kind !== 'answered') {
    const {kind, reason} = outcome;
    const retryAfterMs =
      outcome.kind === 'not-run' ? outcome.retryAfterMs : undefined;
    res.writeHead(503, [
      OUTCOME_FIELD,
      encodeField({
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
  const told: HopOutcome = {...detail, kind, instance, clock};
  const headers = outcome.headers.filter((_, index) => {
    const name = outcome.headers[index - (index % 2)] ?? '';
    return name.toLowerCase() !== OUTCOME_FIELD;
  });
  res.writeHead(outcome.status, [...headers, OUTCOME_FIELD, encodeField(told)]);
  await sendBody(outcome.body, res);
}
