/** Tracks what earlier owners started and may still be executing at executors that have not answered. */

import type { Executor } from "../fleet/executor.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { TaskState } from "../fleet/job.ts";
import { addResources, limitResources, NO_RESOURCES, type Resources } from "../fleet/resources.ts";
import type { FleetState } from "./fleet_state.ts";
import { LATE_REPORT_MILLISECONDS } from "./poll_control.ts";

/** Options of a `TakeOverControl`. */
export interface TakeOverControlOptions {
  /** The fleet state. */
  state: FleetState;
  /** The executors that earlier owners have recorded in the journal. */
  recorded: readonly ExecutorEntry[];
  /** Until when runs may go on at executors that have not answered, on the monotonic clock. */
  inDoubtUntil: number;
  /** The same at executors that their hosts no longer run. */
  lostInDoubtUntil: number;
}

/** Decides when a task that no executor has reported can't be running any more. */
export class TakeOverControl {
  readonly #options: TakeOverControlOptions;
  /** The executors that have not reported to this owner, as recorded, by id. */
  readonly #executors: Map<string, ExecutorEntry>;

  private constructor(options: TakeOverControlOptions) {
    this.#options = options;
    this.#executors = new Map(options.recorded.map((entry) => [entry.id, entry]));
  }

  /** Creates the control of a take-over, in which all recorded executors are in doubt. */
  static create(options: TakeOverControlOptions): TakeOverControl {
    return new TakeOverControl(options);
  }

  /** Gets whether an executor may run tasks that it has not reported. */
  isInDoubt(id: string): boolean {
    return this.#executors.has(id);
  }

  /** Gets the time by which no run is in doubt, on the monotonic clock; `-Infinity` if none is. */
  getEndTime(): number {
    return this.#executors.size > 0 ? this.#options.inDoubtUntil : -Infinity;
  }

  /** Gets the executors in doubt that earlier owners used and that have not answered this one. */
  getSilentExecutors(): Executor[] {
    const { state } = this.#options;
    const executors = [...this.#executors.keys()].map((id) => state.executors.get(id));
    // An incarnation first seen after the take-over is not the one that the earlier owner used.
    return executors.filter((executor): executor is Executor =>
      executor !== undefined && executor.knownSince <= state.startedAt && !executor.hasAcceptedFence
    );
  }

  /**
   * Requeues the tasks in state `Unknown` that no run of an earlier owner can still be executing, nor
   * can have completed unless the report of its end comes very late.
   */
  resolve(): void {
    const { state, inDoubtUntil, lostInDoubtUntil } = this.#options;
    if (!state.hasUnknownTasks) return;
    const mayReportLate = state.now < state.startedAt + LATE_REPORT_MILLISECONDS;
    const servicesInDoubt = new Set<string>();
    const servicesReportingLate = new Set<string>();
    const capacity = { ...NO_RESOURCES };
    for (const [id, recorded] of this.#executors) {
      const executor = state.executors.get(id);
      const isLost = executor?.isHostLostSince(state.startedAt) === true;
      const mayBeRunning = state.now < (isLost ? lostInDoubtUntil : inDoubtUntil);
      // Ends that a cut list lacks come with the next ones, once those before are acknowledged.
      const isReporting = executor?.hasAcceptedFence === true &&
        executor.pollsFailingSince === undefined;
      const isExpected = mayBeRunning || isReporting ||
        (mayReportLate && executor?.isListed === true);
      if (executor === undefined || executor.hasReportedAll || !isExpected) {
        this.#executors.delete(id);
        continue;
      }
      // An incarnation that is only listed may be of another service.
      const services = [recorded.service, executor.entry.service];
      for (const service of services) servicesReportingLate.add(service);
      if (!mayBeRunning) continue;
      for (const service of services) servicesInDoubt.add(service);
      addResources(capacity, executor.entry.capacity);
    }
    const usage = new Map<string, Resources>();
    for (const job of state.jobs.values()) {
      if (job.outcome !== undefined) continue;
      const isInDoubt = state.mayRunOnAnyOf(job.queue, servicesInDoubt);
      const isReportingLate = state.mayRunOnAnyOf(job.queue, servicesReportingLate);
      for (const task of job.getTasks()) {
        if (task.state !== TaskState.Unknown) continue;
        const { demand, isLasting } = task.step.specification;
        if (isInDoubt) addUsage(usage, job.customer, demand);
        else if (isLasting || !isReportingLate) state.resolveUnknownTask(task);
      }
    }
    // Unreported runs cannot use more than the capacity of the executors that have not answered.
    for (const resources of usage.values()) limitResources(resources, capacity);
    state.inDoubtUsage = usage;
    if (this.#executors.size === 0 && state.configuration.version > 0) {
      state.hasUnknownTasks = false;
    }
  }
}

function addUsage(usage: Map<string, Resources>, customer: string, demand: Resources): void {
  const total = usage.get(customer) ?? { ...NO_RESOURCES };
  addResources(total, demand);
  usage.set(customer, total);
}
