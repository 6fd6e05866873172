/** W3C trace context (https://www.w3.org/TR/trace-context/) and what makes spans. */

/** Times of the agent's hop, microseconds since the epoch; zero when there was none. */
export interface AgentTimes {
  agentId: string;
  grantedUs: number;
  firstByteUs: number;
  endedUs: number;
}

/** The spans of one request. */
export interface RequestTrace {
  /** `traceparent` for the endpoint, whose parent is the agent's span. */
  readonly agentTraceparent: string;
  end(outcome: string, agent: AgentTimes | undefined): void;
}

/** Makes spans. */
export interface Tracing {
  begin(name: string, traceparent: string | undefined): RequestTrace;
  close(): Promise<void>;
}

/** Context of a trace, as `traceparent` carries it. */
export interface TraceContext {
  traceId: string;
  spanId: string;
  isSampled: boolean;
}

/** Parses a `traceparent` header (W3C Trace Context, section 3.2). */
export function tryParseTraceparent(header: string | undefined): TraceContext | undefined {
  const match = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/.exec(header ?? '');
  const [, traceId, spanId, flags] = match ?? [];
  if (traceId === undefined || spanId === undefined || flags === undefined) return undefined;
  if (/^0+$/.test(traceId) || /^0+$/.test(spanId)) return undefined;
  // eslint-disable-next-line no-bitwise -- the flags are a bit field
  return { traceId, spanId, isSampled: (Number.parseInt(flags, 16) & 1) === 1 };
}

/** Formats a `traceparent` header. */
export function formatTraceparent(context: TraceContext): string {
  return `00-${context.traceId}-${context.spanId}-${context.isSampled ? '01' : '00'}`;
}
