/** Starts and stops runs, and handles their ends. */

import type { AssignedRun, Executor } from "../fleet/executor.ts";
import {
  isStepCompleted,
  type Job,
  JobState,
  type JobStep,
  type JobTask,
  TaskState,
} from "../fleet/job.ts";
import { type Run, RunEnd, RunStage } from "../fleet/run.ts";
import type { FleetState } from "./fleet_state.ts";
import { recordRunFailure, recordRunSuccess } from "./run_health.ts";
import { type OrderAnswer, OrderOutcome, type ReportedEnd, type StopOrder } from "./owner_ports.ts";

/** How long an executor that could not start a run gets no further starts, in milliseconds. */
const REFUSED_START_PAUSE_MILLISECONDS = 1_000;
/** The interval at which a stop order is resent, in milliseconds. */
const STOP_RETRY_MILLISECONDS = 500;

/** Options of `start`. */
export interface StartOptions {
  /** The task. */
  task: JobTask;
  /** The executor. */
  executor: Executor;
  /** The number of the run. */
  run: number;
  /** The adviser's ticket, if the start requires one. */
  ticket?: string | undefined;
}

/** Decides about individual runs. */
export class RunControl {
  readonly #state: FleetState;
  /** The unanswered start orders: their numbers in the start window and send times, by run. */
  readonly #startOrders = new Map<string, { order: number; sentAt: number }>();

  private constructor(state: FleetState) {
    this.#state = state;
  }

  /** Creates a `RunControl` that works on a fleet state. */
  static create(state: FleetState): RunControl {
    return new RunControl(state);
  }

  /** Starts a task on an executor. */
  start(options: StartOptions): void {
    const state = this.#state;
    const { task, executor } = options;
    const deadline = executor.grantLease(state.now, state.leaseMilliseconds);
    const run: Run = {
      task: task.name,
      number: options.run,
      executorId: executor.id,
      stage: RunStage.Ordered,
      orderedAt: state.now,
      confirmedAt: 0,
      isReported: false,
      isLeaseKnown: false,
      startDeadline: deadline,
      percent: 0,
      progressedAt: state.now,
      pace: 100,
      isPaceKnown: true,
      pacedAt: 0,
      usage: 0,
    };
    state.addRun(executor, { run, task });
    task.step.job.lastStartAt = state.timeOfDay;
    state.log("task-start", {
      request: task.step.job.id,
      task: task.name,
      run: run.number,
      executor: executor.id,
      load: Math.round(executor.getReservedCpuFraction() * 100),
      waited: Math.round(state.now - task.step.readyAt),
    });
    const order = state.startWindow.recordSent(state.now);
    this.#startOrders.set(getOrderKey(task.name, run.number), { order, sentAt: state.now });
    state.ports.start({
      executor: executor.entry,
      task: task.name,
      run: run.number,
      text: task.step.job.specification.text,
      deadline,
      fence: state.fence,
      checkpoint: task.checkpoint,
      ticket: options.ticket,
    });
  }

  /** Handles the answer to a start order. */
  handleStartAnswer(
    executorId: string,
    taskName: string,
    runNumber: number,
    answer: OrderAnswer,
  ): void {
    const state = this.#state;
    this.#recordAnswer(taskName, runNumber);
    const executor = state.executors.get(executorId);
    const assigned = executor?.runs.get(taskName);
    if (executor === undefined || assigned === undefined || assigned.run.number !== runNumber) {
      return;
    }
    const { run, task } = assigned;
    run.startSettledAt = state.now;
    if (answer.outcome === OrderOutcome.Done) {
      this.#checkClock(executor, assigned, answer.executorTime);
      state.confirmRun(assigned);
      if (run.stage === RunStage.Ordered || run.stage === RunStage.StartUnanswered) {
        run.stage = RunStage.Running;
      }
      return;
    }
    state.log("start-not-done", {
      request: task.step.job.id,
      task: taskName,
      run: runNumber,
      executor: executorId,
      outcome: answer.outcome,
    });
    switch (answer.outcome) {
      case OrderOutcome.Unanswered:
        // The next report shows whether the run started. If a report received in the meantime has
        // already shown it, the stage is no longer `Ordered`.
        if (run.stage === RunStage.Ordered) run.stage = RunStage.StartUnanswered;
        return;
      case OrderOutcome.Fenced:
        return state.setFenced(executorId);
      case OrderOutcome.NotSent:
      case OrderOutcome.Unhealthy:
      case OrderOutcome.NoCapacity:
      case OrderOutcome.WrongIncarnation:
      case OrderOutcome.Malformed:
        executor.avoidedUntil = state.now + REFUSED_START_PAUSE_MILLISECONDS;
        break;
    }
    state.removeRun(executor, assigned);
    this.#requeue(task);
  }

