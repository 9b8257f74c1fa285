/**
 * Receives bodies in parts on one connection between daemons. A body is accepted
 * only with a grant for all of it, so that it never waits for memory halfway.
 * Without room it waits for a moment, and only a few bodies wait at a time.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {allocateLarge} from '../../http/large_buffer.js';
import {ResponseTimeout} from '../../timing/response_timeout.js';
import type {MemoryGrant} from '../limits/memory_budget.js';
import {TRANSFER_STALL_MS} from './body_sender.js';

/** Sent to the peer that sends a body. */
export interface ReceiptFrame {
  readonly kind: 'body-accept' | 'body-ack';
  readonly id: number;
}

/** Options of {@link BodyReceiver}. */
export interface BodyReceiverOptions {
  /** Undefined if there is no room now. */
  readonly reserve: (bytes: number) => MemoryGrant | undefined;
  /** A larger body never gets a grant. */
  readonly maxBodyBytes: number;
  /** How long a body waits for a grant, in milliseconds. */
  readonly maxWaitMs: number;
  readonly send: (frame: ReceiptFrame) => void;
}

/** A whole body with its grant, or why there is none. */
export type ReceivedBody =
  | {
      readonly kind: 'whole';
      readonly bytes: Buffer;
      readonly grant: MemoryGrant;
    }
  | {readonly kind: 'no-memory' | 'withdrawn' | 'stalled' | 'invalid'};

const RETRY_INTERVAL_MS = 50;
/** Bodies on one connection that wait for memory; each one keeps its request. */
const MAX_WAITING = 16;

interface Assembly {
  readonly bytes: Buffer;
  readonly end: (why: 'whole' | 'withdrawn' | 'stalled') => void;
  receivedBytes: number;
}

/** The peer sent more than it announced. */
export class BodySizeError extends Error {}

/** The bodies that this daemon receives on one connection. */
export class BodyReceiver {
  readonly #options: BodyReceiverOptions;
  readonly #assemblies = new Map<number, Assembly>();
  #waiting = 0;
  #stall: ResponseTimeout | undefined;

  constructor(options: BodyReceiverOptions) {
    this.#options = options;
  }

  /** Accepts a body if there is room; resolves when it is whole or given up. */
  async receive(
    id: number,
    bodyBytes: number,
    signal: AbortSignal,
  ): Promise<ReceivedBody> {
    if (!Number.isSafeInteger(bodyBytes) || bodyBytes <= 0) {
      return {kind: 'invalid'};
    }
    const grant = await this.#reserve(bodyBytes, signal);
    if (signal.aborted) {
      grant?.release();
      return {kind: 'withdrawn'};
    }
    if (!grant) return {kind: 'no-memory'};
    const bytes = allocateLarge(bodyBytes);
    const kind = await this.#assemble(id, bytes, signal);
    if (kind === 'whole') return {kind, bytes, grant};
    grant.release();
    return {kind};
  }

  /**
   * Copies one part, and acknowledges it also if the body was given up. Throws
   * {@link BodySizeError} if the body would exceed its announced size.
   */
  add(id: number, part: Uint8Array): void {
    const assembly = this.#assemblies.get(id);
    this.#options.send({kind: 'body-ack', id});
    if (!assembly) return;
    const {bytes, receivedBytes} = assembly;
    const totalBytes = receivedBytes + part.length;
    if (totalBytes > bytes.length) {
      throw new BodySizeError(`a body of ${bytes.length} bytes is exceeded`);
    }
    bytes.set(part, receivedBytes);
    assembly.receivedBytes = totalBytes;
    this.#watch();
    if (totalBytes === bytes.length) assembly.end('whole');
  }

  /** The connection is lost. */
  cancelAll(): void {
    [...this.#assemblies.values()].forEach(({end}) => end('withdrawn'));
  }

  async #reserve(
    bodyBytes: number,
    signal: AbortSignal,
  ): Promise<MemoryGrant | undefined> {
    const {reserve, maxBodyBytes, maxWaitMs} = this.#options;
    if (bodyBytes > maxBodyBytes) return undefined;
    const endMs = performance.now() + maxWaitMs;
    let grant = reserve(bodyBytes);
    if (grant || this.#waiting >= MAX_WAITING) return grant;
    this.#waiting += 1;
    while (!grant && !signal.aborted && performance.now() < endMs) {
      await sleep(RETRY_INTERVAL_MS);
      grant = reserve(bodyBytes);
    }
    this.#waiting -= 1;
    return grant;
  }

  #assemble(
    id: number,
    bytes: Buffer,
    signal: AbortSignal,
  ): Promise<'whole' | 'withdrawn' | 'stalled'> {
    return new Promise(resolve => {
      const end: Assembly['end'] = why => {
        signal.removeEventListener('abort', onAbort);
        this.#assemblies.delete(id);
        if (this.#assemblies.size === 0) this.#watch();
        resolve(why);
      };
      const onAbort = () => end('withdrawn');
      signal.addEventListener('abort', onAbort, {once: true});
      this.#assemblies.set(id, {bytes, end, receivedBytes: 0});
      this.#watch();
      this.#options.send({kind: 'body-accept', id});
    });
  }

  /** Bodies take turns, so a part of any of them shows that the peer goes on. */
  #watch(): void {
    this.#stall?.cancel();
    this.#stall = undefined;
    if (this.#assemblies.size === 0) return;
    this.#stall = new ResponseTimeout(TRANSFER_STALL_MS, () =>
      [...this.#assemblies.values()].forEach(({end}) => end('stalled')),
    );
  }
}
