/**
 * What a mesh soak requires of a fleet, whatever the trouble: processes don't end
 * by themselves, start in time, and stay within the memory of their VM, and the
 * callers of each daemon are served again soon after the trouble.
 */
import type {Window} from './mesh_soak.js';
import type {OwnEnd, SoakDaemon, Start} from './processes.js';

/** Callers may come so long after the start of a daemon. */
const MAX_READY_MS = 12_000;
/** After a trouble, callers are served again within this time. */
const RECOVERY_S = 15;

/** What the rules are checked on. */
export interface SoakEvidence {
  readonly daemons: readonly SoakDaemon[];
  readonly windows: readonly Window[];
  readonly memoryMb: number;
}

/** A line for each breach; none if all rules were kept. */
export function findBrokenRules({
  daemons,
  windows,
  memoryMb,
}: SoakEvidence): readonly string[] {
  return [
    ...daemons.flatMap(({ownEnds}) => ownEnds).map(describeOwnEnd),
    ...daemons
      .flatMap(({starts}) => starts)
      .filter(isLate)
      .map(({vm, readyAfterMs}) =>
        readyAfterMs === undefined
          ? `${vm} was not ready`
          : `${vm} was ready after ${Math.round(readyAfterMs)} ms`,
      ),
    ...daemons
      .filter(({peakMemoryMb}) => peakMemoryMb > memoryMb)
      .map(
        ({vm, peakMemoryMb}) => `${vm.id} had ${Math.ceil(peakMemoryMb)} MB`,
      ),
    ...windows
      .filter(
        ({fromS, starvedDaemons}) => fromS >= RECOVERY_S && starvedDaemons,
      )
      .map(
        ({fromS, starvedDaemons}) =>
          `the callers of ${starvedDaemons} daemons were not served from ${fromS} s on`,
      ),
  ];
}

function describeOwnEnd({vm, code, signal, afterMs}: OwnEnd): string {
  return `${vm} ended by itself after ${afterMs} ms: ${signal ?? code}`;
}

function isLate({startedAtMs, readyAfterMs, endedAfterMs}: Start): boolean {
  const ranMs = endedAfterMs ?? performance.now() - startedAtMs;
  return (readyAfterMs ?? ranMs) > MAX_READY_MS;
}
