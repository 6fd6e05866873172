/** The scheduler's interface and what it needs from outside. */

import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logging.js';
import type { Measures } from '../common/measures.js';
import type { Dispatch, Reserve } from '../generated/dispatch.js';
import type { Fairness } from './fairness.js';
import type { PrefixCacheModel } from './prefixCacheModel.js';
import type { EndpointCapacity } from './endpointCapacity.js';
import type { RunnerHost } from './runner.js';
import type { SpeedEstimator } from './speedEstimator.js';
import type { FrameSender, Job, ConfiguredSpeeds } from './types.js';

/** What the scheduler needs from outside. */
export interface SchedulerHost extends RunnerHost {
  clock: Clock;
  logger: Logger;
  measures: Measures;
  frames: FrameSender;
  incarnation: string;
  capacity: EndpointCapacity;
  speedEstimator: SpeedEstimator;
  fairness: Fairness;
  prefixCache: PrefixCacheModel;
  speeds: ConfiguredSpeeds | undefined;
  slots: number;
  /** Mechanisms that are left out, for measurement. */
  disabledMechanisms: ReadonlySet<string>;
  hasLease(): boolean;
  /** Newest revision of the configuration that is known to be committed. */
  getConfigRevision(): number;
  isEndpointReady(): boolean;
  isSuspect(digest: string): boolean;
  /** A run failed in a way that may mean that the endpoint crashed; resolves when that is settled. */
  onRunFailed(job: Job, wasSent: boolean): Promise<void>;
}

/** The agent's requests. */
export interface Scheduler {
  readonly running: number;
  readonly waiting: number;
  reserve(entryKey: string, requestId: string, reserve: Reserve): void;
  withdraw(requestId: string): void;
  dispatch(entryKey: string, requestId: string, dispatch: Dispatch): void;
  /** Voids a grant that has not started and tells which. */
  reportStatus(entryKey: string, requestId: string, grantId: string): void;
  cancel(requestId: string): void;
  credit(requestId: string, bytes: number): void;
  /** Sends an answer again from `offset` on; `reserve` describes a request that is not known. */
  attach(entryKey: string, requestId: string, offset: number, reserve: Reserve | undefined): void;
  raiseFloor(tierRank: number, validMs: number): number;
  setDraining(draining: boolean): void;
  /** The entry's connection is lost: its waiting reservations end. */
  detachEntry(entryKey: string): void;
  /** The entry is gone for good: its running requests end, but for calls that may not be repeated. */
  releaseEntry(entryKey: string): void;
  /** Stops running requests whose content has become suspect elsewhere. */
  stopSuspectRuns(): void;
  /** The endpoint is silent for good: what runs there is cut. */
  abortRuns(): void;
  /** Looks again for what may be granted. */
  reevaluateQueue(): void;
  listRunning(): Job[];
  /** Resolves when nothing is granted or running any more. */
  waitUntilDrained(): Promise<void>;
  stop(): void;
}
