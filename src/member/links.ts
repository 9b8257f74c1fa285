/**
 * Links between daemons: one websocket per peer that this daemon calls, opened
 * on the first call. Replies are matched to calls by id. A reply on an old
 * connection can't be taken for the reply to a newer call: ids aren't reused,
 * and pending calls fail when their connection closes.
 */
import type {IncomingMessage} from 'node:http';
import {WebSocket, WebSocketServer} from 'ws';
import {Failure, reasonOf} from '../errors/failure.js';
import type {Logger} from '../log/logger.js';
import {ResponseTimeout} from '../timing/response_timeout.js';
import {decodeFrame, encodeFrame, type CallFrame} from '../wire/codec.js';
import type {MessageKind, ReplyOf, RequestOf} from '../wire/messages.js';

/** Handles calls of one kind from peers. */
export type Handler<Kind extends MessageKind> = (
  body: RequestOf<Kind>,
) => ReplyOf<Kind> | Promise<ReplyOf<Kind>>;

/** Calls to and from other daemons. */
export interface Links {
  /** Calls the daemon at `address`; throws `peerUnreachable`. */
  call<Kind extends MessageKind>(
    address: string,
    kind: Kind,
    body: RequestOf<Kind>,
    timeoutMs: number,
  ): Promise<ReplyOf<Kind>>;
  /** Registers the handler of a kind; each kind has a single handler. */
  handle<Kind extends MessageKind>(kind: Kind, handler: Handler<Kind>): void;
}

/** Options of {@link WebSocketLinks}. */
export interface LinksOptions {
  readonly secret: string;
  /** Addresses to connect to instead of the advertised ones. */
  readonly dial: Readonly<Record<string, string>>;
  readonly log: Logger;
}

interface PendingCall {
  readonly resolve: (body: unknown) => void;
  readonly reject: (err: Failure) => void;
}

interface Link {
  readonly socket: WebSocket;
  readonly opened: Promise<void>;
  readonly calls: Map<number, PendingCall>;
  /** Time of the last call; monotonic clock, milliseconds. */
  usedAtMs: number;
  frameCount: number;
  /** Runs while calls time out and no frame arrives. */
  silenceTimeout: ResponseTimeout | undefined;
}

const MAX_FRAME_BYTES = 4 * 1024 * 1024;
const CONNECT_TIMEOUT_MS = 2000;
const IDLE_CHECK_INTERVAL_MS = 5000;
/** A link without calls for this long is closed. */
const IDLE_TIMEOUT_MS = 30_000;
/** A link that receives nothing for this long after a time-out is closed. */
const SILENCE_TIMEOUT_MS = 5000;

