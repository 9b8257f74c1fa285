/**
 * Probes instances that announced a probe path: one small GET a second, over
 * connections of its own, so that a probe never waits behind real work.
 */
import {Agent, request} from 'undici';
import type {Instance} from '../gate/instances.js';
import {readLoad} from './load_reports.js';

/** What a probe found. */
export interface ProbeResult {
  readonly good: boolean;
  /** Busy slots by the vendor's report, if it tells. */
  readonly busy: number | undefined;
}

const PROBE_TIMEOUT_MS = 500;
const MAX_TEXT = 65_536;

/** Sends probes. */
export class Prober {
  readonly #agent = new Agent({
    connections: 1,
    connect: {timeout: PROBE_TIMEOUT_MS},
  });

  /** Probes once; never throws. */
  async probe(instance: Instance): Promise<ProbeResult> {
    const {address, probePath, format} = instance.announcement;
    try {
      const answer = await request(`http://${address}${probePath ?? '/'}`, {
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      const text = await answer.body.text();
      const headers = answer.headers as Readonly<Record<string, string>>;
      const good = answer.statusCode >= 200 && answer.statusCode < 300;
      const report = {headers, text: text.slice(0, MAX_TEXT)};
      return {good, busy: readLoad(format, report)};
    } catch {
      return {good: false, busy: undefined};
    }
  }

  async stop(): Promise<void> {
    await this.#agent.destroy();
  }
}
