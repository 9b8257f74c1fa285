/**
 * The zod schema of a daemon's settings, which are the only source of the
 * addresses and the failure domain of a process. Unknown fields are rejected,
 * so that a misspelt field is never silently ignored.
 */
import {z} from 'zod';

const address = z
  .string()
  .regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    'must be IP:PORT, such as 10.0.0.7:7003',
  )
  .describe('an IPv4 address and a port');

const listenAddress = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be IP:PORT to listen on');

const token = z.string().min(16, 'must have at least 16 characters');

/** The schema from which {@link Settings} is inferred. */
export const settingsSchema = z.strictObject({
  daemon: z.strictObject({
    id: z.string().regex(/^[A-Za-z0-9._-]{1,64}$/),
    region: z.string().min(1).max(64),
    failureDomain: z.string().min(1).max(64),
  }),
  listen: z.strictObject({
    callers: listenAddress,
    administration: listenAddress,
    instances: listenAddress,
    peers: listenAddress,
  }),
  advertise: z
    .strictObject({
      peers: address,
      administration: address,
    })
    .optional(),
  peers: z.strictObject({
    seeds: z.array(address).default([]),
    secret: token,
    /** Maps a peer's advertised address to the address that is dialled. */
    dial: z.record(z.string(), address).default({}),
  }),
  store: z.strictObject({
    urls: z.array(z.url()).min(1),
    token: token,
    timeoutMs: z.int().min(50).max(30_000).default(2000),
  }),
  administration: z.strictObject({
    credentials: z
      .array(
        z.strictObject({
          name: z.string().min(1).max(64),
          role: z.enum(['reader', 'operator']),
          tokenSha256: z.string().regex(/^[0-9a-f]{64}$/),
        }),
      )
      .default([]),
  }),
  limits: z
    .strictObject({
      maxHeaderBytes: z.int().min(1024).max(65_536).default(16_384),
      maxQueuePerCustomer: z.int().min(0).max(10_000).default(64),
      maxQueueMs: z.int().min(0).max(60_000).default(1000),
      /** How long an idempotency key is remembered after its claim. */
      idempotencyRetentionMs: z.int().min(100).max(86_400_000).default(600_000),
      stopTimeoutMs: z.int().min(0).max(600_000).default(60_000),
    })
    .prefault({}),
  statsd: z
    .strictObject({host: z.ipv4(), port: z.int().min(1).max(65_535)})
    .optional(),
  log: z
    .strictObject({
      level: z
        .enum(['silent', 'error', 'warn', 'info', 'debug'])
        .default('info'),
      format: z.enum(['text', 'json']).default('text'),
    })
    .prefault({}),
});

/** Checked settings with every default filled in. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;
