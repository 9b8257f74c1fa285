/**
 * The byte budget of a daemon for bodies, whose size others determine. Each
 * kind of holder may use a part of it. Parts are set aside for small bodies and
 * small responses, so that ordinary requests find room beside large bodies that
 * don't end and large responses that callers don't read.
 */

/**
 * What holds bytes: a small or a large body that is being read, a body kept
 * while its request is dispatched, a body that a peer sends, the copies of a body
 * for a frame, or a response until its caller has read it; `small-response` uses
 * the part set aside for small ones.
 */
export const HOLDER_KINDS = [
  'small-body',
  'large-body',
  'kept-body',
  'peer-body',
  'frame',
  'response',
  'small-response',
] as const;
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
  /** Whether the process has room for more; it is taken to have if omitted. */
  readonly hasRoom?: (bytes: number) => boolean;
}

/** Share of the limit that only small bodies may use. */
const SMALL_BODY_SHARE = 1 / 16;
/** Share of the limit that only small responses may use. */
const SMALL_RESPONSE_SHARE = 1 / 64;
/** Shares of the limit; two bodies of 60 MB fit into half of 240 MB. */
const UNFINISHED_SHARE = 0.5;
/** So that responses find room beside bodies that peers send. */
const PEER_BODY_SHARE = 0.5;
/** One body of 64 MB fits into half of 140 MB, the budget of a small VM. */
const ONE_BODY_SHARE = 0.5;

/** The budget of one daemon. */
export class MemoryBudget {
  readonly limitBytes: number;
  /** Most bytes that one unfinished body may ever get. */
  readonly maxBodyBytes: number;
  /** Most bytes of each kind that has a part of its own. */
  readonly #reservedBytes: Readonly<Partial<Record<HolderKind, number>>>;
  /** Most bytes of all other kinds together. */
  readonly #commonBytes: number;
  readonly #maxUnfinishedBytes: number;
  /** Most bytes of each kind that shares the common part with others. */
  readonly #maxBytes: Readonly<Partial<Record<HolderKind, number>>>;
  readonly #hasRoom: (bytes: number) => boolean;
  readonly #usedByKind: Record<HolderKind, number> = {
    'small-body': 0,
    'large-body': 0,
    'kept-body': 0,
    'peer-body': 0,
    frame: 0,
    response: 0,
    'small-response': 0,
  };

  constructor(limitBytes: number, options: MemoryBudgetOptions = {}) {
    this.limitBytes = limitBytes;
    const smallBodyBytes = Math.floor(limitBytes * SMALL_BODY_SHARE);
    const smallResponseBytes = Math.floor(limitBytes * SMALL_RESPONSE_SHARE);
    this.#reservedBytes = {
      'small-body': smallBodyBytes,
      'small-response': smallResponseBytes,
    };
    this.#commonBytes = limitBytes - smallBodyBytes - smallResponseBytes;
    this.#maxUnfinishedBytes = Math.min(
      options.maxUnfinishedBytes ?? Math.floor(limitBytes * UNFINISHED_SHARE),
      this.#commonBytes,
    );
    this.#maxBytes = {
      'large-body': this.#maxUnfinishedBytes,
      'peer-body': Math.floor(limitBytes * PEER_BODY_SHARE),
    };
    this.#hasRoom = options.hasRoom ?? (() => true);
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

  /**
   * A grant for bytes that are to be allocated; undefined if that much isn't free
   * for this kind of holder.
   */
  reserve(bytes: number, kind: HolderKind): MemoryGrant | undefined {
    const isFree = this.#isFree(bytes, bytes, kind);
    return isFree && this.#fits(bytes, kind)
      ? this.#grant(bytes, kind)
      : undefined;
  }

  /** The same for bytes that are in memory already. */
  keep(bytes: number, kind: HolderKind): MemoryGrant | undefined {
    const isFree = this.#isFree(bytes, bytes, kind);
    return isFree ? this.#grant(bytes, kind) : undefined;
  }

  #grant(bytes: number, kind: HolderKind): MemoryGrant {
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
        if (!this.#fits(moreBytes, kind)) return false;
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
    const reservedBytes = this.#reservedBytes[kind];
    if (reservedBytes !== undefined) return reservedBytes - used[kind];
    const freeBytes = this.#commonBytes - this.#commonUsedBytes;
    const maxBytes = this.#maxBytes[kind] ?? Infinity;
    return Math.min(freeBytes, maxBytes - used[kind]);
  }

  /** Bytes of all kinds that nothing is set aside for. */
  get #commonUsedBytes(): number {
    const {'small-body': bodies, 'small-response': responses} =
      this.#usedByKind;
    return this.usedBytes - bodies - responses;
  }

  /** Whether a holder may get `bytes` more and then have `totalBytes`. */
  #isFree(bytes: number, totalBytes: number, kind: HolderKind): boolean {
    if (!Number.isFinite(bytes) || bytes < 0) return false;
    const used = this.#usedByKind;
    // Such a kind uses only what is set aside for it, and nothing else does.
    const reservedBytes = this.#reservedBytes[kind];
    if (reservedBytes !== undefined) return used[kind] + bytes <= reservedBytes;
    if (this.#commonUsedBytes + bytes > this.#commonBytes) return false;
    const maxBytes = this.#maxBytes[kind];
    if (maxBytes === undefined) return true;
    const isWithinPart = used[kind] + bytes <= maxBytes;
    return isWithinPart && totalBytes <= this.maxBodyBytes;
  }

  /** What is set aside for a kind is always there for it. */
  #fits(bytes: number, kind: HolderKind): boolean {
    return this.#reservedBytes[kind] !== undefined || this.#hasRoom(bytes);
  }
}
