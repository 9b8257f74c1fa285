/**
 * Reads request bodies under the memory budget. What has no grant isn't read:
 * the request is paused until bytes come free, and refused if none do soon. A
 * body that the guard of the connections cuts off ends here too.
 */
import type {IncomingMessage} from 'node:http';
import {BodyBuffer} from '../../http/body_buffer.js';
import type {ConnectionGuard} from '../../http/connection_guard.js';
import type {BodyHolder, CutReason} from '../../http/guarded_connection.js';
import {allocateLarge} from '../../http/large_buffer.js';
import type {
  HolderKind,
  MemoryBudget,
  MemoryGrant,
} from '../limits/memory_budget.js';
import type {ResponseMemory} from '../limits/response_memory.js';

/** A body with its grant, or why there is none. */
export type ReadResult =
  | {
      readonly kind: 'whole';
      readonly bytes: Buffer;
      /** Undefined for a request without a body. */
      readonly grant: MemoryGrant | undefined;
    }
  | {readonly kind: 'broken' | 'too-large' | 'no-memory' | CutReason};

/** Options of {@link BodyReader}. */
export interface BodyReaderOptions {
  readonly budget: MemoryBudget;
  readonly guard: Pick<ConnectionGuard, 'connectionOf' | 'displace'>;
  /** Unread responses give way to bodies. */
  readonly responses: Pick<ResponseMemory, 'displaceOne'>;
}

/** Bodies up to this size use the part of the budget set aside for them. */
export const SMALL_BODY_BYTES = 65_536;
/** First grant of a body without a length, and its growth. */
const FIRST_GRANT_BYTES = 16_384;
const GROWTH_BYTES = 65_536;
/** How long a body waits for a grant, and how often it tries. */
const MAX_WAIT_MS = 2000;
const RETRY_INTERVAL_MS = 50;

const NO_BODY = Buffer.alloc(0);

/** Length that the head announces; undefined: none, or in chunks. */
export function announcedBytes(req: IncomingMessage): number | undefined {
  const length = req.headers['content-length'];
  return length === undefined ? undefined : Number(length);
}

function hasBody(req: IncomingMessage): boolean {
  return (
    req.headers['transfer-encoding'] !== undefined ||
    (announcedBytes(req) ?? 0) > 0
  );
}

/** Reads the bodies of one listener. */
export class BodyReader {
  readonly #options: BodyReaderOptions;

  constructor(options: BodyReaderOptions) {
    this.#options = options;
  }

  /** Resolves when the body is complete or won't be read to its end. */
  read(req: IncomingMessage, maxBytes: number): Promise<ReadResult> {
    const announced = announcedBytes(req);
    if (!hasBody(req)) {
      req.resume();
      const whole = {kind: 'whole', bytes: NO_BODY, grant: undefined} as const;
      return Promise.resolve(whole);
    }
    if ((announced ?? 0) > maxBytes) {
      return Promise.resolve({kind: 'too-large'});
    }
    // Waiting can't help.
    if ((announced ?? 0) > this.#options.budget.maxBodyBytes) {
      return Promise.resolve({kind: 'no-memory'});
    }
    return new Promise(resolve => {
      new BodyReading(req, maxBytes, this.#options, resolve).start();
    });
  }
}

/** Bytes that a body needs, and as which kind of holder. */
interface Need {
  readonly kind: HolderKind;
  readonly bytes: number;
}

function kindOf(bytes: number): HolderKind {
  return bytes <= SMALL_BODY_BYTES ? 'small-body' : 'large-body';
}

/** One body that is being read. */
class BodyReading implements BodyHolder {
  isWaiting = false;
  readonly #req: IncomingMessage;
  readonly #maxBytes: number;
  readonly #options: BodyReaderOptions;
  #resolve: ((result: ReadResult) => void) | undefined;
  readonly #announced: number | undefined;
  readonly #chunks = new BodyBuffer();
  #sized: Buffer | undefined;
  #receivedBytes = 0;
  #grant: MemoryGrant | undefined;
  #isSettled = false;
  #retry: NodeJS.Timeout | undefined;

  constructor(
    req: IncomingMessage,
    maxBytes: number,
    options: BodyReaderOptions,
    resolve: (result: ReadResult) => void,
  ) {
    this.#req = req;
    this.#maxBytes = maxBytes;
    this.#options = options;
    this.#resolve = resolve;
    this.#announced = announcedBytes(req);
  }

