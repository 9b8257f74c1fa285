/** Settings of a mesh daemon, validated against one schema at the start. */
import * as z from 'zod';
import {checkSettings, readSettings} from '../settings/read.js';

const address = z
  .string()
  .regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'IP:PORT expected');
const nonNegative = z.number().nonnegative();

const schema = z.object({
  vm: z.object({
    id: z.string().min(1),
    failureDomain: z.string().min(1),
  }),
  listen: z.object({
    callers: address,
    readiness: address,
    announcements: address,
    peers: address,
    metrics: address,
  }),
  backend: z.object({address, service: z.string().min(1)}),
  store: z.object({address}),
  /** True if the whole fleet is started for the first time. */
  isFirstStart: z.boolean(),
  /** Whether operators can evacuate failure domains; absent: they can't. */
  evacuation: z
    .object({
      /** Time from the request to the last request to an instance there. */
      applyMs: z.number().positive(),
    })
    .optional(),
  /** How long a stopping process has before it is killed. */
  stopTimeoutS: nonNegative,
  /** Whether requests that end the instances that run them are refused. */
  quarantinesRequests: z.boolean().default(true),
  /** Whether the customers of one priority get equal shares of an instance. */
  scheduling: z
    .object({customerShares: z.enum(['equal', 'none']).default('none')})
    .default({customerShares: 'none'}),
  repeats: z.object({
    ratio: nonNegative,
    windowS: nonNegative,
    slack: nonNegative,
    /** Part of the tokens that is kept for calls of instances. */
    callReserve: z.number().min(0).max(1).default(0),
  }),
  /** Without it, late requests are repeated by the gate's estimate alone. */
  hedging: z
    .object({
      /** Hedges for each request that this router sends to a service. */
      maxExtraShare: z.number().min(0).max(1),
      /** Quantile of the response times from which a request is slow. */
      quantile: z.number().min(0.5).max(0.999).default(0.95),
    })
    .optional(),
  /** Memory and file descriptors of the VM; those of a small VM if omitted. */
  resources: z
    .object({
      memoryMb: z.number().positive(),
      maxDescriptors: z.number().int().positive(),
    })
    .optional(),
  /** Bounds for callers; `computeCallerBounds` has the defaults. */
  callerLimits: z
    .object({
      minBytesPerS: nonNegative,
      rateWindowMs: z.number().positive(),
      stallMs: z.number().positive(),
      maxConnections: z.number().int().positive(),
      maxUnfinishedRequests: z.number().int().positive(),
      maxUnfinishedBytes: z.number().int().positive(),
    })
    .partial()
    .optional(),
});

/** Validated settings. */
export type MeshSettings = Readonly<z.infer<typeof schema>>;

/** Loads a settings file; throws a `Failure` that lists all invalid fields. */
export function loadMeshSettings(file: string): MeshSettings {
  return checkSettings(schema, readSettings(file), file);
}
