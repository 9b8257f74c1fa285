/**
 * Preserves a daemon's counts across a planned restart: before it stops, the
 * daemon sends them to a few backup peers, and the next process with the same
 * id fetches them back. While it runs, a daemon sends marks to the same peers.
 * A mark records the time spans that the daemon has counted, so counts lost in
 * a crash appear in the report as a gap.
 */
import {reasonOf} from '../errors/failure.js';
import type {Logger} from '../log/logger.js';
import type {Links} from '../member/links.js';
import type {Membership} from '../member/membership.js';
import {HISTORY_MS, type BurnCounter} from './counter.js';
import {backupPeersOf} from './backup_peers.js';
import type {Mark, Statement} from './messages.js';

/** Options of {@link Handover}. */
export interface HandoverOptions {
  readonly counter: BurnCounter;
  readonly links: Links;
  readonly membership: Membership;
  readonly log: Logger;
}

/** Counts of a daemon itself, and the counts and marks it stores for peers. */
export interface BurnAnswer {
  readonly statement: Statement;
  readonly kept: readonly Statement[];
  readonly marks: readonly Mark[];
}

const BACKUP_PEERS = 2;
/**
 * More peers than {@link BACKUP_PEERS}, since members that joined or left
 * meanwhile may have shifted the ranking by one or two places.
 */
const FETCH_PEERS = 4;
const MARK_INTERVAL_MS = 10_000;
const FIRST_ROUND_MS = 500;
const FETCH_ROUNDS = 6;
const CALL_TIMEOUT_MS = 1000;
/**
 * Counts that their daemon has fetched back stay this long, since a report that
 * is being collected may still need them.
 */
const KEPT_GRACE_MS = 60_000;
const MAX_MARKS = 64;
const MAX_KEPT = 8;

/** Sends counts to backup peers and stores those of other daemons. */
export class Handover {
  readonly #options: HandoverOptions;
  readonly #kept = new Map<string, Statement>();
  readonly #marks = new Map<string, Mark>();
  #timer: NodeJS.Timeout | undefined;
  #round = 0;

  constructor(options: HandoverOptions) {
    this.#options = options;
    const {links} = options;
    links.handle('report.mark', mark => this.#storeMark(mark));
    links.handle('report.keep', ({statement}) =>
      this.#storeStatement(statement),
    );
    links.handle('report.fetch', ({daemon}) => ({
      statements: [...this.#kept.values()].filter(s => s.daemon === daemon),
    }));
  }

  start(): void {
    this.#schedule(FIRST_ROUND_MS);
  }

  /**
   * Sends the own counts to the backup peers, and the counts stored for others
   * to the best-ranked of them. Must be called while peers are still reachable.
   */
  async handOver(): Promise<void> {
    clearTimeout(this.#timer);
    const statements = [this.#options.counter.statement()];
    const own = this.#callBackupPeers(BACKUP_PEERS, async address => {
      await this.#sendStatements(address, statements);
    });
    const passedOn = this.#callBackupPeers(1, async address => {
      await this.#sendStatements(address, [...this.#kept.values()]);
    });
    await Promise.all([own, passedOn]);
  }

