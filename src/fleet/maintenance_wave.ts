/** A wave of maintenance that operators ask for. */

/** Hosts that are due for maintenance within a time, a few at once. */
export interface MaintenanceWave {
  /** The number of the wave. */
  number: number;
  /** The hosts. */
  hosts: readonly string[];
  /** The time in which all are to be done, in milliseconds. */
  durationMilliseconds: number;
  /** The most hosts away for the wave at once. */
  ceiling: number;
}

/** What operators have published beside the configuration. */
export interface OperatorRequests {
  /** The zones that are out. */
  evacuatedZones: ReadonlySet<string>;
  /** The waves by number. */
  waves: ReadonlyMap<number, MaintenanceWave>;
}
