/** Mutant: no peer stores a daemon's counts or receives its marks. */
export function backupPeersOf(): readonly never[] {
  return [];
}
