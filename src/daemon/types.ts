/** What every role's process offers to the daemon. */

/** A process that runs its role. */
export interface RunningProcess {
  /** Ends gracefully: nothing in flight is cut off. */
  stop(): Promise<void>;
}
