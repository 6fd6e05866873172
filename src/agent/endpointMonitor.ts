/** Probes the endpoint's health and reports the requests that were in flight when it crashed. */

import type { Logger } from '../common/logging.js';
import type { EndpointClient } from './endpointClient.js';
import type { Job } from './types.js';

const HEALTHY_INTERVAL_MS = 500;
const FAILED_INTERVAL_MS = 100;
/** Consecutive probes that must fail when no failed run points to a failure of the endpoint. */
const FAILURE_THRESHOLD = 2;
/** Time without a successful probe after which the runs at the endpoint are aborted. */
const UNREACHABLE_LIMIT_MS = 15_000;

/** Dependencies of the monitor. */
export interface EndpointMonitorHost {
  client: EndpointClient;
  /** Monotonic time in milliseconds. */
  now(): number;
  logger: Logger;
  listRunning(): Job[];
  /** Resolves when all entries know the report, or when it cannot be made. */
  reportCrash(digests: string[]): Promise<void>;
  onReady(): void;
  /** The endpoint has been unreachable for so long that its runs have to be aborted. */
  onUnreachable(): void;
}

/** Health monitor of one endpoint. */
export interface EndpointMonitor {
  readonly isReady: boolean;
  /** Probes the endpoint after a failed run; resolves when a crash is reported or ruled out. */
  reportRunFailure(job: Job, wasSent: boolean): Promise<void>;
  stop(): void;
}

/** Starts a monitor, which takes the endpoint for unhealthy until the first successful probe. */
export function createEndpointMonitor(host: EndpointMonitorHost): EndpointMonitor {
  let isReady = false;
  let isStopped = false;
  let lastHealthyAt = host.now();
  let consecutiveFailures = 0;
  let timer: NodeJS.Timeout | undefined;
  // Digests of the runs that have failed since the last successful probe or crash report.
  let failedDigests = new Set<string>();
  let lastReport = Promise.resolve();
  void probe();

  return {
    get isReady() {
      return isReady;
    },
    reportRunFailure,
    stop() {
      isStopped = true;
      clearTimeout(timer);
    },
  };

  async function reportRunFailure(job: Job, wasSent: boolean): Promise<void> {
    // A request that never reached the endpoint cannot have crashed it.
    if (wasSent && job.digest !== '') failedDigests.add(job.digest);
    consecutiveFailures = FAILURE_THRESHOLD;
    await probe();
    await lastReport;
  }

  async function probe(): Promise<void> {
    clearTimeout(timer);
    const isHealthy = await host.client.isHealthy();
    if (isStopped) return;
    if (isHealthy) handleHealthy();
    else handleUnhealthy();
    clearTimeout(timer);
    timer = setTimeout(() => void probe(), isHealthy ? HEALTHY_INTERVAL_MS : FAILED_INTERVAL_MS);
  }

  function handleHealthy(): void {
    consecutiveFailures = 0;
    lastHealthyAt = host.now();
    failedDigests = new Set();
    if (isReady) return;
    isReady = true;
    host.logger.event('endpointReady', {});
    host.onReady();
  }

  function handleUnhealthy(): void {
    consecutiveFailures += 1;
    if (host.now() - lastHealthyAt > UNREACHABLE_LIMIT_MS) host.onUnreachable();
    if (!isReady || consecutiveFailures < FAILURE_THRESHOLD) return;
    isReady = false;
    for (const job of host.listRunning()) {
      if (job.digest !== '' && job.state === 'running') failedDigests.add(job.digest);
    }
    host.logger.event('endpointLost', { requests: failedDigests.size });
    if (failedDigests.size > 0) lastReport = host.reportCrash([...failedDigests]);
    failedDigests = new Set();
  }
}
