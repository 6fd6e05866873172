/** Start, reload and graceful shutdown of a role, as signals ask for them. */

import { delay } from '../common/delay.js';
import { RaisedFailure } from '../common/failure.js';
import type { Logger } from '../common/logging.js';
import type { HandledSignal, Signals } from './signals.js';
import type { RunningProcess } from './types.js';

/** Time that a start in progress has to end after a signal to stop. */
const START_ABORT_TIMEOUT_MS = 2_000;

const stopTimedOut = new RaisedFailure({
  kind: 'unavailable',
  reason: 'the graceful shutdown does not end',
});

/** Dependencies of the lifecycle. */
export interface LifecycleHost {
  logger: Logger;
  signals: Signals;
  /** Earliest monotonic time at which a signal that is handled now can have been sent. */
  getSignalledAt(): number;
  /** Time after which a graceful shutdown that does not end counts as failed. */
  stopTimeoutMs: number;
  /** Starts the role. Waits that may be long end once `stopping` is aborted. */
  start(stopping: AbortSignal): Promise<RunningProcess>;
  onStarted(): void;
  reload(running: RunningProcess): void;
  /** Exits after an internal error. */
  fail(caught: unknown): void;
  /** Exits after a graceful shutdown that took `stopMs`. */
  end(stopMs: number): Promise<void>;
}

/** A role that is starting, running or stopping. */
export interface Lifecycle {
  /** Applies changed settings to a role that runs, or to one that is starting once it runs. */
  reload(): void;
}

/** Starts the role and obeys signals from then on. */
export function startLifecycle(host: LifecycleHost): Lifecycle {
  const { logger } = host;
  const stopping = new AbortController();
  let running: RunningProcess | undefined;
  let isReloadPending = false;
  const started = start();
  host.signals.subscribe(receive);

  return { reload };

  function receive(signal: HandledSignal): void {
    if (stopping.signal.aborted) logger.event('signalIgnored', { signal });
    else if (signal === 'SIGHUP') reload();
    else void stop(signal);
  }

  async function start(): Promise<void> {
    try {
      running = await host.start(stopping.signal);
    } catch (caught) {
      // A start that is given up may end by an error.
      if (!stopping.signal.aborted) host.fail(caught);
      return;
    }
    if (stopping.signal.aborted) return;
    host.onStarted();
    if (isReloadPending) reload();
  }

  function reload(): void {
    if (stopping.signal.aborted) return;
    isReloadPending = running === undefined;
    if (running !== undefined) host.reload(running);
  }

  async function stop(signal: HandledSignal): Promise<void> {
    logger.event('processStopping', { signal });
    const signalledAt = host.getSignalledAt();
    stopping.abort();
    const timer = setTimeout(() => host.fail(stopTimedOut), host.stopTimeoutMs);
    try {
      await Promise.race([started, delay(START_ABORT_TIMEOUT_MS)]);
      await running?.stop(signalledAt);
    } catch (caught) {
      host.fail(caught);
      return;
    } finally {
      clearTimeout(timer);
    }
    logger.event('processStopped', {});
    await host.end(performance.now() - signalledAt);
  }
}
