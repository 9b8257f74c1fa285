/**
 * Limits the hedges for one service to a share of the requests that this router
 * sent to it, plus a small burst. A hedge first reserves a token, since the
 * search for a slot and the retry budget take time, and uses it when it starts.
 * A reserved token still fills the bucket: if reserving removed it, the bucket
 * would refill meanwhile, and more hedges than the burst could start at once.
 */

/** Hedges that may start at once after a time without any. */
export const BURST_HEDGES = 3;

/** A reserved token. The first call of either method counts. */
export interface HedgeToken {
  /** The hedge starts now. */
  use(): void;
  /** The hedge doesn't start. */
  release(): void;
}

/** The token bucket of one service; it is empty after a start. */
export class HedgeLimit {
  readonly #maxExtraShare: number;
  #tokens = 0;
  #reserved = 0;

  constructor(maxExtraShare: number) {
    this.#maxExtraShare = maxExtraShare;
  }

  /** Counts a request that was sent to its first instance. */
  countRequest(): void {
    this.#tokens = Math.min(BURST_HEDGES, this.#tokens + this.#maxExtraShare);
  }

  /** Reserves a token; undefined if none is left. */
  reserve(): HedgeToken | undefined {
    if (this.#tokens - this.#reserved < 1) return undefined;
    this.#reserved += 1;
    let isOpen = true;
    const end = (used: number) => () => {
      if (!isOpen) return;
      isOpen = false;
      this.#reserved -= 1;
      this.#tokens -= used;
    };
    return {use: end(1), release: end(0)};
  }
}
