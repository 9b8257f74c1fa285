/**
 * Lets the connections of an HTTP server take turns at the parser. A read of
 * 64 KB may contain ten thousand chunks or header fields, whose parsing blocks
 * the event loop for many milliseconds; it is parsed in portions, and each turn
 * of the event loop has a bounded time for them. A connection that has data
 * left isn't read from.
 */
import type {Socket} from 'node:net';

/** Receives the data of one connection. */
export interface MeteredReader {
  /** Called before each portion is parsed; false: the portion is discarded. */
  accept(bytes: number): boolean;
  /** Called once the portion is parsed. */
  parsed(): void;
  /** Whether the parser may get more, and the socket may be read. */
  canParse(): boolean;
}

type ParseData = (this: Socket, data: Buffer) => void;

/** One portion of a connection's data; a head with few fields has less. */
const PORTION_BYTES = 8192;
/** Time in each turn of the event loop for parsing. */
const TURN_MS = 5;
/** A connection's first portions come before those of long bodies. */
const PREFERRED_BYTES = 2 * PORTION_BYTES;
/** Of the long ones, one gets its turn after this many preferred portions. */
const PREFERRED_IN_A_ROW = 4;

/** The data of one connection that isn't parsed yet. */
class MeteredConnection {
  readonly socket: Socket;
  readonly reader: MeteredReader;
  readonly #parsers: readonly ParseData[];
  #pending: Buffer[] = [];
  isQueued = false;

  constructor(socket: Socket, reader: MeteredReader) {
    this.socket = socket;
    this.reader = reader;
    // Takes the place of the HTTP server's own listener.
    this.#parsers = socket.listeners('data') as ParseData[];
    this.#parsers.forEach(parse => socket.off('data', parse));
  }

  get hasPending(): boolean {
    return this.#pending.length > 0;
  }

  get pendingBytes(): number {
    return this.#pending.reduce((sum, {length}) => sum + length, 0);
  }

  add(data: Buffer): void {
    this.#pending.push(data);
  }

  discardPending(): void {
    this.#pending = [];
  }

  /** Parses one portion. */
  parseOne(): void {
    const [first, ...rest] = this.#pending;
    if (!first) return;
    const portion = first.subarray(0, PORTION_BYTES);
    const left = first.subarray(PORTION_BYTES);
    this.#pending = left.length > 0 ? [left, ...rest] : rest;
    if (!this.reader.accept(portion.length)) return;
    this.#parsers.forEach(parse => parse.call(this.socket, portion));
    this.reader.parsed();
  }
}

/** Takes turns for the connections of one process. */
export class ReadMeter {
  readonly #preferred: MeteredConnection[] = [];
  readonly #others: MeteredConnection[] = [];
  #preferredInARow = 0;
  #isScheduled = false;
  #spentMs = 0;

  /** Meters a connection that the HTTP server has just got. */
  attach(socket: Socket, reader: MeteredReader): MeteredConnection {
    const connection = new MeteredConnection(socket, reader);
    socket.on('data', (data: Buffer) => {
      connection.add(data);
      // What is small and comes alone needs no turn.
      const isSmall = connection.pendingBytes <= PORTION_BYTES;
      if (isSmall && this.#spentMs < TURN_MS) this.#parse(connection);
      if (connection.hasPending) this.#enqueue(connection);
    });
    // The HTTP server resumes it once a body or the output has room again.
    socket.on('resume', () => {
      if (connection.hasPending) this.#enqueue(connection);
    });
    return connection;
  }

  #enqueue(connection: MeteredConnection): void {
    connection.socket.pause();
    if (connection.isQueued || !connection.reader.canParse()) return;
    connection.isQueued = true;
    const isPreferred = connection.pendingBytes <= PREFERRED_BYTES;
    (isPreferred ? this.#preferred : this.#others).push(connection);
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#spentMs = 0;
      this.#runTurn();
    });
  }

  #runTurn(): void {
    while (this.#spentMs < TURN_MS) {
      const connection = this.#next();
      if (!connection) return;
      connection.isQueued = false;
      this.#parse(connection);
      if (connection.hasPending) this.#enqueue(connection);
      else this.#resumeSocket(connection);
    }
    this.#schedule();
  }

  #next(): MeteredConnection | undefined {
    const mayPrefer =
      this.#others.length === 0 || this.#preferredInARow < PREFERRED_IN_A_ROW;
    const preferred = mayPrefer ? this.#preferred.shift() : undefined;
    this.#preferredInARow = preferred ? this.#preferredInARow + 1 : 0;
    return preferred ?? this.#others.shift();
  }

  #parse(connection: MeteredConnection): void {
    const {socket, reader} = connection;
    if (socket.destroyed) return connection.discardPending();
    if (!reader.canParse()) return;
    const startMs = performance.now();
    connection.parseOne();
    this.#spentMs += performance.now() - startMs;
    // Resets the time spent once the event loop turns.
    this.#schedule();
  }

  #resumeSocket({socket, reader}: MeteredConnection): void {
    if (!socket.destroyed && reader.canParse()) socket.resume();
  }
}

export type {MeteredConnection};
