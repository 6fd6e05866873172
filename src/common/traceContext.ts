/** W3C Trace Context (https://www.w3.org/TR/trace-context/) and the types of request traces. */

/** Times at the agent, in microseconds since the Unix epoch; 0 if the event did not occur. */
export interface AgentTimes {
  agentId: string;
  grantedUs: number;
  dispatchedUs: number;
  firstByteUs: number;
  endedUs: number;
}

/** The trace of one request: a span for the entry and one for the agent. */
export interface RequestTrace {
  /** `traceparent` header for the request to the endpoint. Its parent is the agent's span. */
  readonly agentTraceparent: string;
  end(outcome: string, agent: AgentTimes | undefined): void;
}

/** Begins a trace for each request. */
export interface Tracing {
  begin(name: string, traceparent: string | undefined): RequestTrace;
  close(): Promise<void>;
}

/** Fields of a `traceparent` header. */
export interface TraceContext {
  traceId: string;
  spanId: string;
  isSampled: boolean;
}

/**
 * Parses a `traceparent` header (W3C Trace Context, section 3.2). Returns undefined if it is
 * missing or invalid.
 */
export function tryParseTraceparent(header: string | undefined): TraceContext | undefined {
  const match = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/.exec(header ?? '');
  const [, traceId, spanId, flags] = match ?? [];
  if (traceId === undefined || spanId === undefined || flags === undefined) return undefined;
  if (/^0+$/.test(traceId) || /^0+$/.test(spanId)) return undefined;
  // eslint-disable-next-line no-bitwise -- the flags are a bit field
  return { traceId, spanId, isSampled: (Number.parseInt(flags, 16) & 1) === 1 };
}

export function formatTraceparent(context: TraceContext): string {
  return `00-${context.traceId}-${context.spanId}-${context.isSampled ? '01' : '00'}`;
}
