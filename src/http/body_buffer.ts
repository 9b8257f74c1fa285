/**
 * Collects a body that arrives in chunks. A chunk is a view of the read that it
 * came with, and the object itself takes more than a hundred bytes; a body of
 * many small chunks would take many times its size. They are therefore merged
 * as they arrive.
 */

import {allocateLarge} from './large_buffer.js';

/** Chunks are merged once they have this many bytes together. */
const MERGED_BYTES = 16 * 1024;
/** Chunks are merged once there are this many. */
const MAX_UNMERGED_CHUNKS = 1024;

/** A body of which more chunks may follow. */
export class BodyBuffer {
  readonly #merged: Buffer[] = [];
  #unmerged: Buffer[] = [];
  #unmergedBytes = 0;
  #sizeBytes = 0;

  /** The size of all chunks together. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  append(chunk: Buffer): void {
    this.#unmerged.push(chunk);
    this.#unmergedBytes += chunk.length;
    this.#sizeBytes += chunk.length;
    const isDue =
      this.#unmergedBytes >= MERGED_BYTES ||
      this.#unmerged.length >= MAX_UNMERGED_CHUNKS;
    if (isDue) this.#merge();
  }

  /** Discards all chunks. */
  clear(): void {
    this.#merged.length = 0;
    this.#unmerged = [];
    this.#unmergedBytes = 0;
    this.#sizeBytes = 0;
  }

  /** The chunks in order, some of them merged. */
  get chunks(): readonly Buffer[] {
    return [...this.#merged, ...this.#unmerged];
  }

  /** The whole body. */
  toBuffer(): Buffer {
    return joinChunks(this.chunks);
  }

  #merge(): void {
    this.#merged.push(joinChunks(this.#unmerged));
    this.#unmerged = [];
    this.#unmergedBytes = 0;
  }
}

/** Joins chunks; a single one isn't copied. */
function joinChunks(chunks: readonly Buffer[]): Buffer {
  const [first] = chunks;
  if (first && chunks.length === 1) return first;
  const sizes = chunks.map(({length}) => length);
  const joined = allocateLarge(sizes.reduce((sum, size) => sum + size, 0));
  chunks.reduce((end, chunk) => end + chunk.copy(joined, end), 0);
  return joined;
}
