/**
 * Decides which part of which body is sent next on a connection between daemons.
 * The bodies take turns, and only few parts are on their way at a time, so that
 * the frames of other requests wait for those parts at most. Has no network.
 */

/** Heartbeats and reservations wait for 110 ms at most at 7 Mbit/s. */
export const PART_BYTES = 32 * 1024;
export const MAX_PARTS_ON_THE_WAY = 3;

/** One part of a body. */
export interface BodyPart {
  readonly id: number;
  readonly bytes: Buffer;
}

interface Transfer {
  readonly id: number;
  readonly body: Buffer;
  sentBytes: number;
  partsOnTheWay: number;
}

/** The bodies that are sent on one connection. */
export class PartTurns {
  readonly #transfers = new Map<number, Transfer>();
  /** Transfers that the peer has accepted and that have parts left. */
  readonly #ready = new Set<Transfer>();
  #partsOnTheWay = 0;

  get isEmpty(): boolean {
    return this.#transfers.size === 0;
  }

  /** The transfers that aren't acknowledged completely. */
  get ids(): readonly number[] {
    return [...this.#transfers.keys()];
  }

  /** Adds a body; none of it is sent before the peer accepts it. */
  add(id: number, body: Buffer): void {
    this.#transfers.set(id, {id, body, sentBytes: 0, partsOnTheWay: 0});
  }

  /** The peer has room for the whole body. */
  accept(id: number): void {
    const transfer = this.#transfers.get(id);
    if (transfer && transfer.sentBytes === 0) this.#ready.add(transfer);
  }

  /** The part that is to be sent now; undefined: none until an acknowledgement. */
  next(): BodyPart | undefined {
    const [transfer] = this.#ready;
    if (!transfer || this.#partsOnTheWay >= MAX_PARTS_ON_THE_WAY) {
      return undefined;
    }
    const {id, body, sentBytes} = transfer;
    const bytes = body.subarray(sentBytes, sentBytes + PART_BYTES);
    transfer.sentBytes += bytes.length;
    transfer.partsOnTheWay += 1;
    this.#partsOnTheWay += 1;
    this.#ready.delete(transfer);
    if (transfer.sentBytes < body.length) this.#ready.add(transfer);
    return {id, bytes};
  }

  /**
   * The peer has read one part, also if it belongs to a transfer that was
   * removed. True if nothing of the body is on its way any more.
   */
  acknowledge(id: number): boolean {
    this.#partsOnTheWay = Math.max(0, this.#partsOnTheWay - 1);
    const transfer = this.#transfers.get(id);
    if (!transfer) return false;
    transfer.partsOnTheWay -= 1;
    const isSent = transfer.sentBytes === transfer.body.length;
    if (!isSent || transfer.partsOnTheWay > 0) return false;
    this.remove(id);
    return true;
  }

  /** Whether the last part of a body was handed out, or is unknown. */
  isSent(id: number): boolean {
    const transfer = this.#transfers.get(id);
    return !transfer || transfer.sentBytes === transfer.body.length;
  }

  remove(id: number): void {
    const transfer = this.#transfers.get(id);
    if (!transfer) return;
    this.#transfers.delete(id);
    this.#ready.delete(transfer);
  }
}
