/**
 * Probes instances that announced a probe path with a small GET request, over
 * separate connections, so that a probe never queues behind real traffic.
 */
import {Agent, request} from 'undici';
import type {Instance} from '../gate/instances.js';
import {parseLoad} from './load_parsers.js';

/** The result of a probe. */
export interface ProbeResult {
  readonly isHealthy: boolean;
  /** Busy slots according to the load report, if there is one. */
  readonly busy: number | undefined;
}

const PROBE_TIMEOUT_MS = 500;
const MAX_BODY_CHARS = 65_536;

export class Prober {
  readonly #agent = new Agent({
    connections: 1,
    connect: {timeout: PROBE_TIMEOUT_MS},
  });

  /** Sends one probe; a failure is a result, never an exception. */
  async probe(instance: Instance): Promise<ProbeResult> {
    const {address, probePath, format} = instance.announcement;
    try {
      const res = await request(`http://${address}${probePath ?? '/'}`, {
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      const text = await res.body.text();
      const headers = res.headers as Readonly<Record<string, string>>;
      const isHealthy = res.statusCode >= 200 && res.statusCode < 300;
      const report = {headers, text: text.slice(0, MAX_BODY_CHARS)};
      return {isHealthy, busy: parseLoad(format, report)};
    } catch {
      return {isHealthy: false, busy: undefined};
    }
  }

  async stop(): Promise<void> {
    await this.#agent.destroy();
  }
}
