/** What the metrics of all daemons of a fleet say together. */
import type {SoakDaemon} from './processes.js';

/** Sums over the daemons that answered. */
export interface MetricsSample {
  /** Seconds after the trouble. */
  readonly atS: number;
  /** Daemons whose metrics could be read. */
  readonly answered: number;
  /** Links to peers, by state. */
  readonly links: Readonly<Record<string, number>>;
  /** Attempts to connect since the daemons' starts, by outcome. */
  readonly connects: Readonly<Record<string, number>>;
  /** Seconds in which a timer fired over half a second late. */
  readonly lateSeconds: number;
  /** Of the daemon with most, in megabytes. */
  readonly maxResidentMb: number;
  /** Sockets, timers and other handles of the daemon with most. */
  readonly maxResources: number;
}

const METRIC = /^chicorycourse_(\w+)(?:\{(.*)\})? (\S+)$/gm;
const LABEL = /(\w+)="([^"]*)"/g;
const LATE_S = '0.5';
const BYTES_PER_MB = 2 ** 20;

interface Point {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/** Reads the metrics of all daemons at once. */
export async function sampleMetrics(
  daemons: readonly SoakDaemon[],
  atS: number,
): Promise<MetricsSample> {
  const pages = await Promise.all(daemons.map(daemon => daemon.metrics()));
  const answered = pages.filter(page => page !== undefined);
  const pointsByDaemon = answered.map(parse);
  const points = pointsByDaemon.flat();
  const maxOf = (name: string) =>
    Math.max(0, ...pointsByDaemon.map(ofDaemon => totalOf(ofDaemon, name)));
  const sumBy = (name: string, label: string) =>
    points
      .filter(point => point.name === name)
      .reduce<Record<string, number>>((sums, {labels, value}) => {
        const key = labels[label] ?? '';
        return {...sums, [key]: (sums[key] ?? 0) + value};
      }, {});
  const delays = sumBy('event_loop_delay_seconds_bucket', 'le');
  return {
    atS,
    answered: answered.length,
    links: sumBy('peer_links', 'state'),
    connects: sumBy('peer_connect_seconds_count', 'outcome'),
    lateSeconds: (delays['+Inf'] ?? 0) - (delays[LATE_S] ?? 0),
    maxResidentMb: Math.round(maxOf('resident_memory_bytes') / BYTES_PER_MB),
    maxResources: maxOf('active_resources'),
  };
}

function totalOf(points: readonly Point[], name: string): number {
  return points
    .filter(point => point.name === name)
    .reduce((total, {value}) => total + value, 0);
}

function parse(page: string): readonly Point[] {
  return [...page.matchAll(METRIC)].map(([, name = '', labels = '', value]) => {
    const pairs = [...labels.matchAll(LABEL)].map(([, key, text]) => [
      key,
      text,
    ]);
    return {
      name,
      labels: Object.fromEntries(pairs) as Record<string, string>,
      value: Number(value),
    };
  });
}
