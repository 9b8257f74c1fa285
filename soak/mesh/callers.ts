/**
 * Callers of one daemon. They send at a steady rate, keep their connections,
 * and record the outcome of each request.
 */
import {randomUUID} from 'node:crypto';
import {Agent, request} from 'node:http';
import type {ServiceRoute} from '../../features/support/platform_documents.js';
import {HEADER_NAMES as NAMES} from '../../platform/names.js';
import {
  addressOf,
  ROUTES,
  UPLOAD_ROUTE,
  type FleetOptions,
  type SoakVm,
} from './fleet_plan.js';

/** The outcome of a request, as its caller saw it. */
export interface Answer {
  /** The index of the VM whose daemon was called. */
  readonly vm: number;
  readonly sentAtUnixMs: number;
  readonly tookMs: number;
  /** 0 if there was no response. */
  readonly status: number;
  readonly isUpload: boolean;
}

/** How long a caller waits for a response. */
const PATIENCE_MS = 4500;
/** Of the logarithm of the size of an upload. */
const UPLOAD_SIZE_DEVIATION = 0.6;
const SMALL_BODY = Buffer.from('amount=1');

/** Sends requests to one daemon until it is stopped. */
export class SteadyCallers {
  readonly #vm: SoakVm;
  readonly #options: FleetOptions;
  readonly #agent = new Agent({keepAlive: true});
  readonly #timers: readonly NodeJS.Timeout[];
  readonly #uploadBytes: Buffer;
  readonly #pending = new Set<Promise<void>>();
  readonly answers: Answer[] = [];

  /** `uploadBytes` is what the bodies of uploads are taken from. */
  constructor(vm: SoakVm, options: FleetOptions, uploadBytes: Buffer) {
    this.#vm = vm;
    this.#options = options;
    this.#uploadBytes = uploadBytes;
    const {requestsPerS, uploadsPerS} = options;
    const route = ROUTES.find(({service}) => service === vm.calledService);
    const send = () => this.#track(this.#send(route, SMALL_BODY));
    const sendUpload = () =>
      this.#track(this.#send(UPLOAD_ROUTE, this.#newUpload()));
    this.#timers = [
      repeatAt(requestsPerS, send),
      repeatAt(uploadsPerS, sendUpload),
    ].flat();
  }

  /** Sends nothing more, and waits for the responses to what was sent. */
  async stop(): Promise<void> {
    this.#timers.forEach(timer => clearInterval(timer));
    await Promise.all(this.#pending);
    this.#agent.destroy();
  }

  #track(request: Promise<void>): void {
    this.#pending.add(request);
    void request.then(() => this.#pending.delete(request));
  }

  /** The sizes of uploads have a log-normal distribution. */
  #newUpload(): Buffer {
    const {uploadBytes, maxUploadBytes} = this.#options;
    const mean = Math.log(uploadBytes) - UPLOAD_SIZE_DEVIATION ** 2 / 2;
    const bytes = Math.exp(mean + UPLOAD_SIZE_DEVIATION * randomNormal());
    return this.#uploadBytes.subarray(0, Math.min(bytes, maxUploadBytes));
  }

  async #send(route: ServiceRoute | undefined, body: Buffer): Promise<void> {
    const sentAtUnixMs = Date.now();
    const status = await this.#post(route, body);
    this.answers.push({
      vm: this.#vm.index,
      sentAtUnixMs,
      tookMs: Date.now() - sentAtUnixMs,
      status,
      isUpload: route === UPLOAD_ROUTE,
    });
  }

  #post(route: ServiceRoute | undefined, body: Buffer): Promise<number> {
    const {key} = this.#vm;
    const [host, port] = addressOf(this.#vm, 'callers').split(':');
    return new Promise(resolve => {
      const req = request({
        host,
        port,
        method: 'POST',
        path: `${route?.prefix}run`,
        agent: this.#agent,
        signal: AbortSignal.timeout(PATIENCE_MS),
        headers: {
          host: route?.host,
          [NAMES.requestId]: randomUUID(),
          [NAMES.deadline]: String(PATIENCE_MS),
          ...(key !== undefined && {[NAMES.key]: key}),
        },
      });
      req.on('response', res => {
        res.resume();
        res.on('end', () => resolve(res.statusCode ?? 0));
        res.on('error', () => resolve(0));
      });
      req.on('error', () => resolve(0));
      req.end(body);
    });
  }
}

function repeatAt(timesPerS: number, act: () => void): NodeJS.Timeout[] {
  return timesPerS > 0 ? [setInterval(act, 1000 / timesPerS)] : [];
}

/** A standard normal number (Box and Muller). */
function randomNormal(): number {
  const radius = Math.sqrt(-2 * Math.log(1 - Math.random()));
  return radius * Math.cos(2 * Math.PI * Math.random());
}
