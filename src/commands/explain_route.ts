/**
 * `explain-route`: asks a mesh daemon where it would send a request now, and
 * why. Nothing is sent to an instance. The API key is read from a file, since
 * other users of the machine see the command line.
 */
import {readFileSync} from 'node:fs';
import {command, number, option, optional, string} from 'cmd-ts';
import {request} from 'undici';
import {EXIT_CODES} from '../errors/catalogue.js';
import {Failure, reasonOf, RemoteFailure} from '../errors/failure.js';
import {
  EXPLAIN_KEY_FIELD,
  EXPLAIN_PATH,
} from '../mesh/router/explanation_endpoint.js';
import type {
  GateView,
  RouteExplanation,
  TargetView,
} from '../mesh/router/route_explanation.js';
import {jsonFlag} from './options.js';
import {alignRows, cellOf, print, printJson} from './output.js';

const TIMEOUT_MS = 10_000;

/** The command itself. */
export const explainRoute = command({
  name: 'explain-route',
  description: 'Explain where a mesh daemon would send a request now.',
  args: {
    metrics: option({
      long: 'metrics',
      type: string,
      env: 'CHICORYCOURSE_METRICS',
      description: 'IP:PORT of the metrics listener of the daemon.',
    }),
    host: option({long: 'host', type: string, description: 'Its Host field.'}),
    path: option({long: 'path', type: string, description: 'With the query.'}),
    method: option({
      long: 'method',
      type: string,
      defaultValue: () => 'GET',
      defaultValueIsSerializable: true,
    }),
    keyFile: option({
      long: 'key-file',
      type: optional(string),
      description: 'File with the API key.',
    }),
    bodyBytes: option({
      long: 'body-bytes',
      type: number,
      defaultValue: () => 0,
      description: 'Size of the body.',
    }),
    fingerprint: option({
      long: 'fingerprint',
      type: optional(string),
      description: 'Its fingerprint, from the log; needed with a body.',
    }),
    json: jsonFlag,
  },
  handler: async args => {
    const explanation = await ask(args);
    if (args.json) printJson(explanation);
    else print(textOf(explanation));
  },
});

interface Question {
  readonly metrics: string;
  readonly host: string;
  readonly path: string;
  readonly method: string;
  readonly keyFile: string | undefined;
  readonly bodyBytes: number;
  readonly fingerprint: string | undefined;
}

/** Asks a daemon; throws a failure if it gives no explanation. */
export async function ask(question: Question): Promise<RouteExplanation> {
  const {metrics, host, path, method, bodyBytes, fingerprint} = question;
  const query = new URLSearchParams({
    host,
    path,
    method: method.toUpperCase(),
    bodyBytes: String(bodyBytes),
    ...(fingerprint !== undefined && {fingerprint}),
  });
  const headers = keyHeaders(question.keyFile);
  const url = `http://${metrics}${EXPLAIN_PATH}?${query}`;
  const {status, text} = await exchange(metrics, url, headers);
  const value = parse(text);
  if (status === 200 && value) return value as unknown as RouteExplanation;
  throw new RemoteFailure({
    title: String(value?.['title'] ?? `The daemon answered with ${status}`),
    detail: String(value?.['detail'] ?? text.slice(0, 200)),
    hint: 'Check the options; daemons of earlier versions give no explanation.',
    exitCode: EXIT_CODES.invalidInput,
  });
}