  /** Sends a stop order for a run, and resends it after `STOP_RETRY_MILLISECONDS`. */
  stop(executor: Executor, assigned: AssignedRun, reason: string): void {
    const state = this.#state;
    const { run, task } = assigned;
    const isRepeated = run.stopSentAt !== undefined;
    if (isRepeated && state.now - run.stopSentAt! < STOP_RETRY_MILLISECONDS) return;
    if (run.stage === RunStage.Running || run.stage === RunStage.Ordered) {
      run.stage = RunStage.Stopping;
    }
    run.stopSentAt = state.now;
    if (!isRepeated) {
      state.log("task-stop", {
        request: task.step.job.id,
        task: task.name,
        run: run.number,
        executor: executor.id,
        reason,
      });
    }
    state.ports.stop({
      executor: executor.entry,
      task: task.name,
      run: run.number,
      fence: state.fence,
    });
  }

  /** Handles the answer to a stop order. */
  handleStopAnswer(order: StopOrder, answer: OrderAnswer): void {
    const executor = this.#state.executors.get(order.executor.id);
    const assigned = executor?.runs.get(order.task);
    if (assigned === undefined || assigned.run.number !== order.run) return;
    // An earlier incarnation that has seen the stop does not prevent a late start in the next one.
    if (executor!.entry.born !== order.executor.born) return;
    if (answer.outcome === OrderOutcome.Done) assigned.run.stopAnsweredAt = this.#state.now;
  }

  /** Handles the end of a run that an executor reports. */
  handleEnd(executor: Executor, ended: ReportedEnd): void {
    const state = this.#state;
    const task = state.findOrAddReportedTask(ended.task);
    if (task === undefined) return;
    const assigned = executor.runs.get(ended.task);
    const isCurrent = assigned !== undefined && assigned.run.number === ended.run;
    if (isCurrent) state.removeRun(executor, assigned);
    task.step.job.hasStarted = true;
    state.log("task-end", {
      request: task.step.job.id,
      task: ended.task,
      run: ended.run,
      executor: executor.id,
      born: executor.entry.born,
      number: ended.number,
      end: ended.end,
      current: isCurrent,
    });
    if (task.state === TaskState.Done) return;
    if (ended.checkpoint !== "") task.checkpoint = ended.checkpoint;
    if (ended.end === RunEnd.Done && !task.step.specification.isLasting) {
      if (isCurrent && assigned.run.confirmedAt > 0 && task.checkpoint === "") {
        const milliseconds = state.now - assigned.run.orderedAt;
        recordRunSuccess(
          executor,
          milliseconds,
          state.durationEstimator.estimateMilliseconds(task.step),
        );
        state.durationEstimator.add(task.step, milliseconds);
      }
      return this.#finish(task);
    }
    if (ended.end === RunEnd.Failed) this.#countFailure(task, executor, ended.run);
    if (task.step.job.outcome !== undefined) return;
    if (isCurrent) this.#requeue(task);
  }

