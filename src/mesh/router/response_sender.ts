/**
 * Writes responses in portions, which shows how far their callers have read
 * them, and holds their memory until they are written.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ConnectionGuard} from '../../http/connection_guard.js';
import {
  RESPONSE_CHECK_INTERVAL_MS,
  type HeldResponse,
  type ResponseMemory,
} from '../limits/response_memory.js';

/** Options of {@link ResponseSender}. */
export interface ResponseSenderOptions {
  readonly responses: Pick<ResponseMemory, 'hold' | 'check' | 'isEmpty'>;
  readonly guard: Pick<ConnectionGuard, 'connectionOf'>;
}

/** A caller that takes one portion has made progress. */
const PORTION_BYTES = 65_536;

/** Sends the responses of one listener. */
export class ResponseSender {
  readonly #options: ResponseSenderOptions;
  readonly #held = new WeakMap<ServerResponse, HeldResponse>();
  /** Runs only while a response waits: idle daemons should not wake up. */
  #checkTimer: NodeJS.Timeout | undefined;

  constructor(options: ResponseSenderOptions) {
    this.#options = options;
  }

  /** False if there is no room; the connection is then closed. */
  hold(req: IncomingMessage, res: ServerResponse, bytes: number): boolean {
    const close = () => req.socket.destroy();
    const held = this.#options.responses.hold(bytes, close);
    if (!held) return false;
    this.#held.set(res, held);
    res.on('close', () => held.release());
    return true;
  }

  /** Writes the body of a response that is held, whose head is written. */
  send(req: IncomingMessage, res: ServerResponse, body: Buffer): void {
    const connection = this.#options.guard.connectionOf(req);
    if (connection) connection.isSending = true;
    let sentBytes = 0;
    const writeOn = () => {
      while (body.length - sentBytes > PORTION_BYTES) {
        const endBytes = sentBytes + PORTION_BYTES;
        const portion = body.subarray(sentBytes, endBytes);
        sentBytes = endBytes;
        if (!res.write(portion)) return;
      }
      res.off('drain', onDrain);
      res.end(body.subarray(sentBytes));
    };
    const onDrain = () => {
      this.#held.get(res)?.progress();
      writeOn();
    };
    res.on('drain', onDrain);
    writeOn();
    setImmediate(() => {
      if (!res.closed && !res.writableFinished) this.#startChecks();
    });
  }

  #startChecks(): void {
    if (this.#checkTimer) return;
    const {responses} = this.#options;
    responses.check();
    this.#checkTimer = setInterval(() => {
      responses.check();
      if (!responses.isEmpty) return;
      clearInterval(this.#checkTimer);
      this.#checkTimer = undefined;
    }, RESPONSE_CHECK_INTERVAL_MS).unref();
  }
}
