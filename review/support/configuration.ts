/** Documents that the operator writes to `op/config`. */

export const CONFIGURATION_KEY = 'op/config';

export interface ConfigurationOptions {
  /** Eight hexadecimal digits. */
  readonly version: string;
  readonly keys: readonly string[];
  readonly maxBodyBytes?: number;
}

/** A document with one tenant and a safe, an unsafe and an upload route. */
export function documentOf(options: ConfigurationOptions): string {
  const {version, keys, maxBodyBytes = 67_108_864} = options;
  const route = (Kind: string, TimeoutMs: number) => ({
    ResourceKind: 'Routes',
    Metadata: {Name: `r-${Kind}`},
    Spec: {
      Host: 'app.example',
      PathPrefix: `/${Kind}/`,
      Kind,
      TimeoutMs,
      TargetLatencyMs: 1000,
      Priority: 1,
      Service: 'pay',
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
      service('pay'),
      service('book'),
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
