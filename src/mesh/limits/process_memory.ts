/**
 * Measures whether the process has room for more buffers. The memory budget
 * counts what requests hold; buffers that were released stay until a garbage
 * collection, and the heap grows with the number of requests. Both are part of
 * the VM's memory as well.
 */
import {performance} from 'node:perf_hooks';

/** The figures of `process.memoryUsage()` that are used, in bytes. */
export type MemoryFigures = Pick<
  NodeJS.MemoryUsage,
  'rss' | 'heapTotal' | 'external'
>;

/** Which garbage is collected: that of new objects, or all. */
export type Collection = 'minor' | 'major';

/** Options of {@link ProcessMemory}. */
export interface ProcessMemoryOptions {
  /** Memory of the VM, in bytes. */
  readonly limitBytes: number;
  /** Bytes of buffers that are in use. */
  readonly heldBytes: () => number;
  readonly measure?: () => MemoryFigures;
  /** Nothing is collected if omitted. */
  readonly collect?: (kind: Collection) => void;
  /** Monotonic clock in milliseconds. */
  readonly now?: () => number;
}

/**
 * For what grows without a grant: data that was read and isn't parsed yet, small
 * frames, and memory that the allocator keeps.
 */
const MARGIN_SHARE = 0.1;
/** Garbage is collected early if less than this share of the VM is left. */
const AMPLE_SHARE = 0.4;
/** Garbage that a collection is worth. */
const MIN_GARBAGE_BYTES = 8 * 1024 * 1024;
/** While there is ample room, a measurement is used again for this long. */
const MAX_AGE_MS = 1000;
/** A minor collection takes about 1 ms, a major one tens of milliseconds. */
const MIN_INTERVALS_MS: Readonly<Record<Collection, number>> = {
  minor: 50,
  major: 500,
};
/** Larger buffers are the ones that fill a VM between two requests. */
const LARGE_BYTES = 65_536;
/** How often garbage is looked for while large buffers are held. */
const CHECK_INTERVAL_MS = 100;

/** Collects garbage if Node.js runs with `--expose-gc`. */
export function collectGarbage(kind: Collection): void {
  // A parameter of true asks for a minor collection.
  globalThis.gc?.(kind === 'minor');
}

/** The memory of this process. */
export class ProcessMemory {
  readonly #options: ProcessMemoryOptions;
  readonly #now: () => number;
  readonly #ampleBytes: number;
  /** Memory outside of the heap and its buffers, from the first measurement. */
  #baseBytes: number | undefined;
  #freeBytes = 0;
  #garbageBytes = 0;
  #measuredAtMs = -Infinity;
  /** Runs only while buffers are held: idle daemons should not wake up. */
  #checkTimer: NodeJS.Timeout | undefined;
  readonly #collectedAtMs: Record<Collection, number> = {
    minor: -Infinity,
    major: -Infinity,
  };

  constructor(options: ProcessMemoryOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
    this.#ampleBytes = options.limitBytes * AMPLE_SHARE;
  }

  /**
   * Whether that many bytes may be allocated now. If not, garbage is collected,
   * which may take effect only in a later turn of the event loop.
   */
  hasRoom(bytes: number): boolean {
    const isRecent = this.#now() - this.#measuredAtMs < MAX_AGE_MS;
    if (!isRecent || this.#freeBytes - bytes < this.#ampleBytes) this.check();
    if (bytes > this.#freeBytes) return false;
    this.#freeBytes -= bytes;
    if (bytes > LARGE_BYTES) this.#startChecks();
    return true;
  }

  /** Collects garbage if little room is left. */
  check(): void {
    this.#measure();
    if (this.#isCollectionDue && this.#collect('minor')) this.#measure();
    if (this.#isCollectionDue && this.#collect('major')) this.#measure();
  }

  #startChecks(): void {
    this.#checkTimer ??= setInterval(() => {
      this.check();
      if (this.#options.heldBytes() > 0) return;
      clearInterval(this.#checkTimer);
      this.#checkTimer = undefined;
    }, CHECK_INTERVAL_MS).unref();
  }

  get #isCollectionDue(): boolean {
    const isShort = this.#freeBytes < this.#ampleBytes;
    return isShort && this.#garbageBytes > MIN_GARBAGE_BYTES;
  }

  #measure(): void {
    const {measure = () => process.memoryUsage()} = this.#options;
    const {limitBytes, heldBytes} = this.#options;
    const {rss, heapTotal, external} = measure();
    this.#baseBytes ??= rss - heapTotal - external;
    // Buffers count from their allocation on; the system counts their pages
    // only once they are written.
    const usedBytes = Math.max(rss, this.#baseBytes + heapTotal + external);
    this.#freeBytes = limitBytes * (1 - MARGIN_SHARE) - usedBytes;
    this.#garbageBytes = external - heldBytes();
    this.#measuredAtMs = this.#now();
  }

  #collect(kind: Collection): boolean {
    const nowMs = this.#now();
    const {collect} = this.#options;
    const sinceMs = nowMs - this.#collectedAtMs[kind];
    if (!collect || sinceMs < MIN_INTERVALS_MS[kind]) return false;
    this.#collectedAtMs[kind] = nowMs;
    collect(kind);
    return true;
  }
}
