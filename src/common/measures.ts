/** Metrics by StatsD, under the names of the catalogue. */

import type { StatsD } from 'hot-shots';
import { metrics } from '../generated/metrics.js';
import type { MetricsSettings } from '../generated/schemas.js';
import { splitAddress } from './settings.js';

type Name = keyof typeof metrics;
type Tags = Record<string, string>;

/** Sends metrics. */
export interface Measures {
  count(name: Name, value: number, tags?: Tags): void;
  gauge(name: Name, value: number, tags?: Tags): void;
  /** `milliseconds` is a duration. */
  timing(name: Name, milliseconds: number, tags?: Tags): void;
  close(): void;
}

/** Creates a sender; one without settings sends nothing and loads no library. */
export async function createMeasures(settings: MetricsSettings | undefined): Promise<Measures> {
  const client = settings === undefined ? undefined : await createClient(settings);
  return {
    count: (name, value, tags) => client?.increment(metrics[name].metric, value, tags),
    gauge: (name, value, tags) => client?.gauge(metrics[name].metric, value, tags),
    timing: (name, value, tags) => client?.timing(metrics[name].metric, value, tags),
    close: () => client?.close(),
  };
}

async function createClient(settings: MetricsSettings): Promise<StatsD> {
  const { StatsD: Client } = await import('hot-shots');
  const { host, port } = splitAddress(settings.statsd);
  return new Client({ host, port, errorHandler: () => {} });
}