  answer(): BurnAnswer {
    this.#dropExpired();
    return {
      statement: this.#options.counter.statement(),
      kept: [...this.#kept.values()],
      marks: [...this.#marks.values()],
    };
  }

  #schedule(delayMs: number): void {
    this.#timer = setTimeout(() => void this.#runRound(), delayMs);
  }

  /** Fetches stored counts in the first rounds; sends a mark in every round. */
  async #runRound(): Promise<void> {
    this.#round += 1;
    const early = this.#round <= FETCH_ROUNDS;
    if (early) await this.#fetchStatements();
    const mark = this.#ownMark();
    const {links} = this.#options;
    await this.#callBackupPeers(BACKUP_PEERS, async address => {
      await links.call(address, 'report.mark', mark, CALL_TIMEOUT_MS);
    });
    this.#schedule(early ? FIRST_ROUND_MS : MARK_INTERVAL_MS);
  }

  async #fetchStatements(): Promise<void> {
    const {links, membership, counter} = this.#options;
    const daemon = membership.self().id;
    const found: Statement[] = [];
    await this.#callBackupPeers(FETCH_PEERS, async address => {
      const body = {daemon};
      const reply = await links.call(
        address,
        'report.fetch',
        body,
        CALL_TIMEOUT_MS,
      );
      found.push(...reply.statements);
    });
    found
      .toSorted((a, b) => b.spans.length - a.spans.length)
      .forEach(statement => counter.inherit(statement));
  }

  async #sendStatements(
    address: string,
    statements: readonly Statement[],
  ): Promise<void> {
    const {links} = this.#options;
    await Promise.all(
      statements.map(statement =>
        links.call(address, 'report.keep', {statement}, CALL_TIMEOUT_MS),
      ),
    );
  }

  #ownMark(): Mark {
    const {membership, counter} = this.#options;
    return {daemon: membership.self().id, spans: counter.spans()};
  }

  /** Runs the task for the backup peers of this daemon and logs failures. */
  async #callBackupPeers(
    count: number,
    task: (address: string) => Promise<void>,
  ): Promise<void> {
    const {log, membership} = this.#options;
    const {id} = membership.self();
    const calls = backupPeersOf(id, membership.members(), count).map(peer =>
      task(peer.peersAddress).catch((err: unknown) =>
        log.debug(`Report call to ${peer.id} failed: ${reasonOf(err)}.`),
      ),
    );
    await Promise.all(calls);
  }

  #storeMark(mark: Mark): null {
    const merged = withEarlierSpans(mark, this.#marks.get(mark.daemon));
    this.#marks.delete(mark.daemon);
    this.#marks.set(mark.daemon, merged);
    [...this.#marks.keys()]
      .slice(0, Math.max(0, this.#marks.size - MAX_MARKS))
      .forEach(daemon => this.#marks.delete(daemon));
    const kept = this.#kept.get(mark.daemon);
    const covers = (incarnation: number) =>
      mark.spans.some(span => span.incarnation === incarnation);
    const isCovered = kept?.spans.every(span => covers(span.incarnation));
    if (kept && isCovered && Date.now() > endOf(kept) + KEPT_GRACE_MS) {
      this.#kept.delete(mark.daemon);
    }
    return null;
  }

  #storeStatement(statement: Statement): null {
    this.#kept.delete(statement.daemon);
    this.#kept.set(statement.daemon, statement);
    [...this.#kept.keys()]
      .slice(0, Math.max(0, this.#kept.size - MAX_KEPT))
      .forEach(daemon => this.#kept.delete(daemon));
    return null;
  }

  #dropExpired(): void {
    const firstMs = Date.now() - HISTORY_MS;
    const isOld = ({spans}: Mark) => spans.every(s => s.untilMs < firstMs);
    [this.#kept, this.#marks].forEach(table =>
      [...table.values()]
        .filter(isOld)
        .forEach(({daemon}) => table.delete(daemon)),
    );
  }
}

function endOf({spans}: Statement): number {
  return Math.max(...spans.map(span => span.untilMs));
}

/**
 * Adds the spans of the earlier mark that the new one lacks. No later mark
 * includes the spans of a crashed process, so only the stored mark has them.
 */
function withEarlierSpans(mark: Mark, earlier: Mark | undefined): Mark {
  const firstMs = Date.now() - HISTORY_MS;
  const reported = new Set(mark.spans.map(span => span.incarnation));
  const earlierOnly = (earlier?.spans ?? [])
    .filter(span => !reported.has(span.incarnation))
    .filter(span => span.untilMs >= firstMs);
  return {...mark, spans: [...earlierOnly, ...mark.spans]};
}
