/**
 * Metrics, sent with hot-shots (statsd over UDP). All parts of the daemon use
 * this interface. If the settings contain no statsd address, metrics are
 * discarded. docs/OPERATIONS.md lists all names.
 */
import {StatsD} from 'hot-shots';

/** Labels of a measured value. */
export type Tags = Readonly<Record<string, string>>;

/** Metrics as the parts of a daemon report them. */
export interface Metrics {
  /** Adds `by` to a counter. */
  count(name: string, tags?: Tags, by?: number): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, tags?: Tags): void;
  /** Records a duration in milliseconds. */
  timing(name: string, valueMs: number, tags?: Tags): void;
  /** Flushes and closes the socket. */
  close(): Promise<void>;
}

/** Where the statsd server listens. */
export interface StatsdAddress {
  readonly host: string;
  readonly port: number;
}

const FLUSH_INTERVAL_MS = 1000;
const MAX_DATAGRAM_BYTES = 1400;

/** Creates metrics that are sent to `address`, or discarded without one. */
export function createMetrics(
  address: StatsdAddress | undefined,
  daemonId: string,
): Metrics {
  if (address === undefined) return createSilentMetrics();
  const client = new StatsD({
    host: address.host,
    port: address.port,
    prefix: 'chicorycourse.',
    globalTags: {daemon: daemonId},
    maxBufferSize: MAX_DATAGRAM_BYTES,
    bufferFlushInterval: FLUSH_INTERVAL_MS,
    errorHandler: () => undefined,
  });
  return {
    count: (name, tags = {}, by = 1) => client.increment(name, by, tags),
    gauge: (name, value, tags = {}) => client.gauge(name, value, tags),
    timing: (name, valueMs, tags = {}) => client.timing(name, valueMs, tags),
    close: () => new Promise(resolve => client.close(() => resolve())),
  };
}

/** Creates metrics that are discarded, for tests and without statsd. */
export function createSilentMetrics(): Metrics {
  return {
    count: () => undefined,
    gauge: () => undefined,
    timing: () => undefined,
    close: () => Promise.resolve(),
  };
}
