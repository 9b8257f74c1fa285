/** Valid documents and heartbeats of the platform. */

function sampleResources(): readonly Record<string, unknown>[] {
  const spec = (kind: string) => ({
    Host: 'app.example',
    PathPrefix: `/${kind}/`,
    Kind: kind,
    TimeoutMs: 1500,
    TargetLatencyMs: 1000,
    Priority: 1,
    MaxAttempts: 2,
    Public: false,
  });
  const split = [
    {Service: 'pay', Weight: 90},
    {Service: 'book', Weight: 10},
  ];
  return [
    {
      ResourceKind: 'Routes',
      Metadata: {Name: 'r-safe'},
      Spec: {...spec('safe'), TrafficSplit: split},
    },
    {
      ResourceKind: 'Routes',
      Metadata: {Name: 'r-unsafe'},
      Spec: {...spec('unsafe'), Service: 'pay'},
    },
    {
      ResourceKind: 'Tenants',
      Metadata: {Name: 'da-lat'},
      Spec: {ApiKeys: ['key-1'], RatePerS: 5, Burst: 10},
    },
    {
      ResourceKind: 'Services',
      Metadata: {Name: 'pay'},
      Spec: {HealthPath: '/health'},
    },
    {ResourceKind: 'Limits', Spec: {MaxBodyBytes: 1000}},
  ];
}

/** Returns the text of a valid configuration document. */
export function documentOf(version: string): string {
  return JSON.stringify({Version: version, Resources: sampleResources()});
}

/** The text of a valid heartbeat. */
export const HEARTBEAT = JSON.stringify({
  Service: 'pay',
  State: 'ready',
  Concurrency: 3,
  WarmupLeftMs: 0,
  Sequence: 4,
  born: 1000,
});

/** A service and the route that leads to it. */
export interface ServiceRoute {
  readonly service: string;
  readonly host: string;
  readonly prefix: string;
  readonly kind: 'safe' | 'unsafe' | 'upload';
  readonly timeoutMs: number;
}

/** A customer and its key. */
export interface KeyedCustomer {
  readonly name: string;
  readonly key: string;
  readonly ratePerS: number;
}

/** What a configuration contains beside its routes. */
export interface DocumentOptions {
  readonly maxBodyBytes?: number;
  /** If there are any, no route is public. */
  readonly customers?: readonly KeyedCustomer[];
}

/** Returns the text of a configuration with these routes. */
export function documentOfRoutes(
  version: string,
  routes: readonly ServiceRoute[],
  {maxBodyBytes = 1000, customers = []}: DocumentOptions = {},
): string {
  const routeResources = routes.map(route => ({
    ResourceKind: 'Routes',
    Metadata: {Name: `route-${route.service}`},
    Spec: {
      Host: route.host,
      PathPrefix: route.prefix,
      Kind: route.kind,
      Service: route.service,
      TimeoutMs: route.timeoutMs,
      TargetLatencyMs: route.timeoutMs / 3,
      Priority: 1,
      MaxAttempts: 2,
      Public: customers.length === 0,
    },
  }));
  const serviceResources = routes.map(({service}) => ({
    ResourceKind: 'Services',
    Metadata: {Name: service},
    Spec: {HealthPath: '/health'},
  }));
  const customerResources = customers.map(({name, key, ratePerS}) => ({
    ResourceKind: 'Tenants',
    Metadata: {Name: name},
    Spec: {ApiKeys: [key], RatePerS: ratePerS, Burst: ratePerS},
  }));
  const limits = {ResourceKind: 'Limits', Spec: {MaxBodyBytes: maxBodyBytes}};
  const Resources = [
    ...routeResources,
    ...serviceResources,
    ...customerResources,
    limits,
  ];
  return JSON.stringify({Version: version, Resources});
}
