/** Clocks, which tests replace by a virtual one. */

export interface Clock {
  /** Monotonic time in milliseconds. Adjustments of the wall clock do not affect it. */
  now(): number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  wallTime(): number;
}

/** The clocks of the operating system. */
export class SystemClock implements Clock {
  // Leases rely on this clock to advance while the process is stopped, as CLOCK_MONOTONIC does on
  // Linux.
  public now(): number {
    return performance.now();
  }

  public wallTime(): number {
    return Date.now();
  }
}

/** A clock that advances only when `advance` is called. */
export class VirtualClock implements Clock {
  public constructor(private time = 0) {}

  public now(): number {
    return this.time;
  }

  public wallTime(): number {
    return this.time;
  }

  public advance(milliseconds: number): void {
    this.time += milliseconds;
  }
}
