/** Acts on the tasks of a queue that use more than they reserved, as lagging reports show it. */

import type { Fleet } from "../records/fleet.ts";
import { StopCause } from "./attempt_watch.ts";
import { getUsage, type WatchedAttempt } from "./attempt_watches.ts";
import type { QueueEffect } from "./job_queue_messages.ts";
import { decideOverruns, OverrunAction, type ReportedTask } from "./overrun.ts";
import { NO_SIZE } from "./task_size.ts";
import type { UsageEstimator } from "./usage_estimator.ts";
import type { WorkerContacts } from "./worker_contacts.ts";

/** Options of a `QueueOverruns`. */
export interface OverrunMonitorOptions {
  /** What is known of the workers. */
  contacts: WorkerContacts;
  /** What was learned of declared sizes and run times. */
  usage: UsageEstimator;
}

/** Owns which workers have reported since they were last looked at. */
export class OverrunMonitor {
  readonly #options: OverrunMonitorOptions;
  readonly #reportedWorkers = new Set<string>();

  private constructor(options: OverrunMonitorOptions) {
    this.#options = options;
  }

  /** Creates the overruns of a queue. */
  static create(options: OverrunMonitorOptions): OverrunMonitor {
    return new OverrunMonitor(options);
  }

  /** Notes that a worker has reported. */
  markReported(worker: string): void {
    this.#reportedWorkers.add(worker);
  }

  /** Acts on the workers that have reported. */
  check(fleet: Fleet, watched: Map<string, WatchedAttempt[]>, now: number): QueueEffect[] {
    const workers = [...this.#reportedWorkers];
    this.#reportedWorkers.clear();
    return workers.flatMap((worker) =>
      this.#actOnWorker(fleet, worker, watched.get(worker) ?? [], now)
    );
  }

  /** A report from before the last action says nothing of what the action did. */
  #actOnWorker(
    fleet: Fleet,
    worker: string,
    watched: readonly WatchedAttempt[],
    now: number,
  ): QueueEffect[] {
    const host = fleet.getHost(worker);
    const reported = watched.filter(({ watch }) =>
      watch.report?.usage !== undefined && watch.result === undefined &&
      watch.stopCause === undefined
    );
    const oldest = Math.min(...reported.map(({ watch }) => watch.measuredAt));
    if (host === undefined || oldest <= this.#options.contacts.getOverrunActionTime(worker)) {
      return [];
    }
    const tasks = reported.map((attempt) => this.#toReportedTask(attempt));
    return decideOverruns(tasks, host.getData()).flatMap(({ taskId, action }) => {
      this.#options.contacts.setOverrunActionTime(worker, now);
      const target = reported.find(({ watch }) => watch.taskId === taskId)!;
      return actOn(target, action, host.getAddress(), now);
    });
  }

  #toReportedTask({ watch, job, running }: WatchedAttempt): ReportedTask {
    const task = job.tasks[watch.task]!;
    const expected = this.#options.usage.estimate({ team: job.team, task, largestWorker: NO_SIZE });
    return {
      taskId: watch.taskId,
      isIdempotent: watch.isIdempotent,
      reserved: running.reserved,
      expectedRunMilliseconds: Math.max(task.runMilliseconds, expected.runMilliseconds),
      isThrottled: watch.throttledAt !== undefined,
      ...getUsage(watch)!,
    };
  }
}

function actOn(
  { watch, running }: WatchedAttempt,
  action: OverrunAction,
  address: string,
  now: number,
): QueueEffect[] {
  switch (action) {
    case OverrunAction.Stop:
      watch.stopCause = StopCause.Overrun;
      return [];
    case OverrunAction.Move:
      watch.stopCause = StopCause.Move;
      return [];
    case OverrunAction.Throttle: {
      watch.throttledAt = now;
      const { taskId, attempt, worker } = watch;
      const { cores } = running.reserved;
      return [{
        kind: "call",
        worker,
        address,
        call: { kind: "throttle", taskId, attempt, cores },
      }];
    }
  }
}
