/**
 * One HTTP exchange with another daemon's gate over undici. It reports with
 * certainty whether any byte of the request may have been sent: a failure
 * before that point means that the request did not run.
 */
import {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import {reasonOf} from '../errors/failure.js';
import {findFieldFault} from '../http/field_syntax.js';
import type {RequestBody} from './body.js';

/** Interim response status which reports that the work has started. */
export const PROCESSING = 102;

export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: RequestBody | undefined;
  readonly signal: AbortSignal;
  /** Timeout for the response headers. */
  readonly headersTimeoutMs: number;
  /** Called right before the first byte is sent; false aborts the exchange. */
  readonly mayStart: () => boolean;
  /** Called when the other side reports that the work has started. */
  readonly onProcessing?: () => void;
}

export interface ExchangeResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Readable;
}

/** The exchange ended before the response headers arrived. */
export class ExchangeError extends Error {
  /** True if bytes of the request may have been sent. */
  readonly hasStarted: boolean;
  /** True if the response headers did not arrive in time. */
  readonly hasTimedOut: boolean;

  constructor(
    hasStarted: boolean,
    hasTimedOut: boolean,
    reason: string,
    cause?: unknown,
  ) {
    super(reason, {cause});
    this.name = 'ExchangeError';
    this.hasStarted = hasStarted;
    this.hasTimedOut = hasTimedOut;
  }
}

type Controller = Dispatcher.DispatchController;

/** Receives undici's callbacks and streams the body with backpressure. */
class ResponseHandler implements Dispatcher.DispatchHandler {
  readonly #request: ExchangeRequest;
  readonly #resolve: (response: ExchangeResponse) => void;
  readonly #reject: (err: ExchangeError) => void;
  #controller: Controller | undefined;
  #body: Readable | undefined;
  #hasStarted = false;
  #isDone = false;
  #hasTimedOut = false;
  readonly #timer: NodeJS.Timeout;

  constructor(
    request: ExchangeRequest,
    resolve: (response: ExchangeResponse) => void,
    reject: (err: ExchangeError) => void,
  ) {
    this.#request = request;
    this.#resolve = resolve;
    this.#reject = reject;
    this.#timer = setTimeout(() => this.#onTimeout(), request.headersTimeoutMs);
  }

  onRequestStart(controller: Controller): void {
    // undici retries a request that it considers unsent; it must not run twice.
    if (this.#hasStarted) {
      controller.abort(new Error('request was already sent once'));
      return;
    }
    this.#controller = controller;
    const {signal, mayStart} = this.#request;
    if (this.#hasTimedOut || signal.aborted || !mayStart()) {
      controller.abort(new Error('request is not allowed to start'));
      return;
    }
    this.#hasStarted = true;
    this.#request.signal.addEventListener('abort', this.#onAbort, {once: true});
  }

  onResponseStart(controller: Controller, status: number): void {
    if (status === PROCESSING) this.#request.onProcessing?.();
    if (status < 200) return;
    clearTimeout(this.#timer);
    const rawHeaders = (controller.rawHeaders ?? []) as readonly Buffer[];
    const headers = rawHeaders.map(field => field.toString('latin1'));
    const fault = findFieldFault(headers);
    if (fault) {
      controller.abort(new Error(`invalid response field ${fault.field}`));
      return;
    }
    this.#body = new Readable({
      read: () => controller.resume(),
      destroy: (err, callback) => {
        if (!this.#isDone) controller.abort(err ?? new Error('body discarded'));
        callback(err);
      },
    });
    this.#resolve({
      status,
      headers,
      body: this.#body,
    });
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    if (this.#body?.push(chunk) === false) controller.pause();
  }

  onResponseEnd(): void {
    this.#cleanUp();
    this.#body?.push(null);
  }

  onResponseError(_controller: Controller, err: Error): void {
    this.#cleanUp();
    if (this.#body) {
      this.#body.destroy(err);
      return;
    }
    const reason = reasonOf(err);
    this.#reject(
      new ExchangeError(this.#hasStarted, this.#hasTimedOut, reason, err),
    );
  }

  readonly #onAbort = () => {
    this.#controller?.abort(new Error('cancelled'));
  };

  /** If the request has not started yet, `onRequestStart` aborts it. */
  #onTimeout(): void {
    this.#hasTimedOut = true;
    this.#controller?.abort(new Error('response headers timed out'));
  }

  #cleanUp(): void {
    this.#isDone = true;
    clearTimeout(this.#timer);
    this.#request.signal.removeEventListener('abort', this.#onAbort);
  }
}

/** Sends one request; throws `ExchangeError` if no response arrives. */
export function exchange(
  dispatcher: Dispatcher,
  request: ExchangeRequest,
): Promise<ExchangeResponse> {
  return new Promise((resolve, reject) => {
    const handler = new ResponseHandler(request, resolve, reject);
    dispatcher.dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: [...request.headers],
        // undici sends an iterable unchanged, but its types don't allow one.
        body: (request.body?.open() ?? null) as Buffer | null,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      handler,
    );
  });
}
