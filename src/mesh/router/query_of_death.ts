/**
 * Quarantine of requests that end every instance that runs them ("query of
 * death"). A request is recognised by its fingerprint. Daemons share which
 * instances ended while they ran it; from the third on, with no good response
 * meanwhile, it is refused at once everywhere. After a pause, which doubles with
 * each further instance, one request is let in as a trial.
 *
 * Requests that run beside it are lost as well, and so are all requests at
 * instances that are killed. Those differ from each other, or also end well.
 */
import type {DecisionLog, LogFields} from '../../log/decision_log.js';
import type {MeshMetrics} from '../mesh_metrics.js';

/** An instance ended during a run, `ageMs` ago. */
export interface InstanceEnd {
  readonly instance: string;
  readonly ageMs: number;
}

/** What a daemon knows of a fingerprint, as it tells its peers. */
export interface FingerprintRecord {
  readonly fingerprint: string;
  readonly ends: readonly InstanceEnd[];
  /** Time since the last good response; undefined: none is known. */
  readonly succeededAgeMs?: number;
  /** Time since the last trial; undefined: there was none. */
  readonly trialAgeMs?: number;
}

/** Whether a request may be sent. */
export type Verdict =
  | {readonly kind: 'allowed'}
  | {readonly kind: 'quarantined'; readonly retryAfterMs: number};

/** Options of {@link QueryOfDeathGuard}. */
export interface QueryOfDeathOptions {
  readonly isEnabled: boolean;
  readonly log: DecisionLog;
  readonly metrics: Pick<MeshMetrics, 'recordQuarantine'>;
  /** Called with what the peers should know at once. */
  readonly onEvidence: (record: FingerprintRecord) => void;
}

/** Instances that ended until the fingerprint is quarantined. */
const QUARANTINE_ENDS = 3;
/** The first pause until a trial; it doubles with each further instance. */
const MIN_PAUSE_MS = 30_000;
const MAX_PAUSE_MS = 600_000;
/** A trial without a result blocks others for this long. */
const TRIAL_TIMEOUT_MS = 10_000;
/** An end this soon after a good response had another cause. */
const SUCCESS_WINDOW_MS = 10_000;
/** A good response is announced again after this time. */
const ANNOUNCE_INTERVAL_MS = 5000;
/** Ends of one instance within this time are the same. */
const SAME_END_MS = 1000;
/** Bounds of what is remembered; the oldest is forgotten first. */
export const MAX_RECORDS = 512;
const MAX_SUCCESSES = 4096;
/** At most this many ends are kept for a fingerprint. */
export const MAX_ENDS = 8;
/** Without a further end a record is forgotten after this time. */
export const MAX_AGE_MS = 2 * MAX_PAUSE_MS;

const ALLOWED: Verdict = {kind: 'allowed'};

/** An instance ended during a run; monotonic time. */
interface TimedEnd {
  readonly instance: string;
  readonly atMs: number;
}

interface Suspect {
  readonly ends: readonly TimedEnd[];
  readonly trialAtMs: number;
}

/** Decides which requests are quarantined. */
export class QueryOfDeathGuard {
  readonly #options: QueryOfDeathOptions;
  /** In the order of their last change. */
  readonly #suspects = new Map<string, Suspect>();
  /** Monotonic time of the last good response, in that order. */
  readonly #succeededAtMs = new Map<string, number>();
  /** When a good response was last announced to the peers. */
  readonly #announcedAtMs = new Map<string, number>();

  constructor(options: QueryOfDeathOptions) {
    this.#options = options;
  }

  /** Whether a request may be sent; the first one after a pause is a trial. */
  check(fingerprint: string, nowMs = performance.now()): Verdict {
    const state = this.stateOf(fingerprint, nowMs);
    if (state.kind === 'allowed') return ALLOWED;
    if (state.kind === 'quarantined') {
      this.#options.metrics.recordQuarantine('refused');
      return state;
    }
    const {ends = []} = this.#suspects.get(fingerprint) ?? {};
    this.#store(fingerprint, {ends, trialAtMs: nowMs});
    this.#report('trial', fingerprint, nowMs);
    return ALLOWED;
  }

