/**
 * The records that operators configure, as zod schemas: customers, their
 * keys, services, and the routes that carry customers' traffic to services.
 */
import {z} from 'zod';

const id = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/,
    'must be 1 to 64 of A-Z a-z 0-9 . _ -',
  );

/** A tenant of the platform with its share of requests. */
export const customerSchema = z.strictObject({
  kind: z.literal('customer'),
  id,
  name: z.string().min(1).max(200),
  /** Requests per second over the whole fleet. */
  ratePerSecond: z.number().positive().max(1_000_000),
  /** Requests that may start at once over the whole fleet. */
  burst: z.int().min(1).max(1_000_000),
});

/** A key of a customer; only its digest is kept. */
export const keySchema = z.strictObject({
  kind: z.literal('key'),
  id,
  customer: id,
  /** SHA-256 of the key, hexadecimal. */
  digest: z.string().regex(/^[0-9a-f]{64}$/),
  /** Unix time in milliseconds after which the key is refused. */
  expiresAt: z.int().positive().optional(),
});

/** A service that backend servers announce themselves for. */
export const serviceSchema = z.strictObject({
  kind: z.literal('service'),
  id,
  /** Instances that ejection must leave in service, fleet-wide. */
  floor: z.int().min(0).max(100_000).default(1),
  /** Share of requests that should succeed, 0 to 1. */
  objectiveSuccess: z.number().gt(0).lt(1).default(0.999),
  /** Requests slower than this count against the objective. */
  objectiveLatencyMs: z.int().min(1).max(600_000).default(1000),
});

/** Which requests go to which service, and for whom. */
export const routeSchema = z.strictObject({
  kind: z.literal('route'),
  id,
  /** Host name of the request, or `*` for any. */
  host: z.string().min(1).max(253).default('*'),
  /** Path prefix; matches whole segments. */
  path: z.string().startsWith('/').max(1024),
  service: id,
  /** `open` needs no key. */
  access: z.enum(['open', 'key']).default('key'),
  /** Customers that may use it; empty means every customer. */
  customers: z.array(id).default([]),
  /** Whether requests may safely run twice. */
  idempotent: z.enum(['by-method', 'yes', 'no']).default('by-method'),
  /** Longest time from arrival to the end of the answer's headers. */
  deadlineMs: z.int().min(1).max(600_000).default(10_000),
});

/** Any record of the configuration. */
export const recordSchema = z.discriminatedUnion('kind', [
  customerSchema,
  keySchema,
  serviceSchema,
  routeSchema,
]);

export type Customer = Readonly<z.infer<typeof customerSchema>>;
export type Key = Readonly<z.infer<typeof keySchema>>;
export type Service = Readonly<z.infer<typeof serviceSchema>>;
export type Route = Readonly<z.infer<typeof routeSchema>>;
export type ConfigurationRecord = Customer | Key | Service | Route;
export type RecordKind = ConfigurationRecord['kind'];

/** `kind/id`, unique over all records. */
export type RecordName = `${RecordKind}/${string}`;

/** The unique name of a record. */
export function nameOf(record: ConfigurationRecord): RecordName {
  return `${record.kind}/${record.id}`;
}
