/**
 * Plans the next generation: its members, and a choice of witnesses that is
 * spread over the failure domains and keeps the current ones where it can.
 */
import {
  witnessesOf,
  type Generation,
  type GenerationMember,
} from './generation.js';
import type {MemberRecord} from './messages.js';
import {rankMembers} from './rendezvous.js';

const MAX_WITNESSES_PER_DOMAIN = 3;
const MAX_WITNESSES = 9;

/** Plans the generation after `current`; `members` are sorted by id. */
export function planGeneration(
  current: Generation | undefined,
  members: readonly GenerationMember[],
): Generation {
  return {
    number: (current?.number ?? 0) + 1,
    members,
    witnesses: chooseWitnesses(current, members),
    previousWitnesses: current ? witnessesOf(current) : [],
  };
}

/** The members that can be given duties: those that aren't leaving. */
export function eligibleMembers(
  records: readonly MemberRecord[],
): readonly GenerationMember[] {
  return records.filter(record => record.state === 'alive').map(toMember);
}

/** True if both generations have the same members at the same addresses. */
export function hasSameMembers(a: Generation, b: Generation): boolean {
  return JSON.stringify(a.members) === JSON.stringify(b.members);
}

/** Keeps witnesses that are still members; adds others by rendezvous rank. */
function chooseWitnesses(
  current: Generation | undefined,
  members: readonly GenerationMember[],
): readonly string[] {
  const domains = [...new Set(members.map(member => member.failureDomain))];
  const quota = Math.max(
    1,
    Math.min(
      MAX_WITNESSES_PER_DOMAIN,
      Math.floor(MAX_WITNESSES / Math.max(1, domains.length)),
    ),
  );
  const kept = new Set(current?.witnesses);
  return domains.flatMap(domain => {
    const inDomain = members.filter(m => m.failureDomain === domain);
    return rankMembers('witness', inDomain)
      .toSorted((a, b) => Number(kept.has(b.id)) - Number(kept.has(a.id)))
      .slice(0, quota)
      .map(member => member.id);
  });
}

function toMember(record: MemberRecord): GenerationMember {
  const {id, failureDomain, region, peersAddress} = record;
  return {id, failureDomain, region, peersAddress};
}
