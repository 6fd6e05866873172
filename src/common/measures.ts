/** Metrics by StatsD, under the names of the catalogue. */

import { StatsD } from 'hot-shots';
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

/** Creates a sender; one without settings sends nothing. */
export function createMeasures(settings: MetricsSettings | undefined): Measures {
  const client = settings === undefined ? undefined : createClient(settings);
  return {
    count: (name, value, tags) => client?.increment(metrics[name].metric, value, tags),
    gauge: (name, value, tags) => client?.gauge(metrics[name].metric, value, tags),
    timing: (name, value, tags) => client?.timing(metrics[name].metric, value, tags),
    close: () => client?.close(),
  };
}

function createClient(settings: MetricsSettings): StatsD {
  const { host, port } = splitAddress(settings.statsd);
  return new StatsD({ host, port, errorHandler: () => {} });
}
