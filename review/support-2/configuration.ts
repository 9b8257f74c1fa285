/** Configuration documents of the operator, as the users' pages have them. */

/** A route of a document. */
export interface RoutePlan {
  readonly name: string;
  readonly prefix: string;
  readonly kind: 'safe' | 'unsafe' | 'upload' | 'download';
  readonly service: string;
}

/** A tenant of a document. */
export interface TenantPlan {
  readonly name: string;
  readonly keys: readonly string[];
  readonly ratePerS?: number;
  readonly burst?: number;
}

export const HOST = 'app.example';
const TIMEOUT_MS = 4000;

/** The text of a document. */
export function documentOf(
  version: number,
  routes: readonly RoutePlan[],
  tenants: readonly TenantPlan[],
): string {
  const services = [...new Set(routes.map(({service}) => service))];
  const Resources = [
    ...routes.map(({name, prefix, kind, service}) => ({
      ResourceKind: 'Routes',
      Metadata: {Name: name},
      Spec: {
        Host: HOST,
        PathPrefix: prefix,
        Kind: kind,
        Service: service,
        TimeoutMs: TIMEOUT_MS,
        TargetLatencyMs: 1000,
        Priority: 1,
        MaxAttempts: 2,
        Public: false,
      },
    })),
    ...services.map(name => ({
      ResourceKind: 'Services',
      Metadata: {Name: name},
      Spec: {HealthPath: '/health'},
    })),
    ...tenants.map(({name, keys, ratePerS = 0, burst = 0}) => ({
      ResourceKind: 'Tenants',
      Metadata: {Name: name},
      Spec: {ApiKeys: keys, RatePerS: ratePerS, Burst: burst},
    })),
    {
      ResourceKind: 'Limits',
      Metadata: {Name: 'limits'},
      Spec: {
        MaxHeaderBytes: 16_384,
        MaxBodyBytes: 67_108_864,
        HeaderTimeoutMs: 10_000,
        IdleTimeoutMs: 60_000,
      },
    },
  ];
  const Version = version.toString(16).padStart(8, '0');
  return JSON.stringify({Version, Resources});
}
