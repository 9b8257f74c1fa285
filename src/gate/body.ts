/**
 * The body of a request that is passed on to an instance. A small body is
 * buffered, so that the request can be sent to another instance if it
 * certainly did not run. Of a large body only the beginning is buffered; the
 * rest is read from the caller at the pace at which the receiver accepts it,
 * and can be sent only once.
 */
import type {Readable} from 'node:stream';
import {BodyBuffer} from '../http/body_buffer.js';

/** Bodies up to this size are buffered completely. */
export const MAX_BUFFERED_BYTES = 64 * 1024;

/** A request body that successive exchanges can open. */
export interface RequestBody {
  /** True if the complete body is in memory. */
  readonly isBuffered: boolean;
  /** True if the body can still be sent from its first byte. */
  readonly isReplayable: boolean;
  /** The bytes to send; iterating throws if they were already consumed. */
  open(): Buffer | AsyncIterable<Buffer>;
}

/** A body that is buffered completely. */
export class BufferedBody implements RequestBody {
  readonly isBuffered = true;
  readonly isReplayable = true;
  readonly #bytes: Buffer;

  constructor(bytes: Buffer) {
    this.#bytes = bytes;
  }

  open(): Buffer {
    return this.#bytes;
  }
}

/** A body that is streamed while it arrives. */
export class StreamedBody implements RequestBody {
  readonly isBuffered = false;
  readonly #head: readonly Buffer[];
  readonly #rest: AsyncIterator<Buffer>;
  #isConsumed = false;

  constructor(head: readonly Buffer[], rest: AsyncIterator<Buffer>) {
    this.#head = head;
    this.#rest = rest;
  }

  /** True until the iteration has started. */
  get isReplayable(): boolean {
    return !this.#isConsumed;
  }

  /** Reads nothing from the caller before the iteration starts. */
  open(): AsyncIterable<Buffer> {
    return this.#stream();
  }

  async *#stream(): AsyncGenerator<Buffer> {
    if (this.#isConsumed) throw new Error('request body was already consumed');
    this.#isConsumed = true;
    yield* this.#head;
    while (true) {
      const next = await this.#rest.next();
      if (next.done) return;
      yield next.value;
    }
  }
}

/** Reads a body until it ends or exceeds the buffer limit. */
export async function readBody(source: Readable): Promise<RequestBody> {
  // Ending the iteration early must not destroy the caller's connection.
  const chunks = source.iterator({destroyOnReturn: false});
  const rest = chunks as AsyncIterator<Buffer>;
  const head = new BodyBuffer();
  while (head.sizeBytes <= MAX_BUFFERED_BYTES) {
    const next = await rest.next();
    if (next.done) return new BufferedBody(head.toBuffer());
    head.append(next.value);
  }
  return new StreamedBody(head.chunks, rest);
}

/** A body that is not read before it is opened and iterated. */
export function createStreamedBody(source: Readable): RequestBody {
  const chunks = source.iterator({destroyOnReturn: false});
  return new StreamedBody([], chunks as AsyncIterator<Buffer>);
}
