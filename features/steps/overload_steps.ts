/** Steps that send more requests than there are slots. */
import {Given, Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type {CallerAnswer, World} from '../support/world.js';

interface TimedAnswer extends CallerAnswer {
  readonly tookMs: number;
  /** Duration of a request that needs no slot, sent at the same time. */
  readonly controlTookMs?: number;
}

interface OverloadWorld extends World {
  timedAnswers?: readonly TimedAnswer[];
}

async function sendTimed(
  world: World,
  path = '/ledger/balances',
): Promise<TimedAnswer> {
  const startedAtMs = performance.now();
  const answer = await world.request('d1', path);
  return {...answer, tookMs: performance.now() - startedAtMs};
}

/** Sends a request that needs a slot together with one that has no route. */
async function sendWithControl(world: World): Promise<TimedAnswer> {
  const [answer, control] = await Promise.all([
    sendTimed(world),
    sendTimed(world, '/no-route'),
  ]);
  assert.equal(control.status, 404);
  return {...answer, controlTookMs: control.tookMs};
}

Given(
  '{int} requests are sent one after the other',
  async function (this: OverloadWorld, count: number) {
    for (let sent = 0; sent < count; sent += 1) await sendTimed(this);
  },
);

When(
  '{int} requests are sent at once, each together with one that needs no slot',
  async function (this: OverloadWorld, count: number) {
    const sends = Array.from({length: count}, () => sendWithControl(this));
    this.timedAnswers = await Promise.all(sends);
  },
);

When(
  '{int} callers disconnect {int} ms after their requests',
  async function (this: OverloadWorld, count: number, afterMs: number) {
    const disconnect = async () => {
      const signal = AbortSignal.timeout(afterMs);
      const sent = this.request('d1', '/ledger/balances', {signal});
      await assert.rejects(sent, {name: 'TimeoutError'});
    };
    await Promise.all(Array.from({length: count}, disconnect));
  },
);

Then('each was answered 200', function (this: OverloadWorld) {
  const answers = (this.timedAnswers ?? []).map(({status, text}) => ({
    status,
    text,
  }));
  const others = answers.filter(({status}) => status !== 200);
  assert.deepEqual(others, []);
});

Then(
  'each was answered 200, or refused with Retry-After within {int} ms of the one that needs no slot',
  function (this: OverloadWorld, boundMs: number) {
    const refused = (this.timedAnswers ?? [])
      .filter(({status}) => status !== 200)
      .map(answer => ({
        ...answer,
        // The time that both took is due to test and connection, not the queue.
        extraMs: answer.tookMs - (answer.controlTookMs ?? 0),
      }));
    const largestExtraMs = Math.max(...refused.map(({extraMs}) => extraMs));
    process.stdout.write(
      `\n${refused.length} refused, at most ${Math.round(largestExtraMs)} ms after the request without a slot\n`,
    );
    assert.ok(refused.length > 0, 'no request was refused');
    refused.forEach(({status, text, headers, extraMs}) => {
      assert.equal(status, 503);
      assert.match(text, /"ran":"no"/);
      assert.ok(Number(headers.get('retry-after')) >= 1);
      assert.ok(extraMs <= boundMs, `${extraMs} ms`);
    });
  },
);

Then(
  'at least {int} of them were answered 200',
  function (this: OverloadWorld, bound: number) {
    const served = (this.timedAnswers ?? []).filter(
      ({status}) => status === 200,
    );
    assert.ok(served.length >= bound, `${served.length} were answered 200`);
  },
);