  start(): void {
    const req = this.#req;
    // No event tells of it any more.
    if (req.destroyed) return this.#fail('broken');
    const connection = this.#connection;
    if (connection) connection.body = this;
    req.on('error', () => this.#fail('broken'));
    req.on('close', () => this.#fail('broken'));
    req.on('end', () => this.#complete());
    const firstBytes = this.#announced ?? FIRST_GRANT_BYTES;
    this.#whenGranted(
      this.#needFor(firstBytes),
      () => this.#hold(firstBytes),
      () => {
        // Its pages are taken from the system as they are written.
        if (this.#announced !== undefined) {
          this.#sized = allocateLarge(this.#announced);
        }
        req.on('data', (chunk: Buffer) => this.#append(chunk));
      },
    );
  }

  heldBytes(kind: string): number {
    const bytes = this.#grant?.bytes ?? 0;
    return kindOf(bytes) === kind ? bytes : 0;
  }

  cut(reason: CutReason): void {
    this.#fail(reason);
  }

  get #connection() {
    return this.#options.guard.connectionOf(this.#req);
  }

  #append(chunk: Buffer): void {
    if (this.#isSettled) return;
    this.#connection?.addContent(chunk.length);
    const offset = this.#receivedBytes;
    this.#receivedBytes += chunk.length;
    if (this.#receivedBytes > this.#maxBytes) return this.#fail('too-large');
    if (this.#sized) return void chunk.copy(this.#sized, offset);
    this.#chunks.append(chunk);
    if (this.#receivedBytes <= (this.#grant?.bytes ?? 0)) return;
    const {maxBodyBytes} = this.#options.budget;
    if (this.#receivedBytes > maxBodyBytes) return this.#fail('no-memory');
    const bytes = Math.min(this.#receivedBytes + GROWTH_BYTES, maxBodyBytes);
    this.#whenGranted(
      this.#needFor(bytes),
      () => this.#hold(bytes),
      () => undefined,
    );
  }

  #needFor(bytes: number): Need {
    const held = this.#grant?.bytes ?? 0;
    const kind = kindOf(bytes);
    return {kind, bytes: held > SMALL_BODY_BYTES ? bytes - held : bytes};
  }

  /** Holds this many bytes in place of what was held before. */
  #hold(bytes: number): boolean {
    const {budget} = this.#options;
    const held = this.#grant;
    if (held && held.bytes > SMALL_BODY_BYTES) {
      return held.grow(bytes - held.bytes);
    }
    const grant = budget.reserve(bytes, kindOf(bytes));
    if (!grant) return false;
    held?.release();
    this.#grant = grant;
    return true;
  }

  /**
   * Continues once `take` succeeds; until then nothing is read. Unfinished
   * bodies without progress give way first if they hold what is needed.
   */
  #whenGranted(need: Need, take: () => boolean, proceed: () => void): void {
    const endMs = performance.now() + MAX_WAIT_MS;
    const attempt = () => {
      if (this.#isSettled) return;
      const {responses} = this.#options;
      let isTaken = take() || (this.#displaceFor(need) && take());
      while (!isTaken && responses.displaceOne()) isTaken = take();
      if (isTaken) {
        this.isWaiting = false;
        proceed();
        return void this.#req.resume();
      }
      if (performance.now() >= endMs) return this.#fail('no-memory');
      this.isWaiting = true;
      this.#req.pause();
      this.#retry = setTimeout(attempt, RETRY_INTERVAL_MS);
    };
    attempt();
  }

  #displaceFor({kind, bytes}: Need): boolean {
    const {budget, guard} = this.#options;
    // Kept bodies share their part of the budget with unfinished large ones.
    const holder = kind === 'small-body' ? kind : 'large-body';
    const shortBytes = bytes - budget.freeBytes(kind);
    return guard.displace(shortBytes, holder, this.#connection);
  }

  #complete(): void {
    if (this.#sized && this.#announced === this.#receivedBytes) {
      this.#grant?.release();
      return this.#finish(this.#sized, this.#keep());
    }
    const {budget} = this.#options;
    let kept: MemoryGrant | undefined;
    // Joined, the body takes its size once more for a moment.
    this.#whenGranted(
      {kind: 'kept-body', bytes: this.#receivedBytes},
      () => {
        kept = budget.reserve(this.#receivedBytes, 'kept-body');
        return kept !== undefined;
      },
      () => {
        const bytes = this.#chunks.toBuffer();
        this.#grant?.release();
        this.#finish(bytes, kept);
      },
    );
  }

  /** A grant for the whole body, whose earlier grant was just released. */
  #keep(): MemoryGrant | undefined {
    const {budget} = this.#options;
    const bytes = this.#receivedBytes;
    return budget.keep(bytes, 'kept-body') ?? budget.keep(bytes, 'small-body');
  }

  #finish(bytes: Buffer, grant: MemoryGrant | undefined): void {
    if (this.#isSettled) return grant?.release();
    this.#settle({kind: 'whole', bytes, grant});
  }

  #fail(kind: Exclude<ReadResult['kind'], 'whole'>): void {
    if (this.#isSettled) return;
    this.#grant?.release();
    this.#settle({kind});
  }

  #settle(result: ReadResult): void {
    this.#isSettled = true;
    clearTimeout(this.#retry);
    const resolve = this.#resolve;
    // The listeners of the request keep this object until the next request on the
    // connection; the body must not stay in memory for as long.
    this.#resolve = undefined;
    this.#sized = undefined;
    this.#chunks.clear();
    const connection = this.#connection;
    // The next body on the connection may have begun.
    if (connection?.body === this) connection.body = undefined;
    resolve?.(result);
  }
}
