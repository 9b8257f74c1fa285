/** Steps that request tokens from one account with simulated holders. */
import {Given, Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import type {GenerationMember} from '../../src/member/generation.js';
import {Account} from '../../src/rates/account.js';
import type {Admission} from '../../src/rates/limiter.js';
import type {DrawReply, DrawRequest} from '../../src/rates/messages.js';
import {BorrowedTokens} from '../../src/rates/borrowed_tokens.js';
import type {Holder} from '../../src/rates/shares.js';
import {blockFor} from '../support/late_event_loop.js';
import type {World} from '../support/world.js';

interface AccountWorld extends World {
  account?: Account;
  admission?: Admission;
  tookMs?: number;
}

/** Longer than any scenario waits. */
const NEVER_MS = 10_000;
const CUSTOMER = {id: 'can-tho', ratePerSecond: 40, burst: 30};

/** An account whose holders reply after the given times, nearest first. */
function accountOf(answerAfterMs: readonly number[]): Account {
  const members = answerAfterMs.map((_, index): GenerationMember => ({
    id: `d${index}`,
    failureDomain: `domain-${index}`,
    region: 'south',
    peersAddress: `127.0.0.1:${index + 1}`,
  }));
  const indexOf = ({member}: Holder) =>
    members.findIndex(({id}) => id === member.id);
  let loanCount = 0;
  return new Account({
    customer: CUSTOMER,
    generation: {number: 1, members, witnesses: [], previousWitnesses: []},
    borrowed: new BorrowedTokens(),
    distance: indexOf,
    nextLoanId: () => `loan-${loanCount++}`,
    draw: async (holder, req) => {
      await sleep(answerAfterMs[indexOf(holder)] ?? 0);
      // Replies are read after the timers of a turn.
      await nextImmediate();
      return grant(holder, req);
    },
  });
}

function nextImmediate(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

function grant({share}: Holder, {wantedMicros}: DrawRequest): DrawReply {
  return {
    grants: true,
    grantedMicros: wantedMicros,
    balanceMicros: share.burstMicros,
    rateMicros: share.rateMicros,
  };
}

Given(
  'a customer whose only holder replies after {int} ms',
  function (this: AccountWorld, afterMs: number) {
    this.account = accountOf([afterMs]);
  },
);

Given(
  'a customer whose nearer holder replies at once and the other after {int} ms',
  function (this: AccountWorld, afterMs: number) {
    this.account = accountOf([0, afterMs]);
  },
);

Given(
  'a customer whose only holder replies at once',
  function (this: AccountWorld) {
    this.account = accountOf([0]);
  },
);

Given(
  'a customer whose only holder never replies',
  function (this: AccountWorld) {
    this.account = accountOf([NEVER_MS]);
  },
);

When('a request needs a token', async function (this: AccountWorld) {
  const startedAtMs = performance.now();
  this.admission = await this.account?.admit();
  this.tookMs = performance.now() - startedAtMs;
});

When(
  'a request needs a token and the daemon is then busy for {int} ms',
  async function (this: AccountWorld, busyMs: number) {
    const admitted = this.account?.admit();
    // The timers run next after an immediate, and the reads after them.
    await nextImmediate();
    blockFor(busyMs);
    this.admission = await admitted;
  },
);

Then('the request is admitted', function (this: AccountWorld) {
  assert.equal(this.admission?.admitted, true, JSON.stringify(this.admission));
});

Then(
  'the request is admitted within {int} ms',
  function (this: AccountWorld, boundMs: number) {
    assert.equal(this.admission?.admitted, true);
    assert.ok((this.tookMs ?? Infinity) <= boundMs, `${this.tookMs} ms`);
  },
);

Then(
  'the request is refused as {string} within {int} ms',
  function (this: AccountWorld, reason: string, boundMs: number) {
    const {admission} = this;
    assert.ok(admission && !admission.admitted, 'the request was admitted');
    assert.equal(admission.reason, reason);
    assert.ok((this.tookMs ?? Infinity) <= boundMs, `${this.tookMs} ms`);
  },
);
