/**
 * What a daemon knows of one connection of a guarded HTTP server: which request
 * is arriving on it, how it progresses, and how much of it is framing.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {BodyProgress, type ProgressLimits} from './body_progress.js';
import type {MeteredConnection, MeteredReader} from './read_meter.js';

/** Why a request is cut off before it has arrived. */
export type CutReason = 'stalled' | 'slow' | 'framing' | 'displaced';

/**
 * Framing that a body may have beyond the size of its content: a chunk of one
 * byte costs as much to parse as one of many.
 */
const MAX_FRAMING_BYTES = 65_536;
/** A refused caller can read its refusal while this much is discarded. */
const MAX_DISCARDED_BYTES = 1024 * 1024;
const MAX_LINGER_MS = 1000;

/** What reads the body that arrives on a connection. */
export interface BodyHolder {
  /** Whether the daemon reads nothing for now. */
  readonly isWaiting: boolean;
  /** Bytes of a memory budget that the body has as a holder of this kind. */
  heldBytes(kind: string): number;
  /** Handles a cut in place of closing the connection. */
  cut(reason: CutReason): void;
}

/** Observes the changes of a connection. */
export interface ConnectionObserver {
  /** Data of a request that hasn't arrived completely. */
  onProgress(connection: GuardedConnection): void;
  /** A request hasn't arrived completely with the data that came so far. */
  onUnfinished(): void;
  /** Nothing of an unfinished request is left. */
  onFinished(connection: GuardedConnection): void;
  onLinger(connection: GuardedConnection): void;
  onCut(reason: CutReason): void;
}

/** One connection. */
export class GuardedConnection implements MeteredReader {
  readonly socket: Socket;
  body: BodyHolder | undefined;
  /** Whether a complete response is being written in portions. */
  isSending = false;
  lastAtMs = performance.now();
  /** What was read from the socket and not yet parsed. */
  unparsed: Pick<MeteredConnection, 'hasPending'> = {hasPending: false};
  readonly #progress: BodyProgress;
  readonly #observer: ConnectionObserver;
  #req: IncomingMessage | undefined;
  #res: ServerResponse | undefined;
  /** Requests whose response isn't sent, by response; several if pipelined. */
  readonly #open = new Map<ServerResponse, IncomingMessage>();
  #isHeadArriving = false;
  #contentBytes = 0;
  #parsedBytes = 0;
  #discardedBytes = 0;
  #isDiscarding = false;

  constructor(
    socket: Socket,
    limits: ProgressLimits,
    observer: ConnectionObserver,
  ) {
    this.socket = socket;
    this.#observer = observer;
    this.#progress = new BodyProgress(limits, this.lastAtMs);
  }

  /** Whether a request hasn't arrived completely. */
  get isUnfinished(): boolean {
    return this.#isHeadArriving || this.#isBodyArriving;
  }

  /** Whether the last request has no complete response yet. */
  get isResponding(): boolean {
    return this.#res !== undefined && !this.#res.closed;
  }

  /** Whether a complete response waits for the caller to read it. */
  get isUnread(): boolean {
    const isComplete = this.isSending || this.#res?.writableEnded === true;
    return this.isResponding && isComplete;
  }

  /** Whether a request has arrived completely and has no complete response. */
  get isServing(): boolean {
    return [...this.#open.values()].some(req => req.complete);
  }

  get isWaiting(): boolean {
    return this.body?.isWaiting ?? false;
  }

  get #isBodyArriving(): boolean {
    return this.#req?.complete === false;
  }

  /** A request's head has arrived. */
  begin(req: IncomingMessage, res: ServerResponse): void {
    this.#req = req;
    this.#res = res;
    this.isSending = false;
    this.#open.set(res, req);
    res.on('close', () => this.#open.delete(res));
    this.#isHeadArriving = false;
    this.#contentBytes = 0;
    this.#parsedBytes = 0;
    this.#progress.restart(performance.now());
  }

  /** Counts content of the current body that was read. */
  addContent(bytes: number): void {
    this.#contentBytes += bytes;
  }

  accept(bytes: number): boolean {
    this.lastAtMs = performance.now();
    if (this.#isDiscarding) {
      this.#discardedBytes += bytes;
      if (this.#discardedBytes > MAX_DISCARDED_BYTES) this.socket.destroy();
      return false;
    }
    if (!this.#isBodyArriving) this.#isHeadArriving = true;
    this.#parsedBytes += bytes;
    this.#progress.record(bytes, this.lastAtMs);
    this.#observer.onProgress(this);
    return true;
  }

  parsed(): void {
    if (!this.isUnfinished) return this.#observer.onFinished(this);
    this.#observer.onUnfinished();
    if (!this.#isBodyArriving || this.#isDiscarding) return;
    const contentBytes = this.#contentBytes + (this.#req?.readableLength ?? 0);
    const framingBytes = this.#parsedBytes - contentBytes;
    if (framingBytes > MAX_FRAMING_BYTES + contentBytes) this.cut('framing');
  }

  canParse(): boolean {
    // Set by the HTTP server while responses wait for their reader; its parser
    // must get nothing then.
    const {_paused: isPaused} = this.socket as {_paused?: boolean};
    if (this.#isDiscarding) return true;
    if (isPaused === true) return false;
    const req = this.#req;
    if (!req || req.complete) return true;
    return req.readableLength < req.readableHighWaterMark;
  }

  /** Judges the progress of a body; `isLate`: the daemon was too busy to read. */
  check(nowMs: number, isLate: boolean): void {
    const isOurs =
      isLate || this.isWaiting || this.unparsed.hasPending || !this.canParse();
    if (!this.#isBodyArriving || isOurs) return this.#progress.restart(nowMs);
    const fault = this.#progress.check(nowMs);
    if (fault) this.cut(fault);
  }

  /** Ends the current request; the connection is closed. */
  cut(reason: CutReason): void {
    if (this.#isDiscarding || this.socket.destroyed) return;
    this.#observer.onCut(reason);
    const {body} = this;
    this.body = undefined;
    if (body) body.cut(reason);
    else this.socket.destroy();
  }

  /**
   * From now on nothing is parsed. What still comes is discarded up to a bound,
   * since a connection that is closed with data unread loses its response.
   */
  closeAfterResponse(): void {
    if (this.#isDiscarding) return;
    this.#isDiscarding = true;
    const {socket} = this;
    // The HTTP server calls it once the last response is written.
    socket.destroySoon = () => {
      if (socket.writable) socket.end();
      setTimeout(() => socket.destroy(), MAX_LINGER_MS).unref();
    };
    socket.on('end', () => socket.destroy());
    this.#observer.onLinger(this);
    socket.resume();
  }
}
