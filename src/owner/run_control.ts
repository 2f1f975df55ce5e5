/** Starts and stops runs, and acts on their ends. */

import type { AssignedRun, Executor } from "../fleet/executor.ts";
import {
  isStepDone,
  type Job,
  JobState,
  type JobStep,
  type JobTask,
  TaskState,
} from "../fleet/job.ts";
import { type Run, RunEnd, RunStage } from "../fleet/run.ts";
import type { FleetState } from "./fleet_state.ts";
import { countRunDone, countRunFailure } from "./run_health.ts";
import { type EndedRow, type OrderAnswer, OrderOutcome } from "./owner_ports.ts";

/** How long an executor that is unwell gets no starts, in milliseconds. */
const UNWELL_MILLISECONDS = 1_000;
/** How long a stop that was not answered waits to be sent again, in milliseconds. */
const STOP_AGAIN_MILLISECONDS = 500;

/** Options of `start`. */
export interface StartOptions {
  /** The task. */
  task: JobTask;
  /** The executor. */
  executor: Executor;
  /** The number of the run. */
  run: number;
  /** The adviser's ticket, where one is needed. */
  ticket?: string | undefined;
}

/** The decisions about single runs. */
export class RunControl {
  readonly #state: FleetState;

  private constructor(state: FleetState) {
    this.#state = state;
  }

  /** Creates the decisions on a state. */
  static create(state: FleetState): RunControl {
    return new RunControl(state);
  }

  /** Starts a task on an executor. */
  start(options: StartOptions): void {
    const state = this.#state;
    const { task, executor } = options;
    const deadline = executor.grantDeadline(state.now, state.leaseMilliseconds);
    const run: Run = {
      task: task.name,
      number: options.run,
      executorId: executor.id,
      stage: RunStage.Ordered,
      orderedAt: state.now,
      confirmedAt: 0,
      startDeadline: deadline,
      percent: 0,
      progressedAt: state.now,
      pace: 100,
      isPaceKnown: true,
      pacedAt: 0,
      usage: 0,
    };
    state.addRun(executor, { run, task });
    state.log("task-start", {
      request: task.step.job.id,
      task: task.name,
      run: run.number,
      executor: executor.id,
      load: Math.round(executor.getLoad() * 100),
      waited: Math.round(state.now - task.step.readyAt),
    });
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

  /** Acts on the answer to a start. */
  handleStartAnswer(
    executorId: string,
    taskName: string,
    number: number,
    answer: OrderAnswer,
  ): void {
    const state = this.#state;
    const executor = state.executors.get(executorId);
    const assigned = executor?.runs.get(taskName);
    if (executor === undefined || assigned === undefined || assigned.run.number !== number) return;
    const { run, task } = assigned;
    if (answer.outcome === OrderOutcome.Done) {
      state.confirmRun(assigned);
      if (run.stage === RunStage.Ordered || run.stage === RunStage.InDoubt) {
        run.stage = RunStage.Running;
      }
      return;
    }
    state.log("start-not-done", {
      request: task.step.job.id,
      task: taskName,
      run: number,
      executor: executorId,
      outcome: answer.outcome,
    });
    switch (answer.outcome) {
      case OrderOutcome.Unanswered:
        // The next report settles it; one that came before the answer was given up has done so.
        if (run.stage === RunStage.Ordered) run.stage = RunStage.InDoubt;
        return;
      case OrderOutcome.Fenced:
        return state.depose(executorId);
      case OrderOutcome.Unwell:
      case OrderOutcome.NoRoom:
      case OrderOutcome.Gone:
      case OrderOutcome.Malformed:
        executor.avoidedUntil = state.now + UNWELL_MILLISECONDS;
        break;
    }
    state.removeRun(executor, assigned);
    this.#returnTask(task);
  }

  /** Sends a stop for a run, again if the last one was not answered for a while. */
  stop(executor: Executor, assigned: AssignedRun, reason: string): void {
    const state = this.#state;
    const { run, task } = assigned;
    const isRepeated = run.stopSentAt !== undefined;
    if (isRepeated && state.now - run.stopSentAt! < STOP_AGAIN_MILLISECONDS) return;
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

  /** Acts on the answer to a stop. */
  handleStopAnswer(
    executorId: string,
    taskName: string,
    number: number,
    answer: OrderAnswer,
  ): void {
    const assigned = this.#state.executors.get(executorId)?.runs.get(taskName);
    if (assigned === undefined || assigned.run.number !== number) return;
    if (answer.outcome === OrderOutcome.Done) assigned.run.stopAnsweredAt = this.#state.now;
  }

  /** Acts on an end that an executor lists. */
  handleEnd(executor: Executor, row: EndedRow): void {
    const state = this.#state;
    const task = state.findListedTask(row.task);
    if (task === undefined) return;
    const assigned = executor.runs.get(row.task);
    const isCurrent = assigned !== undefined && assigned.run.number === row.run;
    if (isCurrent) state.removeRun(executor, assigned);
    task.step.job.hasStarted = true;
    state.log("task-end", {
      request: task.step.job.id,
      task: row.task,
      run: row.run,
      executor: executor.id,
      end: row.end,
      current: isCurrent,
    });
    if (task.state === TaskState.Done) return;
    if (row.checkpoint !== "") task.checkpoint = row.checkpoint;
    if (row.end === RunEnd.Done && !task.step.specification.isLasting) {
      if (isCurrent && assigned.run.confirmedAt > 0 && task.checkpoint === "") {
        const milliseconds = state.now - assigned.run.orderedAt;
        countRunDone(executor, milliseconds, state.durations.getDuration(task.step));
        state.durations.add(task.step, milliseconds);
      }
      return this.#finish(task);
    }
    if (row.end === RunEnd.Failed) this.#countFailure(task, executor, row.run);
    if (task.step.job.outcome !== undefined) return;
    if (isCurrent) this.#returnTask(task);
  }

  /** Ends a run that is known to be over without a listed end. */
  handleLost(executor: Executor, assigned: AssignedRun, reason: string): void {
    const { task, run } = assigned;
    this.#state.log("run-lost", {
      request: task.step.job.id,
      task: task.name,
      run: run.number,
      executor: executor.id,
      reason,
    });
    this.#state.removeRun(executor, assigned);
    this.#returnTask(task);
  }

