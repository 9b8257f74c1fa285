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
import type {FirstRequestState, Settlement} from './messages.js';
import {
  decideClaim,
  NO_ANSWER_RETRY_AFTER_MS,
  type HolderAnswer,
} from './claim_rule.js';

/** Whether the router may run a request with an idempotency key. */
export type ClaimResult =
  | {
      readonly verdict: 'run';
      /**
       * Reports to the holders how the request ended. Doesn't wait for their
       * answers and never throws.
       */
      settle(settlement: Settlement): void;
    }
  | {readonly verdict: 'seen'; readonly first: FirstRequestState}
  | {readonly verdict: 'unsure'; readonly retryAfterMs: number};

/** Options of {@link KeyClaimer}. */
export interface KeyClaimerOptions {
  readonly selfId: string;
  readonly holders: Holders;
  readonly ledger: Ledger;
  readonly links: Links;
  /** False while a newer generation may exist that this daemon hasn't seen. */
  readonly isGenerationCurrent: () => boolean;
}

const CLAIM_TIMEOUT_MS = 500;
const SETTLE_TIMEOUT_MS = 2000;

/** Claims keys at their holders, and answers claims of other daemons. */
export class KeyClaimer {
  readonly #options: KeyClaimerOptions;

  constructor(options: KeyClaimerOptions) {
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
  async claim(scope: string, key: string): Promise<ClaimResult> {
    const name = hashKey(scope, key);
    const attempt = randomUUID();
    const holders = this.#options.holders.findHolders(name);
    if (!this.#options.isGenerationCurrent()) {
      return {verdict: 'unsure', retryAfterMs: NO_ANSWER_RETRY_AFTER_MS};
    }
    const answers = await this.#claimAtHolders(name, attempt, holders);
    const settle = (settlement: Settlement) =>
      holders
        .slice(0, answers.length)
        .forEach(holder => this.#settleAt(holder, name, attempt, settlement));
    const verdict = decideClaim(answers, holders.length);
    if (verdict.verdict === 'run') return {verdict: 'run', settle};
    const isConfirmed =
      verdict.verdict === 'confirm' &&
      (await this.#confirmAtHolders(name, attempt, holders));
    if (isConfirmed) return {verdict: 'run', settle};
    settle('released');
    if (verdict.verdict !== 'confirm') return verdict;
    return {verdict: 'unsure', retryAfterMs: NO_ANSWER_RETRY_AFTER_MS};
  }

  /**
   * Claims at one holder after the other; stops at the first that refuses or
   * doesn't answer.
   */
  async #claimAtHolders(
    name: string,
    attempt: string,
    holders: readonly GenerationMember[],
  ): Promise<readonly HolderAnswer[]> {
    const answers: HolderAnswer[] = [];
    for (const holder of holders) {
      const answer = await this.#claimAt(holder, name, attempt);
      answers.push(answer);
      if (answer.answer !== 'fresh') return answers;
    }
    return answers;
  }

  /** True if every holder confirms that it still holds the claim. */
  async #confirmAtHolders(
    name: string,
    attempt: string,
    holders: readonly GenerationMember[],
  ): Promise<boolean> {
    const {selfId, ledger, links} = this.#options;
    const answers = holders.map(async ({id, peersAddress}) => {
      if (id === selfId) return ledger.holds(name, attempt);
      const body = {name, attempt};
      const kind = 'idempotency.confirm';
      const confirmation = links.call(
        peersAddress,
        kind,
        body,
        CLAIM_TIMEOUT_MS,
      );
      return confirmation.then(
        ({holds}) => holds,
        () => false,
      );
    });
    return (await Promise.all(answers)).every(holds => holds);
  }

  async #claimAt(
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
      return NO_ANSWER;
    }
  }

  #settleAt(
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

const NO_ANSWER: HolderAnswer = {answer: 'silent'};

function hashKey(scope: string, key: string): string {
  return createHash('sha256').update(`${scope}\n${key}`).digest('base64url');
}
