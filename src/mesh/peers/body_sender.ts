/**
 * Sends bodies in parts on one connection between daemons. A body is sent once
 * the peer has accepted it, which means that it has the memory for all of it.
 */
import {ResponseTimeout} from '../../timing/response_timeout.js';
import {PartTurns, type BodyPart} from './part_turns.js';

/** One part of a body, in either direction. */
export interface PartFrame extends BodyPart {
  readonly kind: 'body-part';
}

/** How a transfer ended; `partial`: the peer certainly hasn't got all of it. */
export type SendResult = 'sent' | 'partial' | 'unacknowledged';

/** A peer that neither accepts nor acknowledges for this long has stopped. */
export const TRANSFER_STALL_MS = 5000;

/** The bodies that this daemon sends on one connection. */
export class BodySender {
  readonly #send: (frame: PartFrame) => void;
  readonly #stallMs: number;
  readonly #turns = new PartTurns();
  readonly #onEnd = new Map<number, (result: SendResult) => void>();
  #stall: ResponseTimeout | undefined;

  constructor(
    send: (frame: PartFrame) => void,
    stallMs: number = TRANSFER_STALL_MS,
  ) {
    this.#send = send;
    this.#stallMs = stallMs;
  }

  /** Resolves once the peer has read the whole body, or never will. */
  send(id: number, body: Buffer): Promise<SendResult> {
    return new Promise(resolve => {
      this.#onEnd.set(id, resolve);
      this.#turns.add(id, body);
      if (!this.#stall) this.#watch();
    });
  }

  accept(id: number): void {
    this.#turns.accept(id);
    this.#proceed();
  }

  acknowledge(id: number): void {
    if (this.#turns.acknowledge(id)) this.#end(id, 'sent');
    this.#proceed();
  }

  /** Whether a body is being sent of which the peer can't have all. */
  isPartial(id: number): boolean {
    return !this.#turns.isSent(id);
  }

  /** Sends nothing more of a body. */
  cancel(id: number): void {
    if (!this.#onEnd.has(id)) return;
    const isSent = this.#turns.isSent(id);
    this.#turns.remove(id);
    // The next transfer has its full time.
    if (this.#turns.isEmpty) this.#watch();
    this.#end(id, isSent ? 'unacknowledged' : 'partial');
  }

  /** The connection is lost, or the peer has stopped. */
  cancelAll(): void {
    this.#turns.ids.forEach(id => this.cancel(id));
  }

  #proceed(): void {
    let part = this.#turns.next();
    while (part) {
      this.#send({kind: 'body-part', ...part});
      part = this.#turns.next();
    }
    this.#watch();
  }

  /** Any accepted or acknowledged transfer shows that the peer goes on. */
  #watch(): void {
    this.#stall?.cancel();
    this.#stall = this.#turns.isEmpty
      ? undefined
      : new ResponseTimeout(this.#stallMs, () => this.cancelAll());
  }

  #end(id: number, result: SendResult): void {
    const onEnd = this.#onEnd.get(id);
    this.#onEnd.delete(id);
    onEnd?.(result);
  }
}
