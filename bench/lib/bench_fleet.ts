/** Starts a whole deployment and carries out the events of a scenario. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Fleet, until} from '../../features/support/fleet.js';
import type {Deployment} from './deployments.js';
import type {CustomerRate, ScenarioEvent} from './plan.js';
import type {GradeWatch} from './watch.js';

const DAEMONS_PER_DOMAIN = 2;
const SETTLE_MS = 30_000;

/** Options of {@link BenchFleet}. */
export interface BenchFleetOptions {
  readonly deployment: Deployment;
  /** Replaces modules of the program; undefined for the real one. */
  readonly variant: string | undefined;
  /** Puts the links' delays, and cuts, between the daemons. */
  readonly links: boolean;
}

/** A running deployment. */
export class BenchFleet {
  readonly fleet = new Fleet();
  readonly daemonIds: readonly string[];
  readonly #options: BenchFleetOptions;
  #keys: readonly string[] = [];

  constructor(options: BenchFleetOptions) {
    this.#options = options;
    this.daemonIds = options.deployment.failureDomains.flatMap((_, domain) =>
      Array.from(
        {length: DAEMONS_PER_DOMAIN},
        (__, index) => `d${domain + 1}${index + 1}`,
      ),
    );
  }

  /** Keys of the customers, in their order. */
  get keys(): readonly string[] {
    return this.#keys;
  }

  async start(rates: readonly CustomerRate[]): Promise<void> {
    const {deployment, links, variant} = this.#options;
    await this.fleet.startStore();
    if (links) {
      await this.fleet.startNetwork(this.daemonIds, deployment.linkDelayMs);
    }
    const [first = '', ...others] = this.daemonIds;
    const start = (id: string) =>
      this.fleet.startDaemon({
        id,
        failureDomain: deployment.failureDomains[domainOf(id)] ?? '',
        mutant: variant,
      });
    await start(first);
    await Promise.all(others.map(start));
    await Promise.all(this.#instanceIds().map(id => this.startInstance(id)));
    await this.#configure(first, rates);
  }

  /** Instances of a service are spread over failure domains and daemons. */
  async startInstance(id: string): Promise<void> {
    const {deployment} = this.#options;
    const dash = id.lastIndexOf('-');
    const serviceId = id.slice(0, dash);
    const home = Number(id.slice(dash + 1)) % this.daemonIds.length;
    const own = this.daemonIds[home] ?? '';
    const siblings = this.daemonIds.filter(
      other => other !== own && domainOf(other) === domainOf(own),
    );
    const service = deployment.services.find(s => s.id === serviceId);
    await this.fleet.startInstance({
      id,
      service: serviceId,
      daemons: [own, ...siblings],
      slots: deployment.slots,
      serviceMs: service?.workMs ?? 0,
    });
  }

  #instanceIds(): readonly string[] {
    return this.#options.deployment.services.flatMap(({id, instances}) =>
      Array.from({length: instances}, (_, index) => `${id}-${index}`),
    );
  }

  async #configure(
    daemon: string,
    rates: readonly CustomerRate[],
  ): Promise<void> {
    const {services} = this.#options.deployment;
    const sheet = [
      'kind;id;name;ratePerSecond;burst;floor;path;service;idempotent',
      ...rates.map(
        ({ratePerSecond, burst}, index) =>
          `customer;c${index + 1};c${index + 1};${ratePerSecond};${burst};;;;`,
      ),
      ...services.map(
        ({id, instances}) => `service;${id};;;;${instances / 2};;;`,
      ),
      ...services.map(
        ({id, method}) =>
          `route;${id};;;;;/${id};${id};${method === 'POST' ? 'no' : 'yes'}`,
      ),
    ];
    await this.fleet.applySheet(daemon, sheet.join('\r\n'));
    const keys: string[] = [];
    for (const [index] of rates.entries()) {
      keys.push(await this.fleet.issueKey(daemon, `c${index + 1}`));
    }
    this.#keys = keys;
    await until('the fleet is complete', () => this.#complete(), SETTLE_MS);
  }

  async #complete(): Promise<boolean> {
    const {deployment} = this.#options;
    const all = await Promise.all(
      this.daemonIds.map(id => this.fleet.status(id)),
    );
    const newest = Math.max(...all.map(({revision}) => revision));
    return all.every(
      ({members, revision}) =>
        revision === newest &&
        members.length === this.daemonIds.length &&
        deployment.services.every(({id, instances}) => {
          const slots = members.map(member => member.slots[id] ?? 0);
          const sum = slots.reduce((a, b) => a + b, 0);
          return sum === instances * deployment.slots;
        }),
    );
  }

  /** Carries out one event; what it started goes on until `endAtMs`. */
  async carryOut(
    event: ScenarioEvent,
    random: () => number,
    watch: GradeWatch,
    endAtMs: number,
  ): Promise<void> {
    const handle = HANDLERS[event.kind] as Handler<ScenarioEvent>;
    const {deployment} = this.#options;
    await handle({bench: this, deployment, random, watch, endAtMs}, event);
  }
}

interface Context {
  readonly bench: BenchFleet;
  readonly deployment: Deployment;
  readonly random: () => number;
  readonly watch: GradeWatch;
  /** Monotonic clock, milliseconds. */
  readonly endAtMs: number;
}

type Handler<Event> = (context: Context, event: Event) => Promise<void>;
type EventOf<Kind extends ScenarioEvent['kind']> = Extract<
  ScenarioEvent,
  {readonly kind: Kind}
>;

const HANDLERS: {
  readonly [Kind in ScenarioEvent['kind']]: Handler<EventOf<Kind>>;
} = {
  instance: async ({bench, deployment, random, watch, endAtMs}, event) => {
    const service = deployment.services[event.service];
    if (!service) return;
    const picked = Math.floor(random() * service.instances);
    const id = `${service.id}-${event.index ?? picked}`;
    const {address} = bench.fleet.instance(id);
    if (event.failing) watch.markFailing(id);
    await bench.fleet.setFaults(address, event.faults);
    if (event.flapMs === undefined) return;
    for (let on = false; performance.now() + event.flapMs < endAtMs; on = !on) {
      await sleep(event.flapMs);
      await bench.fleet.setFaults(address, on ? event.faults : {});
    }
  },
  store: ({bench}, event) =>
    bench.fleet.setFaults(bench.fleet.storeAddress, event.faults),
  cutOneWay: async ({bench}, event) => {
    const cut = bench.daemonIds.filter(id => domainOf(id) === event.domain);
    const rest = bench.daemonIds.filter(id => !cut.includes(id));
    const pairs = cut.flatMap(from => rest.map(to => [from, to] as const));
    await Promise.all(
      pairs.map(([from, to]) => bench.fleet.network.cutOneWay(from, to)),
    );
  },
  rollingRestart: async ({bench, endAtMs}) => {
    for (const id of bench.daemonIds) {
      if (performance.now() > endAtMs) return;
      await bench.fleet.daemon(id).process.end('SIGTERM');
      await bench.fleet.restartDaemon(id);
    }
  },
  coldStarts: async ({bench, deployment}, {slowFactor, forMs}) => {
    const ids = deployment.services.map(({id}) => `${id}-0`);
    await Promise.all(
      ids.map(async id => {
        await bench.fleet.instance(id).process.end('SIGKILL');
        await bench.startInstance(id);
        const {address} = bench.fleet.instance(id);
        await bench.fleet.setFaults(address, {slowFactor});
        await sleep(forMs);
        await bench.fleet.setFaults(address, {});
      }),
    );
  },
};

function domainOf(id: string): number {
  return Number(id.slice(1, 2)) - 1;
}
