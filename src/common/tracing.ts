/**
 * Tracing of requests with a span for each hop, propagated by W3C Trace Context. The agent returns
 * its times with the response and the entry exports the agent's span, so that agents do not load a
 * tracing library.
 */

import { randomBytes } from 'node:crypto';
import type { TracingSettings } from '../generated/schemas.js';
import { formatTraceparent, tryParseTraceparent, type Tracing } from './traceContext.js';

/** Creates the exporter in the settings. Without settings the trace context is only propagated. */
export async function createTracing(
  settings: TracingSettings | undefined,
  processId: string,
): Promise<Tracing> {
  if (settings === undefined) return createPropagationOnlyTracing();
  const { createExportingTracing } = await import('./tracingExport.js');
  return createExportingTracing(settings, processId);
}

function createPropagationOnlyTracing(): Tracing {
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
