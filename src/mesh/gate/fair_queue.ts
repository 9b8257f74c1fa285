/**
 * The order of the requests that wait for an instance. Priorities are strict.
 * Within a priority, customers are served by start-time fair queueing: the
 * virtual time of a customer advances by the expected hold time of each of its
 * requests, divided by its weight, and the customer with the lowest virtual time
 * is next. Within a customer, the request that is due first is next.
 *
 * Designed for a large customer at seven times its usual load while capacity is
 * short: its requests delay each other, not those of other customers.
 */

/** What decides the position of a request in the queue. */
export interface Place {
  /** 0 is more urgent than 1. */
  readonly priority: number;
  /** Requests without a customer share one group. */
  readonly customer?: string;
  readonly weight: number;
  /** Orders the requests of one customer; equal ones are served by age. */
  readonly dueAtMs: number;
  /** How long the request is expected to hold its slot; positive. */
  readonly costMs: number;
}

interface Entry<Item> {
  readonly item: Item;
  readonly place: Place;
}

/** The queued requests of one customer at one priority. */
interface Flow<Item> {
  readonly entries: Entry<Item>[];
  /** Virtual time at which its next request starts. */
  startTag: number;
}

/** A queue of items, each of which is added with its own `Place` object. */
export class FairQueue<Item> {
  readonly #levels = new Map<number, PriorityLevel<Item>>();

  get size(): number {
    return [...this.#levels.values()].reduce((sum, {size}) => sum + size, 0);
  }

  add(item: Item, place: Place): void {
    const {priority} = place;
    const level = this.#levels.get(priority) ?? new PriorityLevel<Item>();
    this.#levels.set(priority, level);
    level.add({item, place});
  }

  /** Removes and returns the item that is next. */
  take(): Item | undefined {
    const [first] = this.#sortedLevels();
    if (!first) return undefined;
    const [priority, level] = first;
    const item = level.take();
    if (level.size === 0) this.#levels.delete(priority);
    return item;
  }

  /** Removes the item with this place; false if it isn't in the queue. */
  remove(place: Place): boolean {
    const level = this.#levels.get(place.priority);
    if (!level?.remove(place)) return false;
    if (level.size === 0) this.#levels.delete(place.priority);
    return true;
  }

  /**
   * The places that would be served before a new one if nothing else arrived,
   * in the order of service.
   */
  ahead(place: Place): readonly Place[] {
    return this.#sortedLevels()
      .filter(([priority]) => priority <= place.priority)
      .flatMap(([priority, level]) =>
        priority === place.priority ? level.ahead(place) : level.places(),
      );
  }

  #sortedLevels(): readonly (readonly [number, PriorityLevel<Item>])[] {
    return [...this.#levels].toSorted(([a], [b]) => a - b);
  }
}

/**
 * The requests of one priority. The queue drops a level that is empty, so that
 * virtual time starts anew with the next request.
 */
class PriorityLevel<Item> {
  /** Customers that became active earlier come first. */
  readonly #flows = new Map<string | undefined, Flow<Item>>();
  /** Start tag of the request that was served last. */
  #virtualMs = 0;
  #size = 0;

  get size(): number {
    return this.#size;
  }

  add(entry: Entry<Item>): void {
    const {customer, dueAtMs} = entry.place;
    const flow = this.#flows.get(customer) ?? {entries: [], startTag: 0};
    if (flow.entries.length === 0) {
      // A customer that returns gets no credit for the time without requests.
      flow.startTag = Math.max(flow.startTag, this.#virtualMs);
      this.#flows.delete(customer);
      this.#flows.set(customer, flow);
    }
    const index = flow.entries.findLastIndex(e => e.place.dueAtMs <= dueAtMs);
    flow.entries.splice(index + 1, 0, entry);
    this.#size += 1;
  }

  take(): Item | undefined {
    const active = [...this.#flows.values()].filter(isBacklogged);
    const [first, ...others] = active;
    if (!first) return undefined;
    const flow = others.reduce(
      (a, b) => (b.startTag < a.startTag ? b : a),
      first,
    );
    const entry = flow.entries.shift();
    if (!entry) return undefined;
    this.#virtualMs = flow.startTag;
    flow.startTag += virtualCostMs(entry.place);
    this.#size -= 1;
    this.#forgetIdleFlows();
    return entry.item;
  }

  remove(place: Place): boolean {
    const entries = this.#flows.get(place.customer)?.entries ?? [];
    const index = entries.findIndex(entry => entry.place === place);
    if (index < 0) return false;
    entries.splice(index, 1);
    this.#size -= 1;
    this.#forgetIdleFlows();
    return true;
  }

  /** All places in the order of service. */
  places(): readonly Place[] {
    return sortByTag(this.#taggedPlaces()).map(({place}) => place);
  }

  ahead(place: Place): readonly Place[] {
    const {customer, dueAtMs} = place;
    const own = this.#flows.get(customer);
    const isActive = own !== undefined && isBacklogged(own);
    const rank = isActive
      ? [...this.#flows.keys()].indexOf(customer)
      : Infinity;
    const ownTag = (own?.entries ?? [])
      .filter(entry => entry.place.dueAtMs <= dueAtMs)
      .reduce(
        (tag, entry) => tag + virtualCostMs(entry.place),
        Math.max(own?.startTag ?? 0, this.#virtualMs),
      );
    const isAhead = (other: TaggedPlace) =>
      other.place.customer === customer
        ? other.place.dueAtMs <= dueAtMs
        : other.tag < ownTag || (other.tag === ownTag && other.rank < rank);
    return sortByTag(this.#taggedPlaces().filter(isAhead)).map(t => t.place);
  }

  #taggedPlaces(): readonly TaggedPlace[] {
    return [...this.#flows.values()].flatMap(({entries, startTag}, rank) => {
      let tag = startTag;
      return entries.map(({place}) => {
        const tagged = {place, tag, rank};
        tag += virtualCostMs(place);
        return tagged;
      });
    });
  }

  /** Keeps idle customers only while their virtual time is in the future. */
  #forgetIdleFlows(): void {
    [...this.#flows]
      .filter(([, f]) => !isBacklogged(f) && f.startTag <= this.#virtualMs)
      .forEach(([customer]) => this.#flows.delete(customer));
  }
}

interface TaggedPlace {
  readonly place: Place;
  readonly tag: number;
  /** Decides between equal tags. */
  readonly rank: number;
}

function isBacklogged({entries}: Flow<unknown>): boolean {
  return entries.length > 0;
}

function virtualCostMs({costMs, weight}: Place): number {
  return costMs / weight;
}

/** Stable, so that equal tags keep the order of their ranks. */
function sortByTag(places: readonly TaggedPlace[]): readonly TaggedPlace[] {
  return places.toSorted((a, b) => a.tag - b.tag);
}
