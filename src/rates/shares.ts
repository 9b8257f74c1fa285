/**
 * Assigns a customer's rate to holders. A customer has one holder per whole
 * token of burst, limited by the number of daemons and `MAX_HOLDERS`: a share
 * of less than one token could never admit a request. All daemons compute the
 * same holders from the generation.
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

/** The customer fields that shares depend on. */
export type CustomerRate = Pick<Customer, 'id' | 'ratePerSecond' | 'burst'>;

/** A daemon and its share of a customer's rate. */
export interface Holder {
  readonly member: GenerationMember;
  readonly share: Share;
}

const MAX_HOLDERS = 16;
/** Largest loan as a fraction of the burst; one token may always be lent. */
const MAX_LOAN_FRACTION = 1 / 3;

/** The holders in a generation; shares sum exactly to rate and burst. */
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

/** The largest loan from a share, in micro-tokens. */
export function maxLoanMicros({burstMicros}: Share): number {
  return Math.max(
    MICROS_PER_TOKEN,
    Math.floor(burstMicros * MAX_LOAN_FRACTION),
  );
}

/** The share of `self`. */
export function shareOf(
  holders: readonly Holder[],
  self: DaemonIdentity,
): Share {
  const own = holders.find(({member}) => isSameDaemon(member, self));
  return own?.share ?? NO_SHARE;
}

/** The share at `index` of a whole number split evenly into `count` shares. */
function evenShare(whole: number, count: number, index: number): number {
  const remainder = whole % count;
  return Math.floor(whole / count) + (index < remainder ? 1 : 0);
}
