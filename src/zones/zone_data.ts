/** The data of an availability zone in the fleet. */
export interface ZoneData {
  zone: string;
  /** Whether operators have taken the zone out of service. */
  isOut: boolean;
  /** The offset of the record that last changed it. */
  changedAt: number;
}
