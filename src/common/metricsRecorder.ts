/** Metrics of the metrics catalogue, exported to StatsD and in the Prometheus text format. */

import type { StatsD } from 'hot-shots';
import polka from 'polka';
import { metrics } from '../generated/metrics.js';
import type { MetricsSettings } from '../generated/schemas.js';
import type { ClientLimits } from './clientConnections.js';
import { startServer } from './httpServer.js';
import type { Logger } from './logging.js';
import { splitAddress } from './settings.js';

type MetricName = keyof typeof metrics;
type Tags = Record<string, string>;

/** Records values of the metrics in the catalogue. */
export interface MetricsRecorder {
  count(name: MetricName, value: number, tags?: Tags): void;
  gauge(name: MetricName, value: number, tags?: Tags): void;
  /** Records a duration. */
  timing(name: MetricName, milliseconds: number, tags?: Tags): void;
  close(): void;
}

/** Upper bounds of the histogram buckets. */
const HISTOGRAM_BUCKETS_MS = [
  1, 2, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000,
];

/**
 * Creates a recorder for each export in the settings, and one that records to all of them. Without
 * settings it discards the values, and the export libraries are not loaded.
 */
export async function createMetricsRecorder(
  settings: MetricsSettings | undefined,
  logger: Logger,
  clients?: ClientLimits,
): Promise<MetricsRecorder> {
  const recorders: MetricsRecorder[] = [];
  if (settings?.statsd !== undefined) recorders.push(await createStatsdRecorder(settings.statsd));
  if (settings?.listen !== undefined) {
    recorders.push(await createTextRecorder(settings.listen, logger, clients));
  }
  return {
    count(name, value, tags) {
      for (const recorder of recorders) recorder.count(name, value, tags);
    },
    gauge(name, value, tags) {
      for (const recorder of recorders) recorder.gauge(name, value, tags);
    },
    timing(name, milliseconds, tags) {
      for (const recorder of recorders) recorder.timing(name, milliseconds, tags);
    },
    close() {
      for (const recorder of recorders) recorder.close();
    },
  };
}

async function createStatsdRecorder(address: string): Promise<MetricsRecorder> {
  const { StatsD: Client } = await import('hot-shots');
  const { host, port } = splitAddress(address);
  const client: StatsD = new Client({ host, port, errorHandler: () => {} });
  return {
    count: (name, value, tags) => client.increment(metrics[name].metric, value, tags),
    gauge: (name, value, tags) => client.gauge(metrics[name].metric, value, tags),
    timing: (name, milliseconds, tags) => client.timing(metrics[name].metric, milliseconds, tags),
    close: () => client.close(),
  };
}

async function createTextRecorder(
  address: string,
  logger: Logger,
  clients: ClientLimits | undefined,
): Promise<MetricsRecorder> {
  const { default: prometheus } = await import('prom-client');
  const { Counter, Gauge, Histogram, Registry } = prometheus;
  const registry = new Registry();
  const counters = new Map<MetricName, InstanceType<typeof Counter>>();
  const gauges = new Map<MetricName, InstanceType<typeof Gauge>>();
  const histograms = new Map<MetricName, InstanceType<typeof Histogram>>();
  for (const name of Object.keys(metrics) as MetricName[]) {
    const { metric, type, text, tags } = metrics[name];
    const options = {
      name: metric.replaceAll('.', '_'),
      help: text,
      labelNames: tags,
      registers: [registry],
    };
    if (type === 'counter') counters.set(name, new Counter(options));
    else if (type === 'gauge') gauges.set(name, new Gauge(options));
    else histograms.set(name, new Histogram({ ...options, buckets: HISTOGRAM_BUCKETS_MS }));
  }
  const app = polka();
  app.get('/metrics', (_request, response) => {
    void registry.metrics().then((text) => response.end(text));
  });
  // A role serves without its metrics while their address is taken.
  const starting = startServer(app, {
    logger,
    address,
    timeoutMs: Number.POSITIVE_INFINITY,
    clients,
  });
  return {
    count: (name, value, tags = {}) => counters.get(name)?.inc(tags, value),
    gauge: (name, value, tags = {}) => gauges.get(name)?.set(tags, value),
    timing: (name, milliseconds, tags = {}) => histograms.get(name)?.observe(tags, milliseconds),
    close: () => void starting.then((server) => server.close()),
  };
}
