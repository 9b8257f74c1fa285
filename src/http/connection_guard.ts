/**
 * Bounds what the callers of an HTTP server can take: connections, unfinished
 * requests, time without progress, and the time to parse what they send. Beyond
 * a bound, the connections that are longest without progress are closed first.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ProgressLimits} from './body_progress.js';
import {
  GuardedConnection,
  type ConnectionObserver,
  type CutReason,
} from './guarded_connection.js';
import type {ReadMeter} from './read_meter.js';

/** Why a connection was closed, or a request cut off. */
export type GuardReason = CutReason | 'connections' | 'unfinished';

/** Options of {@link ConnectionGuard}. */
export interface ConnectionGuardOptions {
  readonly meter: ReadMeter;
  readonly maxConnections: number;
  readonly maxUnfinished: number;
  readonly progress: ProgressLimits;
  readonly onClose: (reason: GuardReason) => void;
}

const CHECK_INTERVAL_MS = 250;
/** A check that is later than this found a process that was too busy to read. */
const LATE_CHECK_MS = 2 * CHECK_INTERVAL_MS;
/** A request without progress for this long gives way to others. */
const DISPLACE_AFTER_MS = 500;

/** Guards one server. */
export class ConnectionGuard implements ConnectionObserver {
  readonly #options: ConnectionGuardOptions;
  readonly #bySocket = new Map<Socket, GuardedConnection>();
  /** Each ordered by the time of the last progress, oldest first. */
  readonly #unfinished = new Set<GuardedConnection>();
  readonly #idle = new Set<GuardedConnection>();
  readonly #lingering = new Set<GuardedConnection>();
  #checkedAtMs = performance.now();
  /** Runs only while a request is unfinished: idle daemons should not wake up. */
  #checkTimer: NodeJS.Timeout | undefined;

