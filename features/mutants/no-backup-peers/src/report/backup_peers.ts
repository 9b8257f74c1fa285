/** Mutant: nobody keeps a daemon's counts or learns that it counts. */
export function backupPeersOf(): readonly never[] {
  return [];
}
