/**
 * The failure domains that the operators have evacuated. The store tells them;
 * a daemon that has never reached the store takes those that a peer knows.
 * Until they come from one of the two, nothing is known, and the daemon neither
 * sends requests nor admits any.
 */
import type {DecisionLog} from '../../log/decision_log.js';
import type {MeshMetrics} from '../mesh_metrics.js';

/** What the gate of a failure domain has to do. */
export type DomainState = 'in-service' | 'evacuated' | 'unknown';

/** Options of {@link EvacuatedDomains}. */
export interface EvacuatedDomainsOptions {
  /** If false, no domain is ever evacuated. */
  readonly isEnabled: boolean;
  readonly log: DecisionLog;
  readonly metrics: Pick<MeshMetrics, 'setEvacuatedDomains'>;
  /** Called after each change of the set. */
  readonly onChange: () => void;
}

/** The evacuated domains, as one daemon knows them. */
export class EvacuatedDomains {
  readonly #options: EvacuatedDomainsOptions;
  /** Undefined before they are known. */
  #domains: ReadonlySet<string> | undefined;

  constructor(options: EvacuatedDomainsOptions) {
    this.#options = options;
    if (!options.isEnabled) this.#domains = new Set();
  }

  get isKnown(): boolean {
    return this.#domains !== undefined;
  }

  /** The domains in order; undefined if unknown, or if evacuation is off. */
  get known(): readonly string[] | undefined {
    if (!this.#options.isEnabled) return undefined;
    return this.#domains && [...this.#domains].toSorted();
  }

  has(domain: string): boolean {
    return this.#domains?.has(domain) ?? false;
  }

  stateOf(domain: string): DomainState {
    if (!this.isKnown) return 'unknown';
    return this.has(domain) ? 'evacuated' : 'in-service';
  }

  /** Applies a full reading of the store; it replaces whatever was known. */
  replaceAll(domains: readonly string[], source = 'store'): void {
    if (!this.#options.isEnabled) return;
    const before = this.#domains;
    const after = new Set(domains);
    this.#domains = after;
    const isSame =
      before?.size === after.size && domains.every(name => before.has(name));
    if (!isSame) this.#reportChange(before ?? new Set(), after, source);
  }

  /** Applies one change that a watch of the store reported. */
  set(domain: string, isEvacuated: boolean): void {
    const others = [...(this.#domains ?? [])].filter(other => other !== domain);
    this.replaceAll(isEvacuated ? [...others, domain] : others);
  }

  /** Takes what a peer knows, unless this daemon knows it already. */
  adoptFromPeer(domains: unknown, peer: string): void {
    if (this.isKnown || domains === undefined) return;
    if (isListOfNames(domains)) return this.replaceAll(domains, peer);
    this.#options.log.belief('peer-evacuations-invalid', {peer});
  }

  #reportChange(
    before: ReadonlySet<string>,
    after: ReadonlySet<string>,
    source: string,
  ): void {
    const {log, metrics, onChange} = this.#options;
    const begun = [...after].filter(domain => !before.has(domain));
    const ended = [...before].filter(domain => !after.has(domain));
    log.belief('evacuations', {begun, ended, source});
    metrics.setEvacuatedDomains(after.size);
    onChange();
  }
}

function isListOfNames(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.every(item => typeof item === 'string');
}
