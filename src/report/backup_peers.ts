/**
 * Selects the backup peers that store a daemon's counts and marks. Every daemon
 * ranks the members by the same rendezvous hashing, so a new process with the
 * same id queries the peers to which the previous process sent its counts.
 */
import type {MemberRecord} from '../member/messages.js';
import {rankMembers} from '../member/rendezvous.js';

/** Returns the `count` alive members that rank highest, without the daemon. */
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
