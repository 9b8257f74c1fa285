/**
 * Reads responses of the instance under the memory budget. What has no grant
 * isn't read: the response is paused until bytes come free, and given up if
 * none do soon.
 */
import type {IncomingMessage} from 'node:http';
import {BodyBuffer} from '../../http/body_buffer.js';
import {allocateLarge} from '../../http/large_buffer.js';
import {
  ResponseTooLongError,
  TruncationError,
  isFramed,
  type ResetCheck,
} from '../../http/single_use_connection.js';
import type {MemoryGrant} from '../limits/memory_budget.js';
import type {ResponseMemory} from '../limits/response_memory.js';

/** A response of the instance. */
export interface RawResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Reason of a run whose response found no room. */
export const NO_MEMORY_REASON = 'no-memory';

/**
 * Largest response body: half of what a frame between daemons may carry, so
 * that the responses of all slots fit into the memory of a small VM.
 */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/** First grant of a response without a length, and its growth. */
const GROWTH_BYTES = 65_536;
/**
 * How long a response waits for a grant, and how often it tries. Its slot stays
 * in use, so a longer wait would delay the small responses behind it.
 */
const MAX_WAIT_MS = 500;
const RETRY_INTERVAL_MS = 50;

/** No room for the response; what was read of it is discarded. */
export class NoMemoryError extends Error {
  readonly code = 'NO_MEMORY';

  constructor() {
    super(NO_MEMORY_REASON);
  }
}

/** Where responses get their grants. */
export type ResponseGrants = Pick<ResponseMemory, 'reserve'>;

/** What is known of a response that is to be read. */
export interface ReadContext {
  readonly method: string;
  readonly responses: ResponseGrants;
  readonly wasReset: ResetCheck;
  /** Called when the response waits for a grant. */
  readonly onWait?: () => void;
}

/**
 * Reads a response to its end; rejects if the connection ends first. The grant
 * goes when the promise settles: the router of this daemon then gets its own, in
 * the same turn of the event loop unless it looks for a slot for a repeat.
 */
export async function readResponse(
  res: IncomingMessage,
  context: ReadContext,
): Promise<RawResponse> {
  const reading = new ResponseReading(res, context);
  try {
    const response = await reading.read();
    if (!isFramed(res) && (await context.wasReset())) {
      throw new TruncationError('connection reset within the answer');
    }
    return response;
  } finally {
    reading.release();
  }
}

/** One response that is being read. */
class ResponseReading {
  readonly #res: IncomingMessage;
  readonly #context: ReadContext;
  readonly #announced: number | undefined;
  readonly #chunks = new BodyBuffer();
  #sized: Buffer | undefined;
  #receivedBytes = 0;
  #grant: MemoryGrant | undefined;
  #retry: NodeJS.Timeout | undefined;

  constructor(res: IncomingMessage, context: ReadContext) {
    this.#res = res;
    this.#context = context;
    const length = res.headers['content-length'];
    // Such a response may have the length of a body that isn't sent.
    const isWithoutBody = context.method === 'HEAD' || res.statusCode === 304;
    this.#announced =
      length === undefined || isWithoutBody ? undefined : Number(length);
  }

  read(): Promise<RawResponse> {
    const res = this.#res;
    return new Promise((resolve, reject) => {
      res.on('end', () => {
        if (!res.complete) {
          return reject(new TruncationError('answer cut short'));
        }
        if (!this.#holdJoined()) return reject(new NoMemoryError());
        const status = res.statusCode ?? 0;
        resolve({status, headers: res.rawHeaders, body: this.#join()});
      });
      res.on('error', reject);
      res.on('close', () => {
        if (res.complete) return;
        reject(new TruncationError('connection closed within the answer'));
      });
      this.#start();
    });
  }

  release(): void {
    clearTimeout(this.#retry);
    this.#grant?.release();
    this.#chunks.clear();
    this.#sized = undefined;
  }

  #start(): void {
    const firstBytes = this.#announced ?? GROWTH_BYTES;
    if (firstBytes > MAX_RESPONSE_BYTES) return this.#failTooLong();
    const endMs = performance.now() + MAX_WAIT_MS;
    const attempt = () => {
      if (this.#res.destroyed) return;
      if (this.#hold(firstBytes)) return this.#readOn();
      if (performance.now() >= endMs) return this.#fail(new NoMemoryError());
      this.#context.onWait?.();
      this.#retry = setTimeout(attempt, RETRY_INTERVAL_MS);
    };
    attempt();
  }

  #readOn(): void {
    this.#res.on('data', (chunk: Buffer) => this.#append(chunk));
  }

  #append(chunk: Buffer): void {
    const offset = this.#receivedBytes;
    this.#receivedBytes += chunk.length;
    if (this.#receivedBytes > MAX_RESPONSE_BYTES) return this.#failTooLong();
    if (this.#announced !== undefined) {
      // Its pages are taken from the system as they are written.
      this.#sized ??= allocateLarge(this.#announced);
      chunk.copy(this.#sized, offset);
      return;
    }
    const isHeld =
      this.#receivedBytes <= (this.#grant?.bytes ?? 0) ||
      this.#hold(this.#receivedBytes + GROWTH_BYTES);
    if (!isHeld) return this.#fail(new NoMemoryError());
    this.#chunks.append(chunk);
  }

  /** Joined, a body in chunks takes its size once more for a moment. */
  #holdJoined(): boolean {
    const isJoined = this.#announced !== undefined;
    const isSmall = this.#receivedBytes <= GROWTH_BYTES;
    return isJoined || isSmall || this.#hold(2 * this.#receivedBytes);
  }

  #join(): Buffer {
    if (this.#announced === undefined) return this.#chunks.toBuffer();
    return this.#sized?.subarray(0, this.#receivedBytes) ?? Buffer.alloc(0);
  }

  /** Replaces the grant by one of that many bytes. */
  #hold(bytes: number): boolean {
    this.#grant?.release();
    this.#grant = this.#context.responses.reserve(bytes);
    return this.#grant !== undefined;
  }

  #failTooLong(): void {
    this.#fail(new ResponseTooLongError('body without end'));
  }

  #fail(err: Error): void {
    this.#chunks.clear();
    this.#sized = undefined;
    this.#res.destroy(err);
  }
}
