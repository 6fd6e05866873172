/** Watches the endpoint's health and reports what was in flight when it crashed. */

import type { Logger } from '../common/logging.js';
import type { EndpointClient } from './endpointClient.js';
import type { Job } from './types.js';

const HEALTHY_INTERVAL_MS = 500;
const FAILED_INTERVAL_MS = 100;
/** Probes that must fail in a row while nothing else points to a failure. */
const FAILURES_TO_SUSPECT = 2;
/** Silence after which what runs at the endpoint is given up; milliseconds. */
const SILENCE_LIMIT_MS = 15_000;

/** What the watch needs from outside. */
export interface EndpointMonitorHost {
  client: EndpointClient;
  /** Monotonic time in milliseconds. */
  now(): number;
  logger: Logger;
  listRunning(): Job[];
  /** Resolves when the report is known to all entries, or cannot be made. */
  reportCrash(digests: string[]): Promise<void>;
  onReady(): void;
  /** The endpoint has been silent for so long that its runs are given up. */
  onUnreachable(): void;
}

/** The watch of one endpoint. */
export interface EndpointMonitor {
  readonly isReady: boolean;
  /** A run failed: the endpoint is probed; resolves when a crash was reported or ruled out. */
  reportRunFailure(job: Job, wasSent: boolean): Promise<void>;
  stop(): void;
}

/** Starts watching; the endpoint counts as failed until it first answers. */
export function createEndpointMonitor(host: EndpointMonitorHost): EndpointMonitor {
  let isReady = false;
  let isStopped = false;
  let healthyAt = host.now();
  let failures = 0;
  let timer: NodeJS.Timeout | undefined;
  // Digests of the runs that failed since the last probe.
  let failedDigests = new Set<string>();
  let lastReport = Promise.resolve();
  void probe();

  return {
    get isReady() {
      return isReady;
    },
    reportRunFailure: noteFailure,
    stop() {
      isStopped = true;
      clearTimeout(timer);
    },
  };

  async function noteFailure(job: Job, wasSent: boolean): Promise<void> {
    // What never reached the endpoint cannot have crashed it.
    if (wasSent && job.digest !== '') failedDigests.add(job.digest);
    failures = FAILURES_TO_SUSPECT;
    await probe();
    await lastReport;
  }

  async function probe(): Promise<void> {
    clearTimeout(timer);
    const isHealthy = await host.client.isHealthy();
    if (isStopped) return;
    if (isHealthy) noteHealthy();
    else noteUnhealthy();
    clearTimeout(timer);
    timer = setTimeout(() => void probe(), isHealthy ? HEALTHY_INTERVAL_MS : FAILED_INTERVAL_MS);
  }

  function noteHealthy(): void {
    failures = 0;
    healthyAt = host.now();
    failedDigests = new Set();
    if (isReady) return;
    isReady = true;
    host.logger.event('endpointReady', {});
    host.onReady();
  }

  function noteUnhealthy(): void {
    failures += 1;
    if (host.now() - healthyAt > SILENCE_LIMIT_MS) host.onUnreachable();
    if (!isReady || failures < FAILURES_TO_SUSPECT) return;
    isReady = false;
    for (const job of host.listRunning()) {
      if (job.digest !== '' && job.state === 'running') failedDigests.add(job.digest);
    }
    host.logger.event('endpointLost', { requests: failedDigests.size });
    if (failedDigests.size > 0) lastReport = host.reportCrash([...failedDigests]);
    failedDigests = new Set();
  }
}
