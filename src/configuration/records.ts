/**
 * Zod schemas of the records that operators configure: customers, their keys,
 * services, and the routes from customers' requests to services.
 */
import {z} from 'zod';

const id = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/,
    'must be 1 to 64 of A-Z a-z 0-9 . _ -',
  );

/** A tenant of the platform with its rate limit. */
export const customerSchema = z.strictObject({
  kind: z.literal('customer'),
  id,
  name: z.string().min(1).max(200),
  /** Requests per second across the whole fleet. */
  ratePerSecond: z.number().positive().max(1_000_000),
  /** Requests that may start at once across the whole fleet (burst size). */
  burst: z.int().min(1).max(1_000_000),
});

/** An API key of a customer; only its digest is stored. */
export const keySchema = z.strictObject({
  kind: z.literal('key'),
  id,
  customer: id,
  /** SHA-256 of the key, hexadecimal. */
  digest: z.string().regex(/^[0-9a-f]{64}$/),
  /** Unix time in milliseconds after which the key is refused. */
  expiresAt: z.int().positive().optional(),
});

/** A service that backend servers register for. */
export const serviceSchema = z.strictObject({
  kind: z.literal('service'),
  id,
  /** Minimum of instances that ejection leaves in service, fleet-wide. */
  floor: z.int().min(0).max(100_000).default(1),
  /** Target share of successful requests, 0 to 1. */
  objectiveSuccess: z.number().gt(0).lt(1).default(0.999),
  /** Requests slower than this count against the objective. */
  objectiveLatencyMs: z.int().min(1).max(600_000).default(1000),
});

/** Maps requests to a service, and names the customers that may use it. */
export const routeSchema = z.strictObject({
  kind: z.literal('route'),
  id,
  /** Host name of the request, or `*` for any. */
  host: z.string().min(1).max(253).default('*'),
  /** Path prefix that matches whole segments. */
  path: z.string().startsWith('/').max(1024),
  service: id,
  /** `open` routes need no key. */
  access: z.enum(['open', 'key']).default('key'),
  /** Customers that may use the route; empty means all customers. */
  customers: z.array(id).default([]),
  /** Whether requests are safe to run twice; by default, by HTTP method. */
  idempotent: z.enum(['by-method', 'yes', 'no']).default('by-method'),
  /** Time limit from arrival to the end of the response headers. */
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

/** `kind/id`, unique across all records. */
export type RecordName = `${RecordKind}/${string}`;

/** Returns the unique name of a record. */
export function nameOf(record: ConfigurationRecord): RecordName {
  return `${record.kind}/${record.id}`;
}
