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
  readonly kind: 'safe' | 'unsafe';
  readonly timeoutMs: number;
}

/** Returns the text of a configuration with these routes and no customers. */
export function documentOfRoutes(
  version: string,
  routes: readonly ServiceRoute[],
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
      Public: true,
    },
  }));
  const serviceResources = routes.map(({service}) => ({
    ResourceKind: 'Services',
    Metadata: {Name: service},
    Spec: {HealthPath: '/health'},
  }));
  const limits = {ResourceKind: 'Limits', Spec: {MaxBodyBytes: 1000}};
  const Resources = [...routeResources, ...serviceResources, limits];
  return JSON.stringify({Version: version, Resources});
}
