/**
 * The instances that announced themselves to this daemon. An announcement
 * lapses unless it is renewed; a draining instance receives no new work.
 */
import {Pool, type Dispatcher} from 'undici';
import {z} from 'zod';

/** What an instance says about itself. */
export const announcementSchema = z.strictObject({
  service: z.string().min(1).max(64),
  address: z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/),
  slots: z.int().min(1).max(10_000),
  /** The vendor's format of load reports. */
  format: z.string().max(32).default('none'),
  probePath: z.string().startsWith('/').max(256).optional(),
  draining: z.boolean().default(false),
});

export type Announcement = Readonly<z.infer<typeof announcementSchema>>;

/** An instance behind this gate. */
export interface Instance {
  readonly id: string;
  readonly announcement: Announcement;
  readonly dispatcher: Dispatcher;
  /** Last renewal; monotonic clock, milliseconds. */
  readonly renewedAtMs: number;
  /** Requests that hold a slot now. */
  busy: number;
}

/** How long an announcement holds without a renewal. */
export const ANNOUNCEMENT_TTL_MS = 3000;

/** How long an instance that was sent away still gets work from here. */
const HANDOVER_MS = 1000;

const CONNECT_TIMEOUT_MS = 500;
const KEEP_ALIVE_MS = 4000;

/** The table of instances of one gate. */
export class Instances {
  readonly #instances = new Map<string, Instance>();
  readonly #onChange: () => void;
  #timer: NodeJS.Timeout | undefined;
  readonly #sentAway = new Map<string, NodeJS.Timeout>();
  #isLeaving = false;

  constructor(onChange: () => void) {
    this.#onChange = onChange;
  }

  start(): void {
    this.#timer = setInterval(() => this.#sweep(), ANNOUNCEMENT_TTL_MS / 4);
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    this.#sentAway.forEach(timer => clearTimeout(timer));
    const all = [...this.#instances.values()];
    await Promise.all(all.map(instance => instance.dispatcher.close()));
  }

  /**
   * From now on every instance is sent away when it renews. It gets work from
   * here until others have surely heard of it.
   */
  leave(): void {
    this.#isLeaving = true;
  }

  /** Takes in or renews an instance; false if it is to announce elsewhere. */
  announce(id: string, announcement: Announcement): boolean {
    if (this.#isLeaving) this.#sendAway(id);
    else this.#put(id, announcement);
    return !this.#isLeaving;
  }

  #sendAway(id: string): void {
    if (this.#sentAway.has(id)) return;
    const retire = () => {
      const instance = this.#instances.get(id);
      if (instance) this.#put(id, {...instance.announcement, draining: true});
    };
    this.#sentAway.set(id, setTimeout(retire, HANDOVER_MS));
  }

  #put(id: string, announcement: Announcement): void {
    const last = this.#instances.get(id);
    const same = last?.announcement.address === announcement.address;
    if (last && !same) void last.dispatcher.close();
    this.#instances.set(id, {
      id,
      announcement,
      dispatcher: last && same ? last.dispatcher : makePool(announcement),
      renewedAtMs: performance.now(),
      busy: last && same ? last.busy : 0,
    });
    this.#onChange();
  }

  /** Removes an instance that says goodbye. */
  withdraw(id: string): void {
    void this.#instances.get(id)?.dispatcher.close();
    this.#instances.delete(id);
    this.#onChange();
  }

  /** Instances of a service that may receive new work now. */
  inService(service: string): readonly Instance[] {
    return this.all().filter(
      instance =>
        instance.announcement.service === service && mayReceiveWork(instance),
    );
  }

  all(): readonly Instance[] {
    return [...this.#instances.values()];
  }

  /** Changes the number of requests that hold a slot. */
  occupy(id: string, by: 1 | -1): void {
    const instance = this.#instances.get(id);
    if (instance) instance.busy = Math.max(0, instance.busy + by);
  }

  #sweep(): void {
    this.all()
      .filter(instance => !isFresh(instance))
      .forEach(instance => this.withdraw(instance.id));
  }
}

function isFresh(instance: Instance): boolean {
  return performance.now() - instance.renewedAtMs < ANNOUNCEMENT_TTL_MS;
}

/** True if an instance is announced, fresh and not draining. */
export function mayReceiveWork(instance: Instance): boolean {
  return isFresh(instance) && !instance.announcement.draining;
}

function makePool(announcement: Announcement): Pool {
  return new Pool(`http://${announcement.address}`, {
    connections: announcement.slots,
    pipelining: 1,
    connect: {timeout: CONNECT_TIMEOUT_MS},
    keepAliveTimeout: KEEP_ALIVE_MS,
    maxRedirections: 0,
  } as Pool.Options);
}
