/** A moment on the two clocks of a process: one for the age of knowledge, one for waiting. */

/** A moment of one process; both times are in milliseconds since some moment of its own. */
export interface Instant {
  /** Passes at least as fast as time does, also while the machine is suspended: for ages. */
  elapsed: number;
  /** Passes at most as fast as time does, whatever is done to the wall clock: for waits. */
  monotonic: number;
}
