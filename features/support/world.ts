/** What the steps of one scenario share. */
import {
  After,
  setDefaultTimeout,
  setWorldConstructor,
} from '@cucumber/cucumber';
import {Fleet, type DaemonStatus} from './fleet.js';

const STEP_TIMEOUT_MS = 60_000;

/** An answer that a caller got. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly text: string;
}

/** The state of one scenario. */
export class World {
  readonly fleet = new Fleet();
  /** Keys by customer. */
  readonly keys = new Map<string, string>();
  /** Ids of the keys, by customer. */
  readonly keyIds = new Map<string, string>();
  answers: readonly CallerAnswer[] = [];

  /** What every daemon reports of itself. */
  statuses(): Promise<readonly DaemonStatus[]> {
    const ids = [...this.fleet.daemons.keys()];
    return Promise.all(ids.map(id => this.fleet.status(id)));
  }

  /** Sends one request to a daemon's callers' port. */
  async request(
    daemonId: string,
    path: string,
    init: RequestInit = {},
  ): Promise<CallerAnswer> {
    const {callers} = this.fleet.daemon(daemonId).addresses;
    const res = await fetch(`http://${callers}${path}`, init);
    return {
      status: res.status,
      headers: res.headers,
      text: await res.text(),
    };
  }
}

setDefaultTimeout(STEP_TIMEOUT_MS);
setWorldConstructor(World);
After(async function (this: World) {
  await this.fleet.stop();
});
