/** Requests of operators: maintenance waves and zone evacuations. */

/** A group of hosts to be maintained within a given time, with a limit on how many at a time. */
export interface MaintenanceWave {
  /** The number of the wave. */
  number: number;
  /** The names of the hosts. */
  hosts: readonly string[];
  /** The time within which all hosts must be done, in milliseconds. */
  durationMilliseconds: number;
  /** The maximum number of hosts out of service for the wave at a time. */
  ceiling: number;
}

/** The current requests of operators, which are published separately from the configuration. */
export interface OperatorActions {
  /** The names of the availability zones to be evacuated. */
  evacuatedZones: ReadonlySet<string>;
  /** The maintenance waves by number. */
  waves: ReadonlyMap<number, MaintenanceWave>;
}