  /** Removes a run that has ended without a report or never started, and requeues its task. */
  handleUnreportedEnd(executor: Executor, assigned: AssignedRun, reason: string): void {
    const { task, run } = assigned;
    this.#state.log("run-lost", {
      request: task.step.job.id,
      task: task.name,
      run: run.number,
      executor: executor.id,
      born: executor.entry.born,
      reason,
    });
    this.#state.removeRun(executor, assigned);
    this.#requeue(task);
  }

  /**
   * Assigns a run to the next incarnation of its executor, which may have started it, or may yet.
   * The deadline of its start and the answers to stop orders belong to the earlier one.
   */
  reassign(executor: Executor, next: Executor, assigned: AssignedRun): void {
    const { run } = assigned;
    executor.removeRun(assigned);
    next.addRun(assigned);
    run.startDeadline = Infinity;
    run.isLeaseKnown = false;
    delete run.stopSentAt;
    delete run.stopAnsweredAt;
  }

  /** Ends a job: stops its runs and starts none of its tasks again. */
  endJob(job: Job, outcome: JobState, reason: string): void {
    const state = this.#state;
    if (job.outcome !== undefined) return;
    job.outcome = outcome;
    job.endedAt = state.timeOfDay;
    job.outcomeKnownSince = state.now;
    state.jobMemory.update(job);
    state.changedJobs.add(job);
    state.log("job-end", {
      request: job.id,
      outcome,
      reason,
      age: Math.round(state.timeOfDay - job.acceptedAt),
    });
    for (const steps of job.occurrences.values()) {
      for (const step of steps) state.ready.delete(step);
    }
    this.stopRuns(job, reason);
  }

  /** Stops the runs of a job. */
  stopRuns(job: Job, reason: string): void {
    for (const task of job.getTasks()) {
      const executor = task.run && this.#state.executors.get(task.run.executorId);
      const assigned = executor?.runs.get(task.name);
      if (executor !== undefined && assigned !== undefined) this.stop(executor, assigned, reason);
    }
  }

  /**
   * Checks by the clock reading of an answer whether the incarnation that is known has accepted a
   * start. A later one reads the deadline on its own clock, which may give it the longest lease.
   */
  #checkClock(
    executor: Executor,
    { run, task }: AssignedRun,
    executorTime: number | undefined,
  ): void {
    if (executorTime !== undefined && !executor.isClockBehind(executorTime, run.orderedAt)) {
      run.isLeaseKnown = true;
      return;
    }
    if (run.isLeaseKnown) return;
    this.#state.log("run-lease-unknown", {
      request: task.step.job.id,
      task: task.name,
      run: run.number,
      executor: executor.id,
      executorTime,
      expectedTime: Math.round(executor.getExecutorTime(run.orderedAt) ?? -1),
    });
  }

  /** Updates the start window: a start that timed out counts with its timeout as latency. */
  #recordAnswer(taskName: string, runNumber: number): void {
    const { startWindow, now } = this.#state;
    const key = getOrderKey(taskName, runNumber);
    const pending = this.#startOrders.get(key);
    if (pending === undefined) return;
    this.#startOrders.delete(key);
    startWindow.recordAnswer(pending.order, now - pending.sentAt, now);
    this.#state.needsDispatch = true;
  }

  /** Requeues a task, unless it is done or has another run. */
  #requeue(task: JobTask): void {
    if (task.run !== undefined || task.state === TaskState.Done) return;
    this.#state.requeue(task);
  }

  #finish(task: JobTask): void {
    const { step } = task;
    const tasks = step.specification.isGang ? step.tasks : [task];
    for (const finished of tasks) this.#finishTask(finished);
    this.#state.changedJobs.add(step.job);
    if (isStepCompleted(step)) this.#finishStep(step);
  }

  #finishTask(task: JobTask): void {
    if (task.state === TaskState.Done) return;
    const executor = task.run && this.#state.executors.get(task.run.executorId);
    const assigned = executor?.runs.get(task.name);
    task.state = TaskState.Done;
    task.checkpoint = "";
    task.step.completedTaskCount += 1;
    if (executor === undefined || assigned === undefined) return;
    if (task.step.specification.isGang) this.#state.removeRun(executor, assigned);
    else this.stop(executor, assigned, "done elsewhere");
  }

  #finishStep(step: JobStep): void {
    const state = this.#state;
    const { job } = step;
    state.ready.delete(step);
    const steps = job.occurrences.get(step.occurrence) ?? [];
    if (!steps.every(isStepCompleted)) {
      for (const later of steps) {
        if (!isStepCompleted(later) && later.specification.after.includes(step.number)) {
          state.addIfReady(later);
        }
      }
      return;
    }
    state.completeOccurrence(job, step.occurrence);
    if (job.doneOccurrences.size === job.getOccurrenceCount()) {
      this.endJob(job, JobState.Completed, "all tasks done");
    }
  }

  #countFailure(task: JobTask, executor: Executor, runNumber: number): void {
    const state = this.#state;
    const { step } = task;
    const counted = step.specification.isGang ? step.tasks[0]! : task;
    if (counted.failedRuns.has(runNumber)) return;
    recordRunFailure(state, executor, task);
    if (step.specification.isLasting || step.job.outcome !== undefined) return;
    counted.failedRuns.add(runNumber);
    state.changedJobs.add(step.job);
    const limit = state.getQueue(step.job.queue)?.attemptLimit ?? Infinity;
    if (counted.failedRuns.size >= limit) {
      this.endJob(
        step.job,
        JobState.Failed,
        `task ${task.name} failed ${counted.failedRuns.size} times`,
      );
    }
  }
}

function getOrderKey(taskName: string, runNumber: number): string {
  return `${taskName}/${runNumber}`;
}
