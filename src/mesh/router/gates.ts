/**
 * All gates that a router can use, the one of its own VM and those of its
 * peers, with the last status that it received from each. A gate controls the
 * access to the backend server of its VM.
 */
import type {EvacuatedDomains} from '../evacuation/evacuated_domains.js';
import type {Gate} from '../gate/gate.js';
import type {GateClient} from '../gate/work.js';
import type {Vm} from '../model.js';
import type {LinkState} from '../peers/peer_link.js';
import type {Peers} from '../peers/peers.js';
import type {Candidate} from './gate_ranking.js';

/** A gate that slots can be requested from. */
export interface GateCandidate extends Candidate {
  readonly vm: string;
  readonly gate: GateClient;
  /** Age of the last message from the gate's daemon. */
  readonly statusAgeMs: number;
}

/** The gates that one router can use. */
export class Gates {
  readonly #self: Vm;
  readonly #local: Gate;
  readonly #peers: Peers;
  readonly #evacuated: Pick<EvacuatedDomains, 'has'>;

  constructor(
    self: Vm,
    local: Gate,
    peers: Peers,
    evacuated: Pick<EvacuatedDomains, 'has'>,
  ) {
    this.#self = self;
    this.#local = local;
    this.#peers = peers;
    this.#evacuated = evacuated;
  }

  /**
   * Returns the gates whose backend server belongs to the service, without those
   * in evacuated failure domains.
   */
  forService(service: string): readonly GateCandidate[] {
    return [...this.#localGate(), ...this.#peerGates()].filter(
      ({backend}) => backend.service === service,
    );
  }

  /** How many links to peers are in each state. */
  get linkStates(): Readonly<Record<LinkState, number>> {
    return this.#peers.linkStates();
  }

  #localGate(): readonly GateCandidate[] {
    const backend = this.#local.status;
    if (!backend || this.#evacuated.has(this.#self.failureDomain)) return [];
    return [
      {
        vm: this.#self.id,
        gate: this.#local,
        isLocal: true,
        isSameDomain: true,
        backend,
        outstanding: 0,
        turnWaitMs: backend.turnWaitMs,
        statusAgeMs: 0,
      },
    ];
  }

  #peerGates(): readonly GateCandidate[] {
    return this.#peers.links.flatMap(link => {
      const backend = link.isReachable ? link.status?.backend : undefined;
      if (!backend || link.status?.isStopping) return [];
      const {id, failureDomain} = link.vm;
      if (this.#evacuated.has(failureDomain)) return [];
      return [
        {
          vm: id,
          gate: link,
          isLocal: false,
          isSameDomain: failureDomain === this.#self.failureDomain,
          backend,
          outstanding: link.outstanding,
          turnWaitMs: link.turnWaitMs,
          statusAgeMs: performance.now() - link.lastHeardAtMs,
        },
      ];
    });
  }
}
