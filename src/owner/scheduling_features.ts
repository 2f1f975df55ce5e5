/** The scheduling features that a deployment's settings turn on. */

/** The scheduling features of an owner; each is off unless the settings ask for it. */
export interface SchedulingFeatures {
  /** Whether steps that do not fit reserve the room that running tasks will leave. */
  reservesRoom: boolean;
  /** Whether pools are sized ahead of demand that recurs. */
  anticipatesDemand: boolean;
  /** Whether a backlog is worked off by usefulness and by the customers' shares of the room. */
  ordersBacklog: boolean;
}

/** The features of an owner whose settings ask for none. */
export const NO_SCHEDULING_FEATURES: SchedulingFeatures = {
  reservesRoom: false,
  anticipatesDemand: false,
  ordersBacklog: false,
};
