/**
 * The body of a request that is passed on to an instance. A small body is
 * buffered, so that the request can be sent to another instance if it
 * certainly did not run. Of a large body only the beginning is buffered; the
 * rest is read from the caller at the pace at which the receiver accepts it,
 * and can be sent only once.
 */
import type {Readable} from 'node:stream';

/** Bodies up to this size are buffered completely. */
export const SMALL_BODY_BYTES = 64 * 1024;

/** A request body that successive exchanges can open. */
export interface RequestBody {
  /** True if the complete body is in memory. */
  readonly whole: boolean;
  /** True if the body can still be sent from its first byte. */
  readonly replayable: boolean;
  /** The bytes to send; iterating throws if they were already consumed. */
  open(): Buffer | AsyncIterable<Buffer>;
}

/** A body that is buffered completely. */
export class SmallBody implements RequestBody {
  readonly whole = true;
  readonly replayable = true;
  readonly #bytes: Buffer;

  constructor(bytes: Buffer) {
    this.#bytes = bytes;
  }

  open(): Buffer {
    return this.#bytes;
  }
}

/** A body that is streamed while it arrives. */
export class LargeBody implements RequestBody {
  readonly whole = false;
  readonly #start: readonly Buffer[];
  readonly #rest: AsyncIterator<Buffer>;
  #taken = false;

  constructor(start: readonly Buffer[], rest: AsyncIterator<Buffer>) {
    this.#start = start;
    this.#rest = rest;
  }

  /** True until the iteration has started. */
  get replayable(): boolean {
    return !this.#taken;
  }

  /** Reads nothing from the caller before the iteration starts. */
  open(): AsyncIterable<Buffer> {
    return this.#flow();
  }

  async *#flow(): AsyncGenerator<Buffer> {
    if (this.#taken) throw new Error('the body was already passed on');
    this.#taken = true;
    yield* this.#start;
    while (true) {
      const next = await this.#rest.next();
      if (next.done) return;
      yield next.value;
    }
  }
}

/** Reads a body until it ends or exceeds the buffer limit. */
export async function takeBody(source: Readable): Promise<RequestBody> {
  // Ending the iteration early must not destroy the caller's connection.
  const chunks = source.iterator({destroyOnReturn: false});
  const rest = chunks as AsyncIterator<Buffer>;
  const start: Buffer[] = [];
  let bytes = 0;
  while (bytes <= SMALL_BODY_BYTES) {
    const next = await rest.next();
    if (next.done) return new SmallBody(Buffer.concat(start));
    start.push(next.value);
    bytes += next.value.length;
  }
  return new LargeBody(start, rest);
}

/** A body that is not read before it is opened and iterated. */
export function streamedBody(source: Readable): RequestBody {
  const chunks = source.iterator({destroyOnReturn: false});
  return new LargeBody([], chunks as AsyncIterator<Buffer>);
}
