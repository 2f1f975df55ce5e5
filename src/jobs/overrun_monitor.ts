/** Detects tasks of a queue that exceed their reservations or run times, from delayed reports. */

import type { Fleet } from "../records/fleet.ts";
import { StopCause } from "./attempt_watch.ts";
import { getUsage, type WatchedAttempt } from "./attempt_watches.ts";
import type { QueueEffect } from "./job_queue_messages.ts";
import { decideOverruns, OverrunAction, type ReportedTask } from "./overrun.ts";
import { NO_SIZE } from "./task_size.ts";
import type { UsageEstimator } from "./usage_estimator.ts";
import type { WorkerContacts } from "./worker_contacts.ts";

/** Options of an `OverrunMonitor`. */
export interface OverrunMonitorOptions {
  /** The contacts with the workers. */
  contacts: WorkerContacts;
  /** The estimates of resource usage and run times. */
  usage: UsageEstimator;
}

/** Tracks which workers have reported since the last check. */
export class OverrunMonitor {
  readonly #options: OverrunMonitorOptions;
  readonly #reportedWorkers = new Set<string>();

  private constructor(options: OverrunMonitorOptions) {
    this.#options = options;
  }

  /** Creates the monitor of a queue. */
  static create(options: OverrunMonitorOptions): OverrunMonitor {
    return new OverrunMonitor(options);
  }

  /** Marks a worker for the next check. */
  markReported(worker: string): void {
    this.#reportedWorkers.add(worker);
  }

  /** Checks the workers that have reported since the last check, and gets the effects. */
  check(fleet: Fleet, watched: Map<string, WatchedAttempt[]>, now: number): QueueEffect[] {
    const workers = [...this.#reportedWorkers];
    this.#reportedWorkers.clear();
    return workers.flatMap((worker) =>
      this.#checkWorker(fleet, worker, watched.get(worker) ?? [], now)
    );
  }

  /** Waits for reports newer than the last action: older ones do not show its effect. */
  #checkWorker(
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
      return applyAction(target, action, host.getAddress(), now);
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

function applyAction(
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