  /** Ends a job: its runs are stopped and no task of it starts again. */
  endJob(job: Job, outcome: JobState, reason: string): void {
    const state = this.#state;
    if (job.outcome !== undefined) return;
    job.outcome = outcome;
    job.endedAt = state.timeOfDay;
    job.outcomeKnownSince = state.now;
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

  /** Stops what runs of a job. */
  stopRuns(job: Job, reason: string): void {
    for (const task of job.getTasks()) {
      const executor = task.run && this.#state.executors.get(task.run.executorId);
      const assigned = executor?.runs.get(task.name);
      if (executor !== undefined && assigned !== undefined) this.stop(executor, assigned, reason);
    }
  }

  /** Lets a task wait again, unless its job has ended or another run of it is at work. */
  #returnTask(task: JobTask): void {
    if (task.run !== undefined || task.state === TaskState.Done) return;
    this.#state.requeue(task);
  }

  #finish(task: JobTask): void {
    const { step } = task;
    const members = step.specification.isGang ? step.tasks : [task];
    for (const member of members) this.#finishOne(member);
    this.#state.changedJobs.add(step.job);
    if (isStepDone(step)) this.#finishStep(step);
  }

  #finishOne(task: JobTask): void {
    if (task.state === TaskState.Done) return;
    const executor = task.run && this.#state.executors.get(task.run.executorId);
    const assigned = executor?.runs.get(task.name);
    task.state = TaskState.Done;
    task.checkpoint = "";
    task.step.doneCount += 1;
    if (executor === undefined || assigned === undefined) return;
    if (task.step.specification.isGang) this.#state.removeRun(executor, assigned);
    else this.stop(executor, assigned, "done-elsewhere");
  }

  #finishStep(step: JobStep): void {
    const state = this.#state;
    const { job } = step;
    state.ready.delete(step);
    const steps = job.occurrences.get(step.occurrence) ?? [];
    if (!steps.every(isStepDone)) {
      for (const later of steps) {
        if (!isStepDone(later) && later.specification.after.includes(step.number)) {
          state.addIfReady(later);
        }
      }
      return;
    }
    job.occurrences.delete(step.occurrence);
    job.doneOccurrences.add(step.occurrence);
    if (job.doneOccurrences.size === job.getOccurrenceCount()) {
      this.endJob(job, JobState.Completed, "all tasks done");
    }
  }

  #countFailure(task: JobTask, executor: Executor, run: number): void {
    const state = this.#state;
    const { step } = task;
    const counted = step.specification.isGang ? step.tasks[0]! : task;
    if (counted.failedRuns.has(run)) return;
    countRunFailure(state, executor, task);
    if (step.specification.isLasting || step.job.outcome !== undefined) return;
    counted.failedRuns.add(run);
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