/** {@link Links} over websockets. */
export class WebSocketLinks implements Links {
  readonly #options: LinksOptions;
  readonly #links = new Map<string, Link>();
  readonly #inbound = new Set<WebSocket>();
  readonly #handlers = new Map<string, (body: unknown) => unknown>();
  readonly #server = new WebSocketServer({
    noServer: true,
    maxPayload: MAX_FRAME_BYTES,
    perMessageDeflate: false,
  });
  readonly #idleCheckTimer: NodeJS.Timeout;
  #nextCall = 1;

  constructor(options: LinksOptions) {
    this.#options = options;
    this.#idleCheckTimer = setInterval(
      () => this.#closeIdleLinks(),
      IDLE_CHECK_INTERVAL_MS,
    );
  }

  handle<Kind extends MessageKind>(kind: Kind, handler: Handler<Kind>): void {
    this.#handlers.set(kind, handler as (body: unknown) => unknown);
  }

  async call<Kind extends MessageKind>(
    address: string,
    kind: Kind,
    body: RequestOf<Kind>,
    timeoutMs: number,
  ): Promise<ReplyOf<Kind>> {
    const link = this.#getOrCreateLink(address);
    link.usedAtMs = performance.now();
    const id = this.#nextCall++;
    const reply = new Promise<unknown>((resolve, reject) => {
      link.calls.set(id, {resolve, reject});
    });
    const {frameCount} = link;
    const timeout = new ResponseTimeout(timeoutMs, () => {
      this.#failCall(link, id, address, 'no reply in time');
      if (link.frameCount === frameCount) this.#watchSilence(link);
    });
    try {
      link.opened
        .then(() => {
          link.socket.send(encodeFrame({type: 'call', id, kind, body}));
        })
        .catch((err: unknown) =>
          this.#failCall(link, id, address, reasonOf(err)),
        );
      return (await reply) as ReplyOf<Kind>;
    } finally {
      timeout.cancel();
      link.calls.delete(id);
    }
  }

  /** Accepts the upgrade request of a peer. */
  accept(
    req: IncomingMessage,
    socket: import('node:stream').Duplex,
    head: Buffer,
  ): void {
    this.#server.handleUpgrade(req, socket, head, ws => {
      this.#inbound.add(ws);
      ws.on('close', () => this.#inbound.delete(ws));
      ws.on('error', () => ws.terminate());
      ws.on(
        'message',
        data => void this.#handleInboundFrame(ws, data as Buffer),
      );
    });
  }

  /** Closes all connections; pending calls fail. */
  stop(): void {
    clearInterval(this.#idleCheckTimer);
    this.#links.forEach(link => link.socket.terminate());
    this.#inbound.forEach(socket => socket.terminate());
    this.#server.close();
  }

  /** Closes a link unless a frame arrives in time. */
  #watchSilence(link: Link): void {
    link.silenceTimeout ??= new ResponseTimeout(SILENCE_TIMEOUT_MS, () =>
      link.socket.terminate(),
    );
  }

  #closeIdleLinks(): void {
    const nowMs = performance.now();
    this.#links.forEach(link => {
      const isIdle = nowMs - link.usedAtMs > IDLE_TIMEOUT_MS;
      if (isIdle) link.socket.terminate();
    });
  }

  #getOrCreateLink(address: string): Link {
    const existing = this.#links.get(address);
    if (existing) return existing;
    const dialAddress = this.#options.dial[address] ?? address;
    const socket = new WebSocket(`ws://${dialAddress}/`, {
      headers: {authorization: `Bearer ${this.#options.secret}`},
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    const opened = new Promise<void>((resolve, reject) => {
      const timeout = new ResponseTimeout(CONNECT_TIMEOUT_MS, () =>
        socket.terminate(),
      );
      socket.once('open', () => {
        timeout.cancel();
        resolve();
      });
      socket.once('error', err => {
        timeout.cancel();
        reject(err);
      });
    });
    opened.catch(() => undefined);
    const link: Link = {
      socket,
      opened,
      calls: new Map(),
      usedAtMs: performance.now(),
      frameCount: 0,
      silenceTimeout: undefined,
    };
    this.#links.set(address, link);
    socket.on('message', data =>
      this.#handleFrame(link, data as Buffer, address),
    );
    socket.on('error', () => socket.terminate());
    socket.on('close', () => this.#removeLink(address, link));
    return link;
  }

  #removeLink(address: string, link: Link): void {
    link.silenceTimeout?.cancel();
    if (this.#links.get(address) === link) this.#links.delete(address);
    [...link.calls.keys()].forEach(id =>
      this.#failCall(link, id, address, 'connection closed'),
    );
  }

  #failCall(link: Link, id: number, peer: string, reason: string): void {
    link.calls.get(id)?.reject(new Failure('peerUnreachable', {peer, reason}));
    link.calls.delete(id);
  }

  #handleFrame(link: Link, bytes: Buffer, peer: string): void {
    link.frameCount += 1;
    link.silenceTimeout?.cancel();
    link.silenceTimeout = undefined;
    try {
      const frame = decodeFrame(bytes, peer);
      if (frame.type !== 'reply') return;
      if (frame.error !== undefined) {
        return this.#failCall(link, frame.id, peer, frame.error);
      }
      link.calls.get(frame.id)?.resolve(frame.body);
    } catch (err) {
      this.#options.log.warn(`Bad frame from ${peer}: ${reasonOf(err)}.`);
      link.socket.terminate();
    }
  }

  async #handleInboundFrame(socket: WebSocket, bytes: Buffer): Promise<void> {
    try {
      const frame = decodeFrame(bytes, 'inbound peer');
      if (frame.type === 'call') await this.#handleCall(socket, frame);
    } catch (err) {
      this.#options.log.warn(`Bad inbound frame: ${reasonOf(err)}.`);
      socket.terminate();
    }
  }

  async #handleCall(socket: WebSocket, frame: CallFrame): Promise<void> {
    const handler = this.#handlers.get(frame.kind);
    const reply = async () => {
      if (!handler) return {error: `unknown kind ${frame.kind}`};
      return {body: await handler(frame.body)};
    };
    const outcome = await reply().catch((err: unknown) => ({
      error: reasonOf(err),
    }));
    if (socket.readyState !== WebSocket.OPEN) return;
    socket.send(encodeFrame({type: 'reply', id: frame.id, ...outcome}));
  }
}
