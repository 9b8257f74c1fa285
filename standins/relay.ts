/**
 * Stand-in for the network between processes: a TCP relay with one named link
 * for each pair of dialling and dialled process. `PUT /links/NAME` creates or
 * changes a link and returns its port. A cut direction holds its bytes until
 * the cut ends, like lost packets that TCP retransmits; a connection opened
 * while its link is cut waits. A delay applies to each chunk.
 */
import {createServer as createHttpServer} from 'node:http';
import {connect, createServer, type Socket} from 'node:net';

/** Current settings of a link. */
interface LinkPlan {
  /** Target address, `IP:PORT`; empty until the target runs. */
  readonly target: string;
  readonly delayMs: number;
  /** `forward` is the direction from the dialling side. */
  readonly cut: 'none' | 'forward' | 'backward' | 'both';
}

const INITIAL_PLAN: LinkPlan = {target: '', delayMs: 0, cut: 'none'};

/** One direction of a connection: delays chunks and holds them while cut. */
class Direction {
  readonly #from: Socket;
  readonly #to: Socket;
  readonly #isCut: () => boolean;
  readonly #delayMs: () => number;
  #heldChunks: (Buffer | undefined)[] = [];
  #dueAtMs = 0;

  constructor(
    from: Socket,
    to: Socket,
    isCut: () => boolean,
    delayMs: () => number,
  ) {
    this.#from = from;
    this.#to = to;
    this.#isCut = isCut;
    this.#delayMs = delayMs;
    from.on('data', chunk => this.#receive(chunk));
    from.on('end', () => this.#receive(undefined));
  }

  /** Forwards the held chunks unless the direction is cut. */
  flush(): void {
    if (this.#isCut()) return;
    const chunks = this.#heldChunks;
    this.#heldChunks = [];
    chunks.forEach(chunk => this.#forward(chunk));
    this.#from.resume();
  }

  #receive(chunk: Buffer | undefined): void {
    const delayMs = this.#delayMs();
    if (delayMs === 0) return this.#forwardOrHold(chunk);
    // Timers may fire early; the due time keeps the chunks in order.
    this.#dueAtMs = Math.max(this.#dueAtMs, performance.now() + delayMs);
    setTimeout(
      () => this.#forwardOrHold(chunk),
      this.#dueAtMs - performance.now(),
    );
  }

  #forwardOrHold(chunk: Buffer | undefined): void {
    if (this.#isCut() || this.#heldChunks.length > 0) {
      this.#heldChunks.push(chunk);
      this.#from.pause();
      return;
    }
    this.#forward(chunk);
  }

  #forward(chunk: Buffer | undefined): void {
    if (this.#to.destroyed) return;
    if (chunk === undefined) {
      this.#to.end();
      return;
    }
    if (this.#to.write(chunk)) return;
    this.#from.pause();
    this.#to.once('drain', () => this.#from.resume());
  }
}

/** One link: its listener and its open connections. */
class Link {
  #plan: LinkPlan = INITIAL_PLAN;
  readonly #directions = new Set<Direction>();
  readonly #heldSockets = new Set<Socket>();
  readonly #server = createServer({allowHalfOpen: true}, socket => {
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#heldSockets.delete(socket));
    this.#heldSockets.add(socket);
    this.#connectHeldSockets();
  });

  listen(): Promise<number> {
    return new Promise(resolve => {
      this.#server.listen(0, '127.0.0.1', () => resolve(this.port));
    });
  }

  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' ? (address?.port ?? 0) : 0;
  }

  change(plan: Partial<LinkPlan>): void {
    this.#plan = {...this.#plan, ...plan};
    this.#directions.forEach(direction => direction.flush());
    this.#connectHeldSockets();
  }

  #connectHeldSockets(): void {
    if (this.#plan.cut !== 'none' || this.#plan.target === '') return;
    this.#heldSockets.forEach(socket => this.#connect(socket));
    this.#heldSockets.clear();
  }

  #connect(near: Socket): void {
    const [host, port] = this.#plan.target.split(':');
    const far = connect({host, port: Number(port), allowHalfOpen: true});
    const isCut = (way: 'forward' | 'backward') => () =>
      this.#plan.cut === way || this.#plan.cut === 'both';
    const delayMs = () => this.#plan.delayMs;
    const directions = [
      new Direction(near, far, isCut('forward'), delayMs),
      new Direction(far, near, isCut('backward'), delayMs),
    ];
    directions.forEach(direction => this.#directions.add(direction));
    const end = () => {
      near.destroy();
      far.destroy();
      directions.forEach(direction => this.#directions.delete(direction));
    };
    near.on('close', end);
    far.on('close', () => setTimeout(end, this.#plan.delayMs));
    far.on('error', end);
    near.setNoDelay(true);
    far.setNoDelay(true);
  }
}

const links = new Map<string, Promise<Link>>();

async function createLink(): Promise<Link> {
  const link = new Link();
  await link.listen();
  return link;
}

function getOrCreateLink(name: string): Promise<Link> {
  const known = links.get(name) ?? createLink();
  links.set(name, known);
  return known;
}

const control = createHttpServer((req, res) => {
  const name = decodeURIComponent((req.url ?? '').slice('/links/'.length));
  const chunks: Buffer[] = [];
  req.on('data', (chunk: Buffer) => chunks.push(chunk));
  req.on('end', () => {
    const plan = JSON.parse(
      Buffer.concat(chunks).toString(),
    ) as Partial<LinkPlan>;
    void getOrCreateLink(name).then(link => {
      link.change(plan);
      res.end(JSON.stringify({port: link.port}));
    });
  });
});
control.listen(0, '127.0.0.1', () => {
  const address = control.address();
  const port = typeof address === 'object' ? address?.port : 0;
  process.stdout.write(`listening ${port}\n`);
});
process.on('SIGTERM', () => process.exit(0));
