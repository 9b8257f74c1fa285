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
