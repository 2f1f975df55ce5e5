/** An instant on the two clocks of a process: one measures ages, the other delays. */

/** An instant at one process; both times are in milliseconds since an arbitrary origin. */
export interface Instant {
  /** Never runs slower than real time, even while the machine is suspended: measures ages. */
  elapsed: number;
  /** Never runs faster than real time, whatever is done to the wall clock: measures delays. */
  monotonic: number;
}
