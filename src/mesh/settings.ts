/** Settings of a daemon of a mesh fleet: one schema, checked at the start. */
import * as z from 'zod';
import {checkSettings, readSettings} from '../settings/read.js';

const address = z
  .string()
  .regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'IP:PORT expected');
const count = z.number().nonnegative();

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
  /** True when the whole fleet starts for the first time. */
  isFirstStart: z.boolean(),
  /** How long a stopping process has until it is killed. */
  stopTimeoutS: count,
  repeats: z.object({ratio: count, windowS: count, slack: count}),
});

/** Checked settings. */
export type MeshSettings = Readonly<z.infer<typeof schema>>;

/** Reads and checks a settings file; throws a `Failure` that names faults. */
export function loadMeshSettings(file: string): MeshSettings {
  return checkSettings(schema, readSettings(file), file);
}
