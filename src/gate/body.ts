/**
 * The body of a request on its way through. A small one is held whole, so
 * that it can be sent again after a sure "not run". Of a large one only the
 * start is held; the rest is read from the caller as fast as the other side
 * takes it, and only once.
 */
import type {Readable} from 'node:stream';

/** Bodies up to this size are held whole, in bytes. */
export const SMALL_BODY_BYTES = 64 * 1024;

/** A body that one exchange after the other may ask for. */
export interface RequestBody {
  /** True if all of it is here. */
  readonly whole: boolean;
  /** True if the body can still be sent from its first byte on. */
  readonly replayable: boolean;
  /** The bytes to send; throws if they can't be had any more. */
  open(): Buffer | AsyncIterable<Buffer>;
}

/** A body that is held whole. */
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

/** A body that is passed on while it arrives. */
export class LargeBody implements RequestBody {
  readonly whole = false;
  readonly #start: readonly Buffer[];
  readonly #rest: AsyncIterator<Buffer>;
  #taken = false;

  constructor(start: readonly Buffer[], rest: AsyncIterator<Buffer>) {
    this.#start = start;
    this.#rest = rest;
  }

  /** True until the first byte has been asked for. */
  get replayable(): boolean {
    return !this.#taken;
  }

  /** Nothing is read from the caller before the iteration starts. */
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

/** Reads a body until it ends or is known to be large. */
export async function takeBody(source: Readable): Promise<RequestBody> {
  // Leaving the iteration early must not close the caller's connection.
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

/** A body of which nothing is read before it is asked for. */
export function streamedBody(source: Readable): RequestBody {
  const chunks = source.iterator({destroyOnReturn: false});
  return new LargeBody([], chunks as AsyncIterator<Buffer>);
}
