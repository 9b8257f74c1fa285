/**
 * Today's two deployments, whole but slower: service times are longer than in
 * the field, so that the slots fill up at a rate that one machine can bear.
 */

/** A service and its backend servers. */
export interface BenchService {
  readonly id: string;
  readonly instances: number;
  readonly workMs: number;
  readonly method: 'GET' | 'POST';
  readonly bodyBytes: number;
}

/** A deployment. */
export interface Deployment {
  readonly name: string;
  readonly failureDomains: readonly string[];
  /** Delay between daemons, each way, in milliseconds. */
  readonly linkDelayMs: number;
  readonly slots: number;
  readonly services: readonly BenchService[];
  /** Share of the load that each customer sends. */
  readonly customers: readonly number[];
}

const CUSTOMERS = [0.3, 0.2, 0.15, 0.1, 0.08, 0.07, 0.05, 0.05] as const;
const STATEMENT_BYTES = 20_000;

const read = (id: string, workMs: number): BenchService => {
  return {id, workMs, instances: 6, method: 'GET', bodyBytes: 0};
};
const upload = (id: string, workMs: number): BenchService => {
  const bodyBytes = STATEMENT_BYTES;
  return {id, workMs, instances: 6, method: 'POST', bodyBytes};
};
const once = (id: string, workMs: number): BenchService => {
  return {id, workMs, instances: 12, method: 'POST', bodyBytes: 200};
};

export const DEPLOYMENTS: Readonly<Record<string, Deployment>> = {
  'sen-vang': {
    name: 'sen-vang',
    failureDomains: ['vn-south-1', 'vn-south-2', 'vn-south-3'],
    linkDelayMs: 0.5,
    slots: 3,
    services: [
      read('ledger-read', 100),
      upload('statement-intake', 200),
      read('liquidity-desk', 150),
      once('sweep-engine', 250),
    ],
    customers: CUSTOMERS,
  },
  fonds: {
    name: 'fonds',
    failureDomains: ['quebec-est-1', 'quebec-est-2', 'quebec-est-3'],
    linkDelayMs: 1,
    slots: 5,
    services: [
      read('svc-soldes', 170),
      upload('svc-depots', 340),
      read('svc-admiss', 250),
      once('svc-rachats', 420),
    ],
    customers: CUSTOMERS,
  },
};

/** Requests per second that keep every slot of a service busy. */
export function capacityOf(
  deployment: Deployment,
  service: BenchService,
): number {
  return (service.instances * deployment.slots * 1000) / service.workMs;
}
