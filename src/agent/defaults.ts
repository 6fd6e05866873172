/** Defaults of an agent's settings and intervals. */

export const agentDefaults = {
  /** Connections to the endpoint beyond its slots, for streams that are resumed. */
  spareConnections: 4,
  healthPath: '/health',
  /** Interval of load reports to entries; milliseconds. */
  loadReportMs: 500,
  crashReportTimeoutMs: 10_000,
  maxReportedTokens: 2 ** 31,
} as const;
