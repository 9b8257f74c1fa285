/**
 * Explains where a request would be sent now, and why, without sending it. Each
 * step is decided by the function that decides it for requests of callers, and
 * none of them changes any state: no token is taken, no slot is reserved and no
 * trial of a quarantined request begins. So the explanation ends where a gate
 * would be asked, which may still decline.
 */
import {checkHead} from './admission.js';
import type {Dispatcher} from './dispatcher.js';
import {fingerprintOf} from './fingerprint.js';
import {
  costsOf,
  exclusionOf,
  hasFreeSlot,
  MAX_TIE_BREAK_COST,
  sumCosts,
  type Costs,
} from './gate_ranking.js';
import type {GateCandidate, Gates} from './gates.js';
import type {QueryOfDeathGuard} from './query_of_death.js';
import {REFUSALS, type RefusalName} from './refusals.js';
import type {RouteTable} from './route_table.js';
import {gatesToAsk, gatesToQueueAt, rankGates} from './slot_search.js';
import type {Customer, Route} from '../model.js';

/** The request that is asked about. */
export interface RouteQuestion {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  /** The API key; it isn't part of the explanation. */
  readonly key: string | undefined;
  readonly bodyBytes: number;
  /** As log lines have it; needed if the request has a body. */
  readonly fingerprint: string | undefined;
}

/** Whether the request is quarantined; unknown without its body. */
export interface QuarantineView {
  readonly kind: 'allowed' | 'trial' | 'quarantined' | 'unknown';
  readonly retryAfterMs?: number;
}

/** A gate of a service that the route leads to. */
export interface GateView {
  readonly vm: string;
  readonly instance: string;
  /** What the router would do with it. */
  readonly use: 'ask' | 'queue' | 'none';
  /** Order among the gates that are asked or queued at. */
  readonly order?: number;
  /** Why it isn't asked. */
  readonly reason?: string;
  readonly place: 'same-vm' | 'same-domain' | 'other-domain';
  readonly trust: string;
  readonly slots: number;
  /** Requests that hold a slot or wait for one. */
  readonly requests: number;
  /** Without the random cost. */
  readonly cost: number;
  readonly costs: Costs;
  readonly statusAgeMs: number;
}

/** What the router would do for one service of the route. */
export interface TargetView {
  readonly service: string;
  /** Share of the route's requests. */
  readonly share: number;
  readonly plan: 'ask' | 'queue' | 'refuse';
  /** If the plan is to refuse the request. */
  readonly refusal?: RefusalName;
  /** VMs that the random cost may put first. */
  readonly mayBeFirst: readonly string[];
  readonly gates: readonly GateView[];
}

/** The explanation of a request. */
export interface RouteExplanation {
  readonly vm: string;
  /** Version of the configuration. */
  readonly version: number | undefined;
  readonly refusal?: {readonly name: RefusalName; readonly status: number};
  readonly route?: Route;
  readonly customer?: Pick<Customer, 'name' | 'ratePerS' | 'burst'>;
  readonly quarantine?: QuarantineView;
  readonly links: Readonly<Record<string, number>>;
  /** The random cost of each gate is below this. */
  readonly maxTieBreakCost: number;
  readonly targets: readonly TargetView[];
}

/** Options of {@link RouteExplainer}. */
export interface RouteExplainerOptions {
  readonly vm: string;
  readonly routes: () => RouteTable | undefined;
  readonly maxBodyBytes: () => number;
  readonly dispatcher: Pick<Dispatcher, 'canFinish'>;
  readonly quarantine: Pick<QueryOfDeathGuard, 'stateOf'>;
  readonly gates: Pick<Gates, 'forService' | 'linkStates'>;
}

/** Any id passes; it has no effect on where a request goes. */
const ANY_ID = 'explained';

/** Explains requests to one router. */
export class RouteExplainer {
  readonly #options: RouteExplainerOptions;

  constructor(options: RouteExplainerOptions) {
    this.#options = options;
  }

