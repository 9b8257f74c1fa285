/**
 * Rendezvous hashing: for a given name, every daemon ranks the same members in
 * the same order, and a member that joins or leaves moves only its own share.
 */
import {createHash} from 'node:crypto';

/** Sorts members by their score for `name`, the highest first. */
export function rankMembers<Member extends {readonly id: string}>(
  name: string,
  members: readonly Member[],
): readonly Member[] {
  return members
    .map(member => ({member, score: computeScore(name, member.id)}))
    .toSorted((a, b) => b.score - a.score || compareIds(a.member, b.member))
    .map(({member}) => member);
}

function computeScore(name: string, id: string): number {
  const digest = createHash('md5').update(`${name}\n${id}`).digest();
  return digest.readUIntBE(0, 6);
}

function compareIds(
  a: {readonly id: string},
  b: {readonly id: string},
): number {
  return a.id < b.id ? -1 : 1;
}
