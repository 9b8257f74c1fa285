/**
 * One HTTP exchange with an instance over undici. It reports with certainty
 * whether any byte of the request may have been sent: a failure before that
 * point means that the request did not run.
 */
import {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import {reasonOf} from '../errors/failure.js';
import type {RequestBody} from './body.js';

/** Interim response status which reports that the work has started. */
const PROCESSING = 102;

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

export interface ExchangeAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Readable;
}

/** The exchange ended before the response headers arrived. */
export class ExchangeError extends Error {
  /** True if bytes of the request may have been sent. */
  readonly started: boolean;
  /** True if the response headers did not arrive in time. */
  readonly timedOut: boolean;

  constructor(
    started: boolean,
    timedOut: boolean,
    reason: string,
    cause?: unknown,
  ) {
    super(reason, {cause});
    this.name = 'ExchangeError';
    this.started = started;
    this.timedOut = timedOut;
  }
}

type Controller = Dispatcher.DispatchController;

/** Receives undici's callbacks and streams the body with backpressure. */
class AnswerHandler implements Dispatcher.DispatchHandler {
  readonly #request: ExchangeRequest;
  readonly #resolve: (answer: ExchangeAnswer) => void;
  readonly #reject: (err: ExchangeError) => void;
  #controller: Controller | undefined;
  #body: Readable | undefined;
  #started = false;
  #ended = false;
  #timedOut = false;
  readonly #timer: NodeJS.Timeout;

  constructor(
    request: ExchangeRequest,
    resolve: (answer: ExchangeAnswer) => void,
    reject: (err: ExchangeError) => void,
  ) {
    this.#request = request;
    this.#resolve = resolve;
    this.#reject = reject;
    this.#timer = setTimeout(() => this.#timeOut(), request.headersTimeoutMs);
  }

  onRequestStart(controller: Controller): void {
    // undici retries a request that it considers unsent; it must not run twice.
    if (this.#started) {
      controller.abort(new Error('request was already sent once'));
      return;
    }
    this.#controller = controller;
    const {signal, mayStart} = this.#request;
    if (this.#timedOut || signal.aborted || !mayStart()) {
      controller.abort(new Error('request is not allowed to start'));
      return;
    }
    this.#started = true;
    this.#request.signal.addEventListener('abort', this.#abort, {once: true});
  }

  onResponseStart(controller: Controller, status: number): void {
    if (status === PROCESSING) this.#request.onProcessing?.();
    if (status < 200) return;
    clearTimeout(this.#timer);
    const headers = (controller.rawHeaders ?? []) as readonly Buffer[];
    this.#body = new Readable({
      read: () => controller.resume(),
      destroy: (err, callback) => {
        if (!this.#ended) controller.abort(err ?? new Error('body discarded'));
        callback(err);
      },
    });
    this.#resolve({
      status,
      headers: headers.map(field => field.toString('latin1')),
      body: this.#body,
    });
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    if (this.#body?.push(chunk) === false) controller.pause();
  }

  onResponseEnd(): void {
    this.#finish();
    this.#body?.push(null);
  }

  onResponseError(_controller: Controller, err: Error): void {
    this.#finish();
    if (this.#body) {
      this.#body.destroy(err);
      return;
    }
    const reason = reasonOf(err);
    this.#reject(new ExchangeError(this.#started, this.#timedOut, reason, err));
  }

  readonly #abort = () => {
    this.#controller?.abort(new Error('cancelled'));
  };

  /** If the request has not started yet, `onRequestStart` aborts it. */
  #timeOut(): void {
    this.#timedOut = true;
    this.#controller?.abort(new Error('response headers timed out'));
  }

  #finish(): void {
    this.#ended = true;
    clearTimeout(this.#timer);
    this.#request.signal.removeEventListener('abort', this.#abort);
  }
}

/** Sends one request; throws `ExchangeError` if no response arrives. */
export function exchange(
  dispatcher: Dispatcher,
  request: ExchangeRequest,
): Promise<ExchangeAnswer> {
  return new Promise((resolve, reject) => {
    const handler = new AnswerHandler(request, resolve, reject);
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