  /** Explains a request. */
  explain(question: RouteQuestion): RouteExplanation {
    const {vm, routes, dispatcher, gates} = this.#options;
    const table = routes();
    const admission = checkHead({...question, id: ANY_ID}, table, route =>
      dispatcher.canFinish(route, performance.now() + route.timeoutMs),
    );
    const base = {
      vm,
      version: table?.version,
      links: gates.linkStates,
      maxTieBreakCost: MAX_TIE_BREAK_COST,
      ...(admission.route && {route: admission.route}),
    };
    if (admission.kind === 'refused') {
      return {...base, refusal: refusalOf(admission.name), targets: []};
    }
    const {route, customer} = admission;
    const quarantine = this.#quarantineOf(question, route, customer);
    const isTooLarge = question.bodyBytes > this.#options.maxBodyBytes();
    const name = isTooLarge
      ? 'body-too-large'
      : quarantine.kind === 'quarantined' && 'quarantined';
    return {
      ...base,
      ...(customer && {customer: withoutKeys(customer)}),
      quarantine,
      ...(name && {refusal: refusalOf(name)}),
      targets: name ? [] : this.#targetsOf(route, question.bodyBytes),
    };
  }

  #quarantineOf(
    question: RouteQuestion,
    route: Route,
    customer: Customer | undefined,
  ): QuarantineView {
    const {method, host, path, bodyBytes, fingerprint} = question;
    if (fingerprint === undefined && bodyBytes > 0) return {kind: 'unknown'};
    const content = {
      route: route.name,
      customer: customer?.name,
      method,
      host,
      path,
      body: Buffer.of(),
    };
    return this.#options.quarantine.stateOf(
      fingerprint ?? fingerprintOf(content),
    );
  }

  #targetsOf(route: Route, bodyBytes: number): readonly TargetView[] {
    const {isIdempotent, targets} = route;
    const total = targets.reduce((sum, {weight}) => sum + weight, 0);
    return targets.map(({service, weight}) => {
      const search = {service, isIdempotent, bodyBytes, excluded: NONE};
      const ranked = rankGates(this.#options.gates, search, () => 0);
      const asked = gatesToAsk(ranked);
      const queued = asked.length > 0 ? [] : gatesToQueueAt(ranked);
      const use = asked.length > 0 ? 'ask' : 'queue';
      const chosen = [...asked, ...queued].map(({vm}) => vm);
      const gates = this.#options.gates
        .forService(service)
        .map(gate => viewOf(gate, search, use, chosen.indexOf(gate.vm)))
        .toSorted((a, b) => a.cost - b.cost);
      return {
        service,
        share: total > 0 ? weight / total : 0,
        ...(chosen.length > 0
          ? {plan: use}
          : {plan: 'refuse', refusal: 'no-instance'}),
        mayBeFirst: mayBeFirst(gates, use),
        gates,
      };
    });
  }
}

/** VMs that the request was sent to before. */
const NONE: ReadonlySet<string> = new Set();

function viewOf(
  gate: GateCandidate,
  traits: {readonly isIdempotent: boolean; readonly bodyBytes: number},
  use: 'ask' | 'queue',
  index: number,
): GateView {
  const {vm, backend, outstanding, isLocal, isSameDomain, statusAgeMs} = gate;
  const costs = costsOf(gate, traits);
  const domain = isSameDomain ? 'same-domain' : 'other-domain';
  const reason = reasonOf(gate, use === 'ask' && index >= 0);
  return {
    vm,
    instance: backend.instance,
    use: index < 0 ? 'none' : use,
    ...(index >= 0 && {order: index + 1}),
    ...(reason !== undefined && {reason}),
    place: isLocal ? 'same-vm' : domain,
    trust: backend.trust,
    slots: backend.slots,
    requests: backend.running + backend.waiting + outstanding,
    cost: sumCosts(costs),
    costs,
    statusAgeMs: Math.round(statusAgeMs),
  };
}

function reasonOf(gate: GateCandidate, isAsked: boolean): string | undefined {
  if (isAsked) return undefined;
  return exclusionOf(gate) ?? (hasFreeSlot(gate) ? 'ranked lower' : 'full');
}

function mayBeFirst(
  gates: readonly GateView[],
  use: GateView['use'],
): readonly string[] {
  const chosen = gates.filter(gate => gate.use === use);
  const lowest = Math.min(...chosen.map(({cost}) => cost));
  return chosen
    .filter(({cost}) => cost < lowest + MAX_TIE_BREAK_COST)
    .map(({vm}) => vm);
}

function refusalOf(name: RefusalName): RouteExplanation['refusal'] {
  return {name, status: REFUSALS[name].status};
}

function withoutKeys({name, ratePerS, burst}: Customer) {
  return {name, ratePerS, burst};
}
