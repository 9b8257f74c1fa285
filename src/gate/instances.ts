/**
 * The instances that announced themselves to this daemon. An announcement
 * expires unless it is renewed; a draining instance gets no new work.
 */
import {z} from 'zod';

/** What an instance announces about itself. */
export const announcementSchema = z.strictObject({
  service: z.string().min(1).max(64),
  address: z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/),
  slots: z.int().min(1).max(10_000),
  /** Format of the load reports, which depends on the vendor. */
  format: z.string().max(32).default('none'),
  probePath: z.string().startsWith('/').max(256).optional(),
  draining: z.boolean().default(false),
});

export type Announcement = Readonly<z.infer<typeof announcementSchema>>;

export interface Instance {
  readonly id: string;
  readonly announcement: Announcement;
  /** Time of the last renewal; monotonic clock, milliseconds. */
  readonly renewedAtMs: number;
  /** Number of requests that currently hold a slot. */
  busy: number;
}

/** How long an announcement is valid without a renewal. */
export const ANNOUNCEMENT_TTL_MS = 3000;

/**
 * How long an instance still gets work from here after its renewal was refused,
 * until routers know about it from the daemon that it announces to next.
 */
const REDIRECT_GRACE_MS = 1000;

/** The instances of one gate. */
export class Instances {
  readonly #instances = new Map<string, Instance>();
  readonly #onChange: () => void;
  #timer: NodeJS.Timeout | undefined;
  readonly #drainTimers = new Map<string, NodeJS.Timeout>();
  #isRefusingRenewals = false;

  constructor(onChange: () => void) {
    this.#onChange = onChange;
  }

  start(): void {
    this.#timer = setInterval(
      () => this.#removeExpired(),
      ANNOUNCEMENT_TTL_MS / 4,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#drainTimers.forEach(timer => clearTimeout(timer));
  }

  /**
   * Refuses all renewals from now on, so that instances announce to other
   * daemons. An instance keeps getting work from here for a while, until
   * routers have certainly learned where it announced itself.
   */
  refuseRenewals(): void {
    this.#isRefusingRenewals = true;
  }

  /** Adds or renews an instance; false if it must announce elsewhere. */
  announce(id: string, announcement: Announcement): boolean {
    if (this.#isRefusingRenewals) this.#scheduleDrain(id);
    else this.#put(id, announcement);
    return !this.#isRefusingRenewals;
  }

  #scheduleDrain(id: string): void {
    if (this.#drainTimers.has(id)) return;
    const markDraining = () => {
      const instance = this.#instances.get(id);
      if (instance) this.#put(id, {...instance.announcement, draining: true});
    };
    this.#drainTimers.set(id, setTimeout(markDraining, REDIRECT_GRACE_MS));
  }

  #put(id: string, announcement: Announcement): void {
    const previous = this.#instances.get(id);
    const isSameAddress =
      previous?.announcement.address === announcement.address;
    this.#instances.set(id, {
      id,
      announcement,
      renewedAtMs: performance.now(),
      busy: previous && isSameAddress ? previous.busy : 0,
    });
    this.#onChange();
  }

  /** Removes an instance that withdrew or expired. */
  withdraw(id: string): void {
    this.#instances.delete(id);
    this.#onChange();
  }

  /** Instances of a service that may receive new work now. */
  availableFor(service: string): readonly Instance[] {
    return this.all().filter(
      instance =>
        instance.announcement.service === service && mayReceiveWork(instance),
    );
  }

  all(): readonly Instance[] {
    return [...this.#instances.values()];
  }

  changeBusy(id: string, delta: 1 | -1): void {
    const instance = this.#instances.get(id);
    if (instance) instance.busy = Math.max(0, instance.busy + delta);
  }

  #removeExpired(): void {
    this.all()
      .filter(instance => !isFresh(instance))
      .forEach(instance => this.withdraw(instance.id));
  }
}

function isFresh(instance: Instance): boolean {
  return performance.now() - instance.renewedAtMs < ANNOUNCEMENT_TTL_MS;
}

/** True if the announcement has not expired and the instance isn't draining. */
export function mayReceiveWork(instance: Instance): boolean {
  return isFresh(instance) && !instance.announcement.draining;
}
