/** The row of a team in the fleet. */
export interface TeamData {
  /** The name of the team. */
  team: string;
  /** The maximum number of requests and tasks that it may run at once in the fleet. */
  upperLimit: number;
  /** The part of the upper limit that is reserved for tasks of jobs. */
  taskLimit: number;
  /** The offset of the record that last changed it. */
  changedAt: number;
}
