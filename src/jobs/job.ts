/** An accepted job, as a view of the fleet's data. */

import type { Pool } from "../pools/pool.ts";
import type { Fleet } from "../records/fleet.ts";
import { type JobData, JobState, type JobTaskData, JobTaskState } from "./job_data.ts";

/** Options of a `Job`. */
export interface JobOptions {
  /** The fleet to which the job belongs. */
  fleet: Fleet;
  /** The job's row in the fleet. */
  data: JobData;
}

/** Work of one or more tasks that a team submitted to a queue. */
export class Job {
  readonly #fleet: Fleet;
  readonly #data: JobData;

  private constructor(options: JobOptions) {
    this.#fleet = options.fleet;
    this.#data = options.data;
  }

  static create(options: JobOptions): Job {
    return new Job(options);
  }

  getId(): string {
    return this.#data.jobId;
  }

  /** Gets the job's row in the fleet. */
  getData(): JobData {
    return this.#data;
  }

  /** Gets the name of the team that submitted the job. */
  getTeamName(): string {
    return this.#data.team;
  }

  /** Gets the pool whose workers run the job. */
  getPool(): Pool {
    return this.#fleet.getPool(this.#data.queue);
  }

  getTasks(): readonly JobTaskData[] {
    return this.#data.tasks;
  }

  /** Gets whether any task of the job is waiting or running. */
  isActive(): boolean {
    return this.#data.state === JobState.Active;
  }

  /** Gets the number of tasks by state. */
  getTaskCounts(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { state } of this.#data.tasks) counts[state] = (counts[state] ?? 0) + 1;
    return counts;
  }

  /** Gets the indices of the waiting tasks. */
  getWaitingTasks(): number[] {
    return this.#data.tasks.flatMap((task, index) =>
      task.state === JobTaskState.Waiting ? [index] : []
    );
  }
}
