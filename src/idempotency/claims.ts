/**
 * The router's side of idempotency keys. Before a request with a key runs, the
 * router claims the key at every holder (a daemon that records attempts with
 * this key). Every router asks the holders one after the other and in the same
 * order. So of two racing attempts the one that reaches the first holder first
 * usually runs, and never both.
 */
import {createHash, randomUUID} from 'node:crypto';
import type {Links} from '../member/links.js';
import type {GenerationMember} from '../member/generation.js';
import type {Holders} from './holders.js';
import type {Ledger} from './ledger.js';
import type {FirstRun, Settlement} from './messages.js';
import {decideClaim, SILENT_RETRY_MS, type HolderAnswer} from './rules.js';

/** Whether the router may run a request with an idempotency key. */
export type Claim =
  | {
      readonly verdict: 'run';
      /**
       * Reports to the holders how the request ended. Doesn't wait for their
       * answers and never throws.
       */
      settle(settlement: Settlement): void;
    }
  | {readonly verdict: 'seen'; readonly first: FirstRun}
  | {readonly verdict: 'unsure'; readonly retryAfterMs: number};

/** Options of {@link Claims}. */
export interface ClaimsOptions {
  readonly selfId: string;
  readonly holders: Holders;
  readonly ledger: Ledger;
  readonly links: Links;
  /** False while a newer generation may exist that this daemon hasn't seen. */
  readonly isCurrent: () => boolean;
}

const CLAIM_TIMEOUT_MS = 500;
const SETTLE_TIMEOUT_MS = 2000;

/** Claims keys at their holders, and answers claims of other daemons. */
export class Claims {
  readonly #options: ClaimsOptions;

  constructor(options: ClaimsOptions) {
    this.#options = options;
    const {ledger, links} = options;
    links.handle('idempotency.claim', ({name, attempt}) =>
      ledger.claim(name, attempt),
    );
    links.handle('idempotency.confirm', ({name, attempt}) => ({
      holds: ledger.holds(name, attempt),
    }));
    links.handle('idempotency.settle', ({name, attempt, settlement}) => ({
      known: ledger.settle(name, attempt, settlement),
    }));
  }

  /** Claims a key; equal keys in different scopes are independent. */
  async claim(scope: string, key: string): Promise<Claim> {
    const name = nameOf(scope, key);
    const attempt = randomUUID();
    const holders = this.#options.holders.of(name);
    if (!this.#options.isCurrent()) {
      return {verdict: 'unsure', retryAfterMs: SILENT_RETRY_MS};
    }
    const answers = await this.#ask(name, attempt, holders);
    const settle = (settlement: Settlement) =>
      holders
        .slice(0, answers.length)
        .forEach(holder => this.#settle(holder, name, attempt, settlement));
    const verdict = decideClaim(answers, holders.length);
    if (verdict.verdict === 'run') return {verdict: 'run', settle};
    const isConfirmed =
      verdict.verdict === 'confirm' &&
      (await this.#confirm(name, attempt, holders));
    if (isConfirmed) return {verdict: 'run', settle};
    settle('released');
    if (verdict.verdict !== 'confirm') return verdict;
    return {verdict: 'unsure', retryAfterMs: SILENT_RETRY_MS};
  }

  /** Claims at one holder after the other; stops at the first that refuses. */
  async #ask(
    name: string,
    attempt: string,
    holders: readonly GenerationMember[],
  ): Promise<readonly HolderAnswer[]> {
    const answers: HolderAnswer[] = [];
    for (const holder of holders) {
      const answer = await this.#askOne(holder, name, attempt);
      answers.push(answer);
      if (answer.answer !== 'fresh') return answers;
    }
    return answers;
  }

  /** True if every holder confirms that it still holds the claim. */
  async #confirm(
    name: string,
    attempt: string,
    holders: readonly GenerationMember[],
  ): Promise<boolean> {
    const {selfId, ledger, links} = this.#options;
    const answers = holders.map(async ({id, peersAddress}) => {
      if (id === selfId) return ledger.holds(name, attempt);
      const body = {name, attempt};
      const kind = 'idempotency.confirm';
      const asked = links.call(peersAddress, kind, body, CLAIM_TIMEOUT_MS);
      return asked.then(
        ({holds}) => holds,
        () => false,
      );
    });
    return (await Promise.all(answers)).every(holds => holds);
  }

  async #askOne(
    holder: GenerationMember,
    name: string,
    attempt: string,
  ): Promise<HolderAnswer> {
    const {selfId, ledger, links} = this.#options;
    const body = {name, attempt};
    try {
      if (holder.id === selfId) return ledger.claim(name, attempt);
      return await links.call(
        holder.peersAddress,
        'idempotency.claim',
        body,
        CLAIM_TIMEOUT_MS,
      );
    } catch {
      return SILENT;
    }
  }

  #settle(
    holder: GenerationMember,
    name: string,
    attempt: string,
    settlement: Settlement,
  ): void {
    const {selfId, ledger, links} = this.#options;
    if (holder.id === selfId) {
      ledger.settle(name, attempt, settlement);
      return;
    }
    const body = {name, attempt, settlement};
    // If a release is lost, the key is refused until the retention time
    // has passed.
    links
      .call(holder.peersAddress, 'idempotency.settle', body, SETTLE_TIMEOUT_MS)
      .catch(() => undefined);
  }
}

const SILENT: HolderAnswer = {answer: 'silent'};

function nameOf(scope: string, key: string): string {
  return createHash('sha256').update(`${scope}\n${key}`).digest('base64url');
}
