/** Default settings, intervals and limits of the agent. */

export const agentDefaults = {
  /** Connections to the endpoint in addition to its slots, for streams that are being resumed. */
  spareConnections: 4,
  healthPath: '/health',
  /** Interval of load reports to entries. */
  loadReportMs: 500,
  crashReportTimeoutMs: 10_000,
  maxReportedTokens: 2 ** 31,
} as const;
