/** Metrics under the names of the catalogue, sent by StatsD and served as text where settings ask for it. */

import type { StatsD } from 'hot-shots';
import polka from 'polka';
import { metrics } from '../generated/metrics.js';
import type { MetricsSettings } from '../generated/schemas.js';
import { closeServer, listenOn } from './httpServer.js';
import { splitAddress } from './settings.js';

type Name = keyof typeof metrics;
type Tags = Record<string, string>;

/** Takes measured values. */
export interface MetricsRecorder {
  count(name: Name, value: number, tags?: Tags): void;
  gauge(name: Name, value: number, tags?: Tags): void;
  /** `milliseconds` is a duration. */
  timing(name: Name, milliseconds: number, tags?: Tags): void;
  close(): void;
}

/** Upper bounds of the histograms' buckets, in milliseconds. */
const BUCKETS_MS = [1, 2, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000];

/** Creates what the settings ask for; without settings nothing is measured and no library loaded. */
export async function createMetricsRecorder(
  settings: MetricsSettings | undefined,
): Promise<MetricsRecorder> {
  const sinks: MetricsRecorder[] = [];
  if (settings?.statsd !== undefined) sinks.push(await createStatsdMeasures(settings.statsd));
  if (settings?.listen !== undefined) sinks.push(await createTextMeasures(settings.listen));
  return {
    count(name, value, tags) {
      for (const sink of sinks) sink.count(name, value, tags);
    },
    gauge(name, value, tags) {
      for (const sink of sinks) sink.gauge(name, value, tags);
    },
    timing(name, milliseconds, tags) {
      for (const sink of sinks) sink.timing(name, milliseconds, tags);
    },
    close() {
      for (const sink of sinks) sink.close();
    },
  };
}

async function createStatsdMeasures(address: string): Promise<MetricsRecorder> {
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

async function createTextMeasures(address: string): Promise<MetricsRecorder> {
  const { default: prometheus } = await import('prom-client');
  const { Counter, Gauge, Histogram, Registry } = prometheus;
  const registry = new Registry();
  const counters = new Map<Name, InstanceType<typeof Counter>>();
  const gauges = new Map<Name, InstanceType<typeof Gauge>>();
  const histograms = new Map<Name, InstanceType<typeof Histogram>>();
  for (const name of Object.keys(metrics) as Name[]) {
    const { metric, type, text, tags } = metrics[name];
    const options = {
      name: metric.replaceAll('.', '_'),
      help: text,
      labelNames: tags,
      registers: [registry],
    };
    if (type === 'counter') counters.set(name, new Counter(options));
    else if (type === 'gauge') gauges.set(name, new Gauge(options));
    else histograms.set(name, new Histogram({ ...options, buckets: BUCKETS_MS }));
  }
  const app = polka();
  app.get('/metrics', (_request, response) => {
    void registry.metrics().then((text) => response.end(text));
  });
  await listenOn(app, address);
  return {
    count: (name, value, tags = {}) => counters.get(name)?.inc(tags, value),
    gauge: (name, value, tags = {}) => gauges.get(name)?.set(tags, value),
    timing: (name, milliseconds, tags = {}) => histograms.get(name)?.observe(tags, milliseconds),
    close: () => void closeServer(app.server),
  };
}
