/** Exports spans by OTLP over HTTP. Loaded only if the settings enable tracing. */

import { ROOT_CONTEXT, SpanKind, trace, TraceFlags, type Span } from '@opentelemetry/api';
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http';
import { resourceFromAttributes } from '@opentelemetry/resources';
import {
  BasicTracerProvider,
  BatchSpanProcessor,
  ParentBasedSampler,
  TraceIdRatioBasedSampler,
} from '@opentelemetry/sdk-trace-base';
import type { TracingSettings } from '../generated/schemas.js';
import {
  formatTraceparent,
  tryParseTraceparent,
  type AgentTimes,
  type RequestTrace,
  type Tracing,
} from './traceContext.js';

const MICROSECONDS_PER_MS = 1_000;

/** Creates tracing whose spans are exported in batches. */
export function createExportingTracing(settings: TracingSettings, processId: string): Tracing {
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({
      'service.name': 'turmericrack',
      'service.instance.id': processId,
    }),
    sampler: new ParentBasedSampler({
      root: new TraceIdRatioBasedSampler(settings.sampleRatio ?? 1),
    }),
    spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter({ url: settings.otlp }))],
  });
  const tracer = provider.getTracer('turmericrack');

  return { begin, close: () => provider.shutdown() };

  function begin(name: string, traceparent: string | undefined): RequestTrace {
    const parent = toParentContext(traceparent);
    const entrySpan = tracer.startSpan(`entry ${name}`, { kind: SpanKind.SERVER }, parent);
    const entryContext = trace.setSpan(parent, entrySpan);
    const agentSpan = tracer.startSpan(`agent ${name}`, { kind: SpanKind.CLIENT }, entryContext);
    return {
      agentTraceparent: toTraceparent(agentSpan),
      end(outcome, agent) {
        if (agent !== undefined) endAgentSpan(agentSpan, agent);
        entrySpan.setAttribute('turmericrack.outcome', outcome);
        entrySpan.end();
      },
    };
  }
}

/**
 * Ends the agent's span. It was started before the dispatch, because `traceparent` needs its id, so
 * the times that the agent reports are recorded as events.
 */
function endAgentSpan(span: Span, agent: AgentTimes): void {
  span.setAttribute('turmericrack.agent', agent.agentId);
  span.addEvent('granted', agent.grantedUs / MICROSECONDS_PER_MS);
  if (agent.dispatchedUs > 0) span.addEvent('dispatched', agent.dispatchedUs / MICROSECONDS_PER_MS);
  if (agent.firstByteUs > 0) span.addEvent('first byte', agent.firstByteUs / MICROSECONDS_PER_MS);
  span.end(agent.endedUs > 0 ? agent.endedUs / MICROSECONDS_PER_MS : undefined);
}

function toParentContext(traceparent: string | undefined) {
  const parsed = tryParseTraceparent(traceparent);
  if (parsed === undefined) return ROOT_CONTEXT;
  const { traceId, spanId, isSampled } = parsed;
  const traceFlags = isSampled ? TraceFlags.SAMPLED : TraceFlags.NONE;
  return trace.setSpanContext(ROOT_CONTEXT, { traceId, spanId, traceFlags, isRemote: true });
}

function toTraceparent(span: Span): string {
  const { traceId, spanId, traceFlags } = span.spanContext();
  return formatTraceparent({
    traceId,
    spanId,
    isSampled: traceFlags === Number(TraceFlags.SAMPLED),
  });
}
