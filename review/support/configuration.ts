/** Documents that the operator writes to `op/config`. */

export const CONFIGURATION_KEY = 'op/config';

export interface ConfigurationOptions {
  /** Eight hexadecimal digits. */
  readonly version: string;
  readonly keys: readonly string[];
  readonly maxBodyBytes?: number;
  /** Services beside `pay` that have an unsafe route of their own. */
  readonly otherServices?: readonly string[];
}

/** A document with one tenant and a safe, an unsafe and an upload route. */
export function documentOf(options: ConfigurationOptions): string {
  const {
    version,
    keys,
    maxBodyBytes = 67_108_864,
    otherServices = [],
  } = options;
  const route = (Kind: string, TimeoutMs: number, Service = 'pay') => ({
    ResourceKind: 'Routes',
    Metadata: {Name: `r-${Kind}-${Service}`},
    Spec: {
      Host: 'app.example',
      PathPrefix: Service === 'pay' ? `/${Kind}/` : `/${Service}/`,
      Kind,
      TimeoutMs,
      TargetLatencyMs: 1000,
      Priority: 1,
      Service,
      MaxAttempts: 2,
      Public: false,
    },
  });
  const service = (Name: string) => ({
    ResourceKind: 'Services',
    Metadata: {Name},
    Spec: {
      HealthPath: '/health',
      MaxConnections: 360,
      Protocol: 'h1',
      Tls: false,
    },
  });
  return JSON.stringify({
    Version: version,
    Resources: [
      route('safe', 1500),
      route('unsafe', 2000),
      route('upload', 4000),
      ...otherServices.map(name => route('unsafe', 2000, name)),
      ...['pay', 'book', ...otherServices].map(service),
      {
        ResourceKind: 'Tenants',
        Metadata: {Name: 'da-lat'},
        Spec: {ApiKeys: keys, Priority: 1, RatePerS: 0, Burst: 0},
      },
      {
        ResourceKind: 'Limits',
        Metadata: {},
        Spec: {
          MaxHeaderBytes: 16_384,
          MaxBodyBytes: maxBodyBytes,
          HeaderTimeoutMs: 3000,
          IdleTimeoutMs: 15_000,
        },
      },
    ],
  });
}
