/**
 * Who holds a customer's rate. A customer has as many holders as it has whole
 * tokens of burst, within limits: a share under one token serves nobody. All
 * daemons work the holders out alike from the generation.
 */
import type {Customer} from '../configuration/records.js';
import {
  isSameDaemon,
  type DaemonIdentity,
  type Generation,
  type GenerationMember,
} from '../member/generation.js';
import {rankMembers} from '../member/rendezvous.js';
import {MICROS_PER_TOKEN, NO_SHARE, type Share} from './micro_tokens.js';

/** What a share depends on, besides the generation. */
export type CustomerRate = Pick<Customer, 'id' | 'ratePerSecond' | 'burst'>;

/** A holder and what it owns. */
export interface Holder {
  readonly member: GenerationMember;
  readonly share: Share;
}

const MAX_HOLDERS = 16;
/** A loan of more than a token takes at most this part of a burst. */
const MAX_LOAN_FRACTION = 1 / 3;

/** The holders of a customer in a generation; their shares sum exactly. */
export function holdersOf(
  customer: CustomerRate,
  generation: Generation,
): readonly Holder[] {
  const {members} = generation;
  const count = Math.min(customer.burst, members.length, MAX_HOLDERS);
  const rate = Math.floor(customer.ratePerSecond * MICROS_PER_TOKEN);
  const burst = customer.burst * MICROS_PER_TOKEN;
  return rankMembers(customer.id, members)
    .slice(0, count)
    .map((member, index) => ({
      member,
      share: {
        rateMicros: evenShare(rate, count, index),
        burstMicros: evenShare(burst, count, index),
      },
    }));
}

/** The most that one loan of a share may be, in micro-tokens. */
export function maxLoanMicros({burstMicros}: Share): number {
  return Math.max(
    MICROS_PER_TOKEN,
    Math.floor(burstMicros * MAX_LOAN_FRACTION),
  );
}

/** What `self` owns of a customer's rate. */
export function shareOf(
  holders: readonly Holder[],
  self: DaemonIdentity,
): Share {
  const own = holders.find(({member}) => isSameDaemon(member, self));
  return own?.share ?? NO_SHARE;
}

/** The part of one of `count` that divide a whole number among them. */
function evenShare(whole: number, count: number, index: number): number {
  const rest = whole % count;
  return Math.floor(whole / count) + (index < rest ? 1 : 0);
}
