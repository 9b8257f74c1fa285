/**
 * Derives the bounds for callers from the memory and the descriptors of the VM.
 * Settings replace single bounds.
 */
import type {MeshSettings} from '../settings.js';
import type {ProgressLimits} from '../../http/body_progress.js';

/** The bounds of one daemon. */
export interface CallerBounds {
  /** Memory of the VM. */
  readonly memoryBytes: number;
  readonly budgetBytes: number;
  readonly maxUnfinishedBytes: number | undefined;
  readonly progress: ProgressLimits;
  readonly maxConnections: number;
  /** Connections with a request that hasn't arrived completely. */
  readonly maxUnfinishedRequests: number;
  /** At each listener for anyone but callers. */
  readonly maxOtherConnections: number;
}

const MEBIBYTE = 1024 * 1024;
/** The smallest VM of the fleets. */
const DEFAULT_MEMORY_MB = 250;
const DEFAULT_MAX_DESCRIPTORS = 4100;
/** At rest a daemon has 65 to 72 MB; garbage and read buffers come on top. */
const PROCESS_MB = 110;
/** Least budget, for a VM that has less memory than the process needs. */
const MIN_BUDGET_MB = 16;
/** Peers, the store, the instance and the other listeners use the rest. */
const CALLERS_DESCRIPTOR_SHARE = 1 / 2;
const OTHER_DESCRIPTOR_SHARE = 1 / 16;
const MIN_OTHER_CONNECTIONS = 8;
/**
 * Each may have 128 KB that were read and not yet parsed: 256 took 239 of 250 MB
 * in a crowd of 300.
 */
const MAX_UNFINISHED_REQUESTS = 128;
/** So that on a VM with less memory they don't take it all. */
const UNFINISHED_REQUESTS_PER_MB = 1;

const DEFAULT_STALL_MS = 5000;
/** 64 callers that share a slow link of 7 Mbit/s get 13 KB/s each. */
const DEFAULT_MIN_BYTES_PER_S = 1024;
const DEFAULT_RATE_WINDOW_MS = 10_000;

/** Computes the bounds. */
export function computeCallerBounds({
  resources,
  callerLimits = {},
}: Pick<MeshSettings, 'resources' | 'callerLimits'>): CallerBounds {
  const memoryMb = resources?.memoryMb ?? DEFAULT_MEMORY_MB;
  const descriptors = resources?.maxDescriptors ?? DEFAULT_MAX_DESCRIPTORS;
  const budgetMb = Math.max(MIN_BUDGET_MB, memoryMb - PROCESS_MB);
  const maxConnections =
    callerLimits.maxConnections ??
    Math.floor(descriptors * CALLERS_DESCRIPTOR_SHARE);
  return {
    memoryBytes: memoryMb * MEBIBYTE,
    budgetBytes: budgetMb * MEBIBYTE,
    maxUnfinishedBytes: callerLimits.maxUnfinishedBytes,
    progress: {
      stallMs: callerLimits.stallMs ?? DEFAULT_STALL_MS,
      minBytesPerS: callerLimits.minBytesPerS ?? DEFAULT_MIN_BYTES_PER_S,
      rateWindowMs: callerLimits.rateWindowMs ?? DEFAULT_RATE_WINDOW_MS,
    },
    maxConnections,
    maxUnfinishedRequests:
      callerLimits.maxUnfinishedRequests ??
      Math.min(
        MAX_UNFINISHED_REQUESTS,
        maxConnections,
        Math.floor(budgetMb * UNFINISHED_REQUESTS_PER_MB),
      ),
    maxOtherConnections: Math.max(
      MIN_OTHER_CONNECTIONS,
      Math.floor(descriptors * OTHER_DESCRIPTOR_SHARE),
    ),
  };
}
