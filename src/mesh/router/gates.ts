/**
 * All gates that a router can use: the one of its own VM and those of its
 * peers, with what they last told.
 */
import type {Gate} from '../gate/gate.js';
import type {GateClient} from '../gate/work.js';
import type {Vm} from '../model.js';
import type {Peers} from '../peers/peers.js';
import type {Candidate} from './choice.js';

/** A gate that may be asked. */
export interface KnownGate extends Candidate {
  readonly vm: string;
  readonly gate: GateClient;
  /** How old what is known of it is, in milliseconds. */
  readonly heardMs: number;
}

/** The gates as one router sees them. */
export class Gates {
  readonly #self: Vm;
  readonly #local: Gate;
  readonly #peers: Peers;

  constructor(self: Vm, local: Gate, peers: Peers) {
    this.#self = self;
    this.#local = local;
    this.#peers = peers;
  }

  /** Gates whose backend server belongs to the service. */
  of(service: string): readonly KnownGate[] {
    return [...this.#localGate(), ...this.#peerGates()].filter(
      ({backend}) => backend.service === service,
    );
  }

  #localGate(): readonly KnownGate[] {
    const backend = this.#local.status;
    if (!backend) return [];
    return [
      {
        vm: this.#self.id,
        gate: this.#local,
        isLocal: true,
        isSameDomain: true,
        backend,
        outstanding: 0,
        heardMs: 0,
      },
    ];
  }

  #peerGates(): readonly KnownGate[] {
    return this.#peers.links.flatMap(link => {
      const backend = link.isReachable ? link.status?.backend : undefined;
      if (!backend || link.status?.isStopping) return [];
      const {id, failureDomain} = link.vm;
      return [
        {
          vm: id,
          gate: link,
          isLocal: false,
          isSameDomain: failureDomain === this.#self.failureDomain,
          backend,
          outstanding: link.outstanding,
          heardMs: performance.now() - link.lastHeardAtMs,
        },
      ];
    });
  }
}