  constructor(server: Server, options: ConnectionGuardOptions) {
    this.#options = options;
    server.on('connection', (socket: Socket) => this.#add(socket));
    const begin = (req: IncomingMessage, res: ServerResponse) =>
      this.#begin(req, res);
    // Before the server's own handlers.
    server.prependListener('request', begin);
    server.prependListener('checkContinue', begin);
    server.on('connect', (req: IncomingMessage) => {
      const connection = this.connectionOf(req);
      connection?.closeAfterResponse();
      // The HTTP server hands the socket over, and closes it no more.
      connection?.socket.destroySoon();
    });
    server.on('close', () => clearInterval(this.#checkTimer));
  }

  get connections(): number {
    return this.#bySocket.size;
  }

  /** Undefined if the connection is closed. */
  connectionOf(req: IncomingMessage): GuardedConnection | undefined {
    return this.#bySocket.get(req.socket);
  }

  /**
   * Cuts off unfinished requests that hold bytes as this kind of holder, unless
   * the daemon itself reads nothing of them for now; longest without progress
   * first, until `bytes` come free.
   * Cuts off none if all of them hold less; `except` stays.
   */
  displace(
    bytes: number,
    kind: string,
    except: GuardedConnection | undefined,
  ): boolean {
    const beforeMs = performance.now() - DISPLACE_AFTER_MS;
    let freedBytes = 0;
    const found = [...this.#unfinished].filter(connection => {
      const heldBytes = connection.body?.heldBytes(kind) ?? 0;
      const isCandidate =
        connection !== except &&
        !connection.isWaiting &&
        connection.lastAtMs < beforeMs;
      if (!isCandidate || heldBytes === 0 || freedBytes >= bytes) return false;
      freedBytes += heldBytes;
      return true;
    });
    if (freedBytes < bytes) return false;
    found.forEach(connection => {
      this.#unfinished.delete(connection);
      connection.cut('displaced');
    });
    return true;
  }

  onProgress(connection: GuardedConnection): void {
    this.#idle.delete(connection);
    const isNew = !this.#unfinished.delete(connection);
    this.#unfinished.add(connection);
    const {maxUnfinished} = this.#options;
    if (isNew && this.#unfinished.size > maxUnfinished) {
      this.#close('unfinished', this.#closable());
    }
  }

  onUnfinished(): void {
    if (this.#checkTimer) return;
    this.#checkedAtMs = performance.now();
    const check = () => this.#check();
    this.#checkTimer = setInterval(check, CHECK_INTERVAL_MS).unref();
  }

  onFinished(connection: GuardedConnection): void {
    // A request may end after the next one on its connection has begun.
    if (connection.isUnfinished) return;
    this.#unfinished.delete(connection);
    this.#addIfIdle(connection);
  }

  onLinger(connection: GuardedConnection): void {
    this.#unfinished.delete(connection);
    this.#idle.delete(connection);
    this.#lingering.add(connection);
  }

  onCut(reason: CutReason): void {
    this.#options.onClose(reason);
  }

  #add(socket: Socket): void {
    const {maxConnections, meter, progress} = this.#options;
    if (this.#bySocket.size >= maxConnections && !this.#closeOne()) {
      this.#options.onClose('connections');
      return void socket.destroy();
    }
    const connection = new GuardedConnection(socket, progress, this);
    this.#bySocket.set(socket, connection);
    this.#idle.add(connection);
    socket.on('close', () => this.#forget(connection));
    connection.unparsed = meter.attach(socket, connection);
  }

  #begin(req: IncomingMessage, res: ServerResponse): void {
    const connection = this.connectionOf(req);
    if (!connection) return;
    connection.begin(req, res);
    this.#idle.delete(connection);
    req.on('end', () => this.onFinished(connection));
    res.on('close', () => this.#addIfIdle(connection));
  }

  #addIfIdle(connection: GuardedConnection): void {
    const isInUse =
      connection.isUnfinished ||
      connection.isResponding ||
      this.#lingering.has(connection);
    const isOpen = this.#bySocket.has(connection.socket);
    if (isOpen && !isInUse) this.#idle.add(connection);
  }

  #forget(connection: GuardedConnection): void {
    this.#bySocket.delete(connection.socket);
    this.#unfinished.delete(connection);
    this.#idle.delete(connection);
    this.#lingering.delete(connection);
  }

  /** Closes the connection that is the least loss; false if all are in use. */
  #closeOne(): boolean {
    const unfinished = this.#closable();
    const [stalled] = unfinished;
    const beforeMs = performance.now() - DISPLACE_AFTER_MS;
    const isStalled = stalled !== undefined && stalled.lastAtMs < beforeMs;
    return (
      this.#close('connections', this.#lingering) ||
      (isStalled && this.#close('connections', unfinished)) ||
      this.#close('connections', this.#idle) ||
      this.#close('connections', unfinished) ||
      this.#close('connections', this.#unread())
    );
  }

  /** Unfinished ones without an earlier request at work, in their order. */
  #closable(): ReadonlySet<GuardedConnection> {
    return new Set([...this.#unfinished].filter(c => !c.isServing));
  }

  /** Connections whose response isn't read, longest without data first. */
  #unread(): ReadonlySet<GuardedConnection> {
    const unread = [...this.#bySocket.values()].filter(c => c.isUnread);
    return new Set(unread.toSorted((a, b) => a.lastAtMs - b.lastAtMs));
  }

  #close(
    reason: GuardReason,
    connections: ReadonlySet<GuardedConnection>,
  ): boolean {
    const [oldest] = connections;
    if (!oldest) return false;
    this.#options.onClose(reason);
    oldest.socket.destroy();
    this.#forget(oldest);
    return true;
  }

  #check(): void {
    const nowMs = performance.now();
    const isLate = nowMs - this.#checkedAtMs > LATE_CHECK_MS;
    this.#checkedAtMs = nowMs;
    [...this.#unfinished].forEach(connection =>
      connection.check(nowMs, isLate),
    );
    if (this.#unfinished.size > 0) return;
    clearInterval(this.#checkTimer);
    this.#checkTimer = undefined;
  }
}