  /** What `check` would do, without starting a trial or counting anything. */
  stateOf(
    fingerprint: string,
    nowMs = performance.now(),
  ): Verdict | {readonly kind: 'trial'} {
    const suspect = this.#suspects.get(fingerprint);
    if (!suspect || !this.isQuarantined(fingerprint)) return ALLOWED;
    const openAtMs = trialDueAtMs(suspect);
    if (nowMs >= openAtMs) return {kind: 'trial'};
    return {kind: 'quarantined', retryAfterMs: openAtMs - nowMs};
  }

  /** Whether a request must not be sent to a further instance. */
  isQuarantined(fingerprint: string): boolean {
    const {ends = []} = this.#suspects.get(fingerprint) ?? {};
    const {isEnabled} = this.#options;
    return isEnabled && ends.length >= QUARANTINE_ENDS;
  }

  /** Records that an instance ended while it ran a request. */
  recordEnd(
    fingerprint: string,
    instance: string,
    id: string,
    nowMs = performance.now(),
  ): void {
    if (!this.#addEnd(fingerprint, {instance, atMs: nowMs})) return;
    this.#report('instance-ended', fingerprint, nowMs, {id, instance});
  }

  /** Records a good response, which shows that a request is harmless. */
  recordSuccess(fingerprint: string, nowMs = performance.now()): void {
    if (!this.#addSuccess(fingerprint, nowMs)) return;
    this.#report('cleared', fingerprint, nowMs);
  }

  /** Merges what a peer knows of a fingerprint. */
  merge(record: FingerprintRecord, nowMs = performance.now()): void {
    const {fingerprint, succeededAgeMs, trialAgeMs} = record;
    if (succeededAgeMs !== undefined) {
      this.#addSuccess(fingerprint, nowMs - succeededAgeMs);
    }
    const ends = record.ends.map(({instance, ageMs}) => {
      return {instance, atMs: nowMs - ageMs};
    });
    const isRefuted = ends.some(end => this.#isRefuted(fingerprint, end));
    if (isRefuted) this.#announceSuccess(fingerprint, nowMs);
    ends.forEach(end => this.#addEnd(fingerprint, end));
    this.#mergeTrial(fingerprint, nowMs - (trialAgeMs ?? Infinity));
  }

  /** What a daemon that has just connected should know. */
  records(nowMs = performance.now()): readonly FingerprintRecord[] {
    return [...this.#suspects.keys()].map(fingerprint =>
      this.#recordOf(fingerprint, nowMs),
    );
  }

  #mergeTrial(fingerprint: string, trialAtMs: number): void {
    const suspect = this.#suspects.get(fingerprint);
    if (!suspect || suspect.trialAtMs >= trialAtMs) return;
    this.#store(fingerprint, {...suspect, trialAtMs});
  }

  /** Whether good responses show that an end had another cause. */
  #isRefuted(fingerprint: string, end: TimedEnd): boolean {
    const succeededAtMs = this.#succeededAtMs.get(fingerprint) ?? -Infinity;
    return end.atMs - succeededAtMs < SUCCESS_WINDOW_MS;
  }

  /** Tells the peers of a good response, since one of them knows of none. */
  #announceSuccess(fingerprint: string, nowMs: number): void {
    const lastMs = this.#announcedAtMs.get(fingerprint) ?? -Infinity;
    if (nowMs - lastMs < ANNOUNCE_INTERVAL_MS) return;
    setNewest(this.#announcedAtMs, fingerprint, nowMs, MAX_RECORDS);
    this.#options.onEvidence(this.#recordOf(fingerprint, nowMs));
  }

  /** Adds an end; false if it is known already, or had another cause. */
  #addEnd(fingerprint: string, end: TimedEnd): boolean {
    if (this.#isRefuted(fingerprint, end)) return false;
    const {ends = [], trialAtMs = -Infinity} =
      this.#suspects.get(fingerprint) ?? {};
    const isKnown = ends.some(
      ({instance, atMs}) =>
        instance === end.instance && Math.abs(atMs - end.atMs) < SAME_END_MS,
    );
    if (isKnown) return false;
    const sorted = [...ends, end].toSorted((a, b) => a.atMs - b.atMs);
    const kept = sorted.slice(-MAX_ENDS);
    this.#store(fingerprint, {ends: kept, trialAtMs});
    if (kept.length === QUARANTINE_ENDS) {
      this.#options.metrics.recordQuarantine('quarantined');
      const instances = kept.map(({instance}) => instance);
      this.#options.log.belief('quarantine-begun', {fingerprint, instances});
    }
    return true;
  }

  #store(fingerprint: string, suspect: Suspect): void {
    setNewest(this.#suspects, fingerprint, suspect, MAX_RECORDS);
    const newestAtMs = suspect.ends.at(-1)?.atMs ?? 0;
    [...this.#suspects]
      .filter(([, {ends}]) => {
        const atMs = ends.at(-1)?.atMs ?? 0;
        return newestAtMs - atMs > MAX_AGE_MS;
      })
      .forEach(([old]) => this.#suspects.delete(old));
  }

  /** Adds a good response; true if it clears the fingerprint. */
  #addSuccess(fingerprint: string, atMs: number): boolean {
    const lastMs = this.#succeededAtMs.get(fingerprint) ?? -Infinity;
    const latestMs = Math.max(lastMs, atMs);
    setNewest(this.#succeededAtMs, fingerprint, latestMs, MAX_SUCCESSES);
    const suspect = this.#suspects.get(fingerprint);
    if (!suspect) return false;
    const ends = suspect.ends.filter(end => !this.#isRefuted(fingerprint, end));
    if (ends.length > 0) this.#store(fingerprint, {...suspect, ends});
    else this.#suspects.delete(fingerprint);
    return ends.length === 0;
  }

  #report(
    event: QuarantineEvent,
    fingerprint: string,
    nowMs: number,
    fields: LogFields = {},
  ): void {
    const {log, metrics, onEvidence} = this.#options;
    const record = this.#recordOf(fingerprint, nowMs);
    const ends = record.ends.length;
    metrics.recordQuarantine(event);
    log.belief(`quarantine-${event}`, {...fields, fingerprint, ends});
    onEvidence(record);
  }

  #recordOf(fingerprint: string, nowMs: number): FingerprintRecord {
    const {ends = [], trialAtMs = -Infinity} =
      this.#suspects.get(fingerprint) ?? {};
    const succeededAtMs = this.#succeededAtMs.get(fingerprint);
    const ageOf = (atMs: number) =>
      Math.min(MAX_AGE_MS, Math.max(0, Math.round(nowMs - atMs)));
    return {
      fingerprint,
      ends: ends.map(({instance, atMs}) => {
        return {instance, ageMs: ageOf(atMs)};
      }),
      ...(succeededAtMs !== undefined && {
        succeededAgeMs: ageOf(succeededAtMs),
      }),
      ...(trialAtMs > -Infinity && {trialAgeMs: ageOf(trialAtMs)}),
    };
  }
}

/** What is counted and logged of fingerprints. */
export type QuarantineEvent =
  'instance-ended' | 'quarantined' | 'refused' | 'trial' | 'cleared';

/** When the next request of a quarantined fingerprint may be sent. */
function trialDueAtMs({ends, trialAtMs}: Suspect): number {
  const doublings = ends.length - QUARANTINE_ENDS;
  const pauseMs = Math.min(MAX_PAUSE_MS, MIN_PAUSE_MS * 2 ** doublings);
  const lastAtMs = ends.at(-1)?.atMs ?? -Infinity;
  return Math.max(lastAtMs + pauseMs, trialAtMs + TRIAL_TIMEOUT_MS);
}

/** Sets a value as the newest entry, and deletes the oldest over a limit. */
function setNewest<Value>(
  map: Map<string, Value>,
  key: string,
  value: Value,
  maxEntries: number,
): void {
  map.delete(key);
  map.set(key, value);
  const [oldest] = map.keys();
  if (map.size > maxEntries && oldest !== undefined) map.delete(oldest);
}
