/**
 * W3C trace context and a span for each hop. The agent's times come back with the answer, so that
 * its span is exported by the entry and an agent needs no tracing library.
 */

import { randomBytes } from 'node:crypto';
import type { TracingSettings } from '../generated/schemas.js';
import { formatTraceparent, tryParseTraceparent, type Tracing } from './traceContext.js';

/** Creates the exporter that the settings ask for; without settings the context is only passed on. */
export async function createTracing(
  settings: TracingSettings | undefined,
  processId: string,
): Promise<Tracing> {
  if (settings === undefined) return createPassThrough();
  const { createExportingTracing } = await import('./tracingExport.js');
  return createExportingTracing(settings, processId);
}

function createPassThrough(): Tracing {
  return {
    begin(_name, traceparent) {
      const parent = tryParseTraceparent(traceparent);
      const agentTraceparent = formatTraceparent({
        traceId: parent?.traceId ?? randomBytes(16).toString('hex'),
        spanId: randomBytes(8).toString('hex'),
        isSampled: parent?.isSampled ?? false,
      });
      return { agentTraceparent, end: () => {} };
    },
    close: () => Promise.resolve(),
  };
}
