/**
 * Who keeps a daemon's counts and marks. Every daemon ranks the members the
 * same way, so that a new process at the same id asks where the old one gave.
 */
import type {MemberRecord} from '../member/messages.js';
import {rankMembers} from '../member/rendezvous.js';

/** The best `count` keepers for a daemon, itself not among them. */
export function backupPeersOf(
  daemon: string,
  members: readonly MemberRecord[],
  count: number,
): readonly MemberRecord[] {
  const others = members.filter(
    member => member.id !== daemon && member.state === 'alive',
  );
  return rankMembers(`report/${daemon}`, others).slice(0, count);
}
