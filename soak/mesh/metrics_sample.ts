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
}

const METRIC = /^chicorycourse_(\w+)(?:\{(.*)\})? (\S+)$/gm;
const LABEL = /(\w+)="([^"]*)"/g;
const LATE_S = '0.5';

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
  const points = answered.flatMap(parse);
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
  };
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
