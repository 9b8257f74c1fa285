/**
 * The byte budget of a daemon for bodies, whose size callers determine. Each
 * kind of holder may use a part of it. A part is set aside for small bodies, so
 * that ordinary requests find room beside large bodies that don't end.
 */

/**
 * What holds bytes: a small or a large body that is being read, or a body kept
 * while its request is dispatched.
 */
export const HOLDER_KINDS = ['small-body', 'large-body', 'kept-body'] as const;
export type HolderKind = (typeof HOLDER_KINDS)[number];

/** Bytes that are in use by one holder. */
export interface MemoryGrant {
  readonly bytes: number;
  /** False if the growth isn't granted; the grant stays as it was. */
  grow(bytes: number): boolean;
  /** Idempotent. */
  release(): void;
}

/** Options of {@link MemoryBudget}. */
export interface MemoryBudgetOptions {
  /** Most bytes for unfinished large bodies; a share of the limit if omitted. */
  readonly maxUnfinishedBytes?: number;
}

/** Share of the limit that only small bodies may use. */
const SMALL_BODY_SHARE = 1 / 16;
/** Shares of the limit; two bodies of 60 MB fit into half of 240 MB. */
const UNFINISHED_SHARE = 0.5;
/** One body of 64 MB fits into half of 140 MB, the budget of a small VM. */
const ONE_BODY_SHARE = 0.5;

/** The budget of one daemon. */
export class MemoryBudget {
  readonly limitBytes: number;
  /** Most bytes that one unfinished body may ever get. */
  readonly maxBodyBytes: number;
  readonly #smallBytes: number;
  readonly #maxUnfinishedBytes: number;
  readonly #usedByKind: Record<HolderKind, number> = {
    'small-body': 0,
    'large-body': 0,
    'kept-body': 0,
  };

  constructor(limitBytes: number, options: MemoryBudgetOptions = {}) {
    this.limitBytes = limitBytes;
    this.#smallBytes = Math.floor(limitBytes * SMALL_BODY_SHARE);
    this.#maxUnfinishedBytes = Math.min(
      options.maxUnfinishedBytes ?? Math.floor(limitBytes * UNFINISHED_SHARE),
      limitBytes - this.#smallBytes,
    );
    this.maxBodyBytes = Math.min(
      Math.floor(limitBytes * ONE_BODY_SHARE),
      this.#maxUnfinishedBytes,
    );
  }

  get usedBytes(): number {
    return HOLDER_KINDS.reduce((sum, kind) => sum + this.usedBy(kind), 0);
  }

  /** Bytes that holders of one kind have together. */
  usedBy(kind: HolderKind): number {
    return this.#usedByKind[kind];
  }

  /** Undefined if that much isn't free for this kind of holder. */
  reserve(bytes: number, kind: HolderKind): MemoryGrant | undefined {
    if (!this.#isFree(bytes, bytes, kind)) return undefined;
    this.#usedByKind[kind] += bytes;
    let held = bytes;
    let isReleased = false;
    return {
      get bytes() {
        return held;
      },
      grow: moreBytes => {
        const isFree = this.#isFree(moreBytes, held + moreBytes, kind);
        if (isReleased || !isFree) return false;
        this.#usedByKind[kind] += moreBytes;
        held += moreBytes;
        return true;
      },
      release: () => {
        this.#usedByKind[kind] -= held;
        held = 0;
        isReleased = true;
      },
    };
  }

  /** Bytes that holders of one kind may get now, in total. */
  freeBytes(kind: HolderKind): number {
    const used = this.#usedByKind;
    if (kind === 'small-body') return this.#smallBytes - used[kind];
    const othersBytes = this.usedBytes - used['small-body'];
    const freeBytes = this.limitBytes - this.#smallBytes - othersBytes;
    if (kind !== 'large-body') return freeBytes;
    return Math.min(freeBytes, this.#maxUnfinishedBytes - used[kind]);
  }

  /** Whether a holder may get `bytes` more and then have `totalBytes`. */
  #isFree(bytes: number, totalBytes: number, kind: HolderKind): boolean {
    if (!Number.isFinite(bytes) || bytes < 0) return false;
    const used = this.#usedByKind;
    const othersBytes = this.usedBytes - used['small-body'];
    // Small bodies use only what is set aside for them, and nothing else does.
    if (kind === 'small-body') return used[kind] + bytes <= this.#smallBytes;
    if (othersBytes + bytes > this.limitBytes - this.#smallBytes) return false;
    if (kind !== 'large-body') return true;
    const isWithinPart = used[kind] + bytes <= this.#maxUnfinishedBytes;
    return isWithinPart && totalBytes <= this.maxBodyBytes;
  }
}
