/**
 * Client of the platform's key-value service over HTTP and JSON. After a call
 * that failed, the following calls go to the next address. A call whose
 * response is lost throws `storeUnavailable`, because it may have taken effect.
 */
import {Agent, request, type Dispatcher} from 'undici';
import {Failure, reasonOf} from '../errors/failure.js';
import type {Store, StoredValue, SwapResult, WatchResult} from './store.js';

/** Options of {@link HttpStore}. */
export interface HttpStoreOptions {
  readonly urls: readonly string[];
  readonly token: string;
  readonly timeoutMs: number;
}

interface Call {
  readonly operation: string;
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly body?: unknown;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

const CONNECTIONS_PER_URL = 4;

/** Implements {@link Store} over HTTP. */
export class HttpStore implements Store {
  readonly #options: HttpStoreOptions;
  readonly #agent: Agent;
  #urlIndex = 0;

  constructor(options: HttpStoreOptions) {
    this.#options = options;
    this.#agent = new Agent({
      connections: CONNECTIONS_PER_URL,
      connect: {timeout: options.timeoutMs},
    });
  }

  async get(key: string): Promise<StoredValue | undefined> {
    const answer = await this.#call({
      operation: `get ${key}`,
      method: 'GET',
      path: `/v1/values/${encodeURIComponent(key)}`,
    });
    if (answer.status === 404) return undefined;
    return answer.body as StoredValue;
  }

  async list(prefix: string): Promise<readonly StoredValue[]> {
    const answer = await this.#call({
      operation: `list ${prefix}`,
      method: 'GET',
      path: `/v1/values?prefix=${encodeURIComponent(prefix)}`,
    });
    return (answer.body as {values: readonly StoredValue[]}).values;
  }

  async compareAndSwap(
    key: string,
    expected: number,
    value: string,
    leaseId?: string,
  ): Promise<SwapResult> {
    const answer = await this.#call({
      operation: `compare-and-swap ${key}`,
      method: 'PUT',
      path: `/v1/values/${encodeURIComponent(key)}`,
      body: {expected, value, leaseId},
    });
    return answer.body as SwapResult;
  }

  async remove(key: string, expected: number): Promise<SwapResult> {
    const answer = await this.#call({
      operation: `remove ${key}`,
      method: 'DELETE',
      path: `/v1/values/${encodeURIComponent(key)}?expected=${expected}`,
    });
    return answer.body as SwapResult;
  }

  async grantLease(ttlMs: number): Promise<string> {
    const answer = await this.#call({
      operation: 'grant lease',
      method: 'POST',
      path: '/v1/leases',
      body: {ttlMs},
    });
    return (answer.body as {id: string}).id;
  }

  async renewLease(leaseId: string): Promise<boolean> {
    const answer = await this.#call({
      operation: 'renew lease',
      method: 'POST',
      path: `/v1/leases/${leaseId}/renewals`,
    });
    return answer.status !== 404;
  }

  async revokeLease(leaseId: string): Promise<void> {
    await this.#call({
      operation: 'revoke lease',
      method: 'DELETE',
      path: `/v1/leases/${leaseId}`,
    });
  }

  async watch(
    prefix: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<WatchResult> {
    const answer = await this.#call({
      operation: `watch ${prefix}`,
      method: 'GET',
      path:
        `/v1/watch?prefix=${encodeURIComponent(prefix)}` +
        `&after=${revision}&waitMs=${waitMs}`,
      timeoutMs: waitMs + this.#options.timeoutMs,
      signal,
    });
    return answer.body as WatchResult;
  }

  /** Aborts calls in flight and closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #call(call: Call): Promise<Answer> {
    try {
      return await this.#send(call);
    } catch (err) {
      this.#urlIndex = (this.#urlIndex + 1) % this.#options.urls.length;
      if (err instanceof Failure) throw err;
      const reason = reasonOf(err);
      throw new Failure(
        'storeUnavailable',
        {operation: call.operation, reason},
        err,
      );
    }
  }

  async #send(call: Call): Promise<Answer> {
    const timeoutMs = call.timeoutMs ?? this.#options.timeoutMs;
    const url = new URL(call.path, this.#options.urls[this.#urlIndex]);
    const timeout = AbortSignal.timeout(timeoutMs);
    const res = await request(url, {
      method: call.method,
      dispatcher: this.#agent,
      headers: {
        authorization: `Bearer ${this.#options.token}`,
        'content-type': 'application/json',
      },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal: call.signal ? AbortSignal.any([call.signal, timeout]) : timeout,
    });
    const text = await res.body.text();
    this.#checkStatus(call, res.statusCode, text);
    return {
      status: res.statusCode,
      body: text === '' ? undefined : JSON.parse(text),
    };
  }

  #checkStatus(call: Call, status: number, text: string): void {
    const expected = status < 300 || status === 404 || status === 412;
    if (expected) return;
    if (status >= 500) {
      const reason = `status ${status}`;
      throw new Failure('storeUnavailable', {
        operation: call.operation,
        reason,
      });
    }
    throw new Failure('storeRejected', {
      operation: call.operation,
      status,
      reason: text.slice(0, 200),
    });
  }
}
