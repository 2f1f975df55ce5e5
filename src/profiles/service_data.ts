/** The data of a service in the fleet. */
export interface ServiceData {
  /** The name of the service, which is also the name of its pool. */
  service: string;
  /** The name of its profile. */
  profile: string;
}
