/**
 * Response times of one route as a histogram with logarithmic buckets. It keeps
 * two generations of samples and drops the older one as the newer one fills, so
 * that a route whose times shift is described by its recent samples.
 *
 * Designed for routers that see from one request a second to some hundred.
 */

/** Ratio of the bounds of a bucket, and so the relative error of a quantile. */
const BUCKET_RATIO = 1.05;
const LOG_BUCKET_RATIO = Math.log(BUCKET_RATIO);
/** The last bucket begins at about 100 s, longer than any route's timeout. */
const BUCKET_COUNT = 237;
/** Older samples are forgotten, however few there were since. */
const MAX_GENERATION_MS = 300_000;

/** Samples that were added in a row. */
interface Generation {
  readonly counts: Uint32Array;
  readonly startedAtMs: number;
  size: number;
}

/** A quantile sketch that forgets old samples. */
export class ResponseSketch {
  readonly #generationSize: number;
  #newer: Generation;
  #older: Generation;

  /** From `generationSize` to twice as many of the last samples are kept. */
  constructor(generationSize: number, nowMs: number) {
    this.#generationSize = generationSize;
    this.#newer = emptyGeneration(nowMs);
    this.#older = emptyGeneration(nowMs);
  }

  add(tookMs: number, nowMs: number): void {
    this.#forget(nowMs);
    const bucket = bucketOf(tookMs);
    this.#newer.counts[bucket] = (this.#newer.counts[bucket] ?? 0) + 1;
    this.#newer.size += 1;
  }

  /** Number of samples that are kept. */
  sizeAt(nowMs: number): number {
    this.#forget(nowMs);
    return this.#newer.size + this.#older.size;
  }

  /** The time that `share` of the samples don't exceed; 0 without samples. */
  quantile(share: number, nowMs: number): number {
    const rank = share * this.sizeAt(nowMs);
    if (rank === 0) return 0;
    let seen = 0;
    const bucket = this.#newer.counts.findIndex((count, index) => {
      seen += count + (this.#older.counts[index] ?? 0);
      return seen >= rank;
    });
    return upperBoundMs(bucket);
  }

  #forget(nowMs: number): void {
    const ageMs = nowMs - this.#newer.startedAtMs;
    const isFull = this.#newer.size >= this.#generationSize;
    if (!isFull && ageMs < MAX_GENERATION_MS) return;
    const isOutdated = ageMs >= 2 * MAX_GENERATION_MS;
    this.#older = isOutdated ? emptyGeneration(nowMs) : this.#newer;
    this.#newer = emptyGeneration(nowMs);
  }
}

function emptyGeneration(startedAtMs: number): Generation {
  return {counts: new Uint32Array(BUCKET_COUNT), startedAtMs, size: 0};
}

/** Bucket 0 holds all times up to 1 ms. */
function bucketOf(tookMs: number): number {
  const index = Math.ceil(Math.log(Math.max(1, tookMs)) / LOG_BUCKET_RATIO);
  return Math.min(BUCKET_COUNT - 1, index);
}

function upperBoundMs(bucket: number): number {
  return BUCKET_RATIO ** bucket;
}
