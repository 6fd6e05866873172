/** Time sources, so that tests can substitute a virtual one. */

/** Reads time. */
export interface Clock {
  /** Monotonic time in milliseconds; unaffected by changes of the wall clock. */
  now(): number;
  /** Wall clock in milliseconds since the epoch. */
  wallTime(): number;
}

/** The machine's clocks. */
export class SystemClock implements Clock {
  // Linux CLOCK_MONOTONIC goes on while a process is stopped, which leases rely on.
  public now(): number {
    return performance.now();
  }

  public wallTime(): number {
    return Date.now();
  }
}

/** A clock that moves only when told. */
export class VirtualClock implements Clock {
  public constructor(private time = 0) {}

  public now(): number {
    return this.time;
  }

  public wallTime(): number {
    return this.time;
  }

  /** Moves time forward by `milliseconds`. */
  public advance(milliseconds: number): void {
    this.time += milliseconds;
  }
}
