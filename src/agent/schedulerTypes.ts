/** Interface and dependencies of the agent's scheduler. */

import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logging.js';
import type { MetricsRecorder } from '../common/metricsRecorder.js';
import type { Dispatch, Reserve } from '../generated/dispatch.js';
import type { Fairness } from './fairness.js';
import type { PrefixCacheModel } from './prefixCacheModel.js';
import type { EndpointCapacity } from './endpointCapacity.js';
import type { RunnerHost } from './runner.js';
import type { SpeedEstimator } from './speedEstimator.js';
import type { FrameSender, Job, ConfiguredSpeeds } from './types.js';

/** Dependencies of the scheduler. */
export interface SchedulerHost extends RunnerHost {
  clock: Clock;
  logger: Logger;
  measures: MetricsRecorder;
  frames: FrameSender;
  incarnation: string;
  capacity: EndpointCapacity;
  speedEstimator: SpeedEstimator;
  fairness: Fairness;
  prefixCache: PrefixCacheModel;
  speeds: ConfiguredSpeeds | undefined;
  slots: number;
  /** Mechanisms that are switched off to measure their effect. */
  disabledMechanisms: ReadonlySet<string>;
  hasLease(): boolean;
  /** Newest configuration revision that is known to be committed. */
  getConfigRevision(): number;
  isEndpointReady(): boolean;
  isSuspect(digest: string): boolean;
  /**
   * Called when a run failed in a way that may be due to a crash of the endpoint. Resolves when a
   * crash has been reported or ruled out.
   */
  onRunFailed(job: Job, wasSent: boolean): Promise<void>;
}

/** Schedules requests on the agent's endpoint. */
export interface Scheduler {
  readonly running: number;
  readonly waiting: number;
  reserve(entryKey: string, requestId: string, reserve: Reserve): void;
  withdraw(requestId: string): void;
  dispatch(entryKey: string, requestId: string, dispatch: Dispatch): void;
  /** Reports whether the grant has started. A grant that has not started is void from then on. */
  reportStatus(entryKey: string, requestId: string, grantId: string): void;
  cancel(requestId: string): void;
  credit(requestId: string, bytes: number): void;
  /** Resends an answer from `offset`; `reserve` describes a request unknown to this incarnation. */
  attach(entryKey: string, requestId: string, offset: number, reserve: Reserve | undefined): void;
  /** Returns the number of requests below the floor that still run. */
  raiseFloor(tierRank: number, validMs: number): number;
  setDraining(draining: boolean): void;
  /** Withdraws the waiting reservations of an entry whose connection is lost. */
  handleEntryDisconnect(entryKey: string): void;
  /**
   * Stops the running requests of an entry that has not reconnected in time, except for
   * non-idempotent calls.
   */
  handleEntryExpiry(entryKey: string): void;
  /** Stops running requests whose content has become suspect after a crash elsewhere. */
  stopSuspectRuns(): void;
  /** Cuts all runs, after the endpoint has been unreachable for too long. */
  abortRuns(): void;
  /** Checks again whether waiting reservations can be granted. */
  reevaluateQueue(): void;
  listRunning(): Job[];
  /** Resolves when no request is granted or running. */
  waitUntilDrained(): Promise<void>;
  stop(): void;
}