async function exchange(
  address: string,
  url: string,
  headers: Readonly<Record<string, string>>,
) {
  try {
    const res = await request(url, {
      headers,
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    return {status: res.statusCode, text: await res.body.text()};
  } catch (err) {
    const reason = reasonOf(err);
    throw new Failure('metricsUnreachable', {address, reason}, err);
  }
}

function keyHeaders(
  file: string | undefined,
): Readonly<Record<string, string>> {
  if (file === undefined) return {};
  try {
    return {[EXPLAIN_KEY_FIELD]: readFileSync(file, 'utf8').trim()};
  } catch (err) {
    throw new Failure('usage', {reason: `--key-file: ${reasonOf(err)}`}, err);
  }
}

function parse(text: string): Readonly<Record<string, unknown>> | undefined {
  try {
    return JSON.parse(text) as Readonly<Record<string, unknown>>;
  } catch {
    // Such as the page of another server; the status tells of it.
    return undefined;
  }
}

/** The explanation as text. */
export function textOf(explanation: RouteExplanation): string {
  const {vm, version, route, customer, quarantine} = explanation;
  const {refusal, links, maxTieBreakCost, targets} = explanation;
  const facts: readonly (readonly [string, string | undefined])[] = [
    ['daemon', vm],
    ['configuration', cellOf(version)],
    ['links', fieldsOf(links)],
    ['route', route && describeRoute(route)],
    ['customer', customer && describeCustomer(customer)],
    ['quarantine', quarantine && describeQuarantine(quarantine)],
    ['refused', refusal && `${refusal.name} (${refusal.status})`],
    ['tie-break', targets.length > 0 ? `below ${maxTieBreakCost}` : undefined],
  ];
  const rows = facts.flatMap(([name, text]) =>
    text === undefined ? [] : [[name, text]],
  );
  const [first = [], ...rest] = rows;
  return [alignRows(first, rest), ...targets.map(describeTarget)].join('\n\n');
}

function describeRoute(route: NonNullable<RouteExplanation['route']>): string {
  const {name, host, prefix, isIdempotent, maxAttempts, objectiveMs} = route;
  const kind = isIdempotent ? 'idempotent' : 'runs once';
  return `${name} (${host}${prefix}), ${kind}, at most ${maxAttempts} attempts, objective ${objectiveMs} ms, timeout ${route.timeoutMs} ms`;
}

function describeCustomer({
  name,
  ratePerS,
  burst,
}: NonNullable<RouteExplanation['customer']>): string {
  const rate =
    ratePerS > 0 ? `rate ${ratePerS}/s, burst ${burst}` : 'without a rate';
  return `${name}, ${rate} (its tokens are not asked for)`;
}

function describeQuarantine({
  kind,
  retryAfterMs,
}: NonNullable<RouteExplanation['quarantine']>): string {
  if (kind === 'unknown') return 'unknown: give --fingerprint';
  if (kind === 'trial') return 'due for a trial: it would be sent as one';
  if (retryAfterMs === undefined) return kind;
  return `${kind} for ${Math.round(retryAfterMs)} ms`;
}

const PLANS: Readonly<Record<TargetView['plan'], string>> = {
  ask: 'ask for a free slot in this order',
  queue: 'no free slot is known: queue at once at these',
  refuse: 'refuse',
};

function describeTarget(target: TargetView): string {
  const {service, share, plan, refusal, gates, mayBeFirst} = target;
  const percent = Math.round(share * 1000) / 10;
  const heading = `service ${service} (${percent} % of the requests): ${PLANS[plan]}`;
  const suffix = refusal ? ` (${refusal})` : '';
  const first =
    mayBeFirst.length > 0 ? `\nfirst is one of: ${mayBeFirst.join(' ')}` : '';
  const table = gates.length > 0 ? `\n${tableOf(gates)}` : '';
  return `${heading}${suffix}${first}${table}`;
}

function tableOf(gates: readonly GateView[]): string {
  const headings = [
    ...['order', 'vm', 'instance', 'place', 'trust', 'slots', 'requests'],
    ...['cost', 'of which', 'not asked because'],
  ];
  const rows = gates.map(gate => [
    cellOf(gate.order),
    gate.vm,
    gate.instance,
    gate.place,
    gate.trust,
    String(gate.slots),
    String(gate.requests),
    gate.cost.toFixed(2),
    costsOf(gate),
    cellOf(gate.reason),
  ]);
  return alignRows(headings, rows);
}

function costsOf({costs}: GateView): string {
  const parts = Object.entries(costs).filter(([, cost]) => cost > 0);
  return parts.map(([k, cost]) => `${k}=${cost.toFixed(2)}`).join(' ') || '-';
}

function fieldsOf(counts: Readonly<Record<string, number>>): string {
  const fields = Object.entries(counts).map(([k, v]) => `${k}=${v}`);
  return fields.join(' ') || '-';
}
