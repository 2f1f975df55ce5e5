/** Looks at executors: extends leases, and brings what is believed in line with what they report. */

import { type AssignedRun, type Executor, ExecutorRecord } from "../fleet/executor.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { type JobTask, TaskState } from "../fleet/job.ts";
import { parseTaskName } from "../fleet/job_specification.ts";
import { type Run, RunStage } from "../fleet/run.ts";
import type { FleetState } from "./fleet_state.ts";
import { type LookAnswer, type LookReport, OrderOutcome, type RunningRow } from "./owner_ports.ts";
import { createExecutorEntry, createExecutorGoneEntry } from "./executor_records.ts";
import type { RunControl } from "./run_control.ts";

/** How long a report may wait for an end, in milliseconds: a third of the lease. */
const LOOK_WAIT_MILLISECONDS = 1_000;
/** The least time between two looks at one executor, in milliseconds, so that ends share a look. */
const LOOK_PAUSE_MILLISECONDS = 25;
/** The pause after a look that failed, in milliseconds. */
const FAILED_LOOK_PAUSE_MILLISECONDS = 200;
/** The pace from which an adopted filler is raised, in percent: an earlier owner may have slowed it. */
const ADOPTED_PACE_PERCENT = 50;
/** How long past its deadline an unanswered start counts as possible, in milliseconds. */
const DOUBT_MARGIN_MILLISECONDS = 50;

/** The decisions about looks. */
export class LookControl {
  readonly #state: FleetState;
  readonly #runs: RunControl;

  private constructor(state: FleetState, runs: RunControl) {
    this.#state = state;
    this.#runs = runs;
  }

  /** Creates the decisions on a state. */
  static create(state: FleetState, runs: RunControl): LookControl {
    return new LookControl(state, runs);
  }

  /** Sends the looks that are due, and ends what has lapsed. */
  tick(): void {
    for (const executor of this.#state.executors.values()) {
      this.#endLapsed(executor);
      if (this.#isLookDue(executor)) this.#look(executor);
    }
  }

  /** Acts on the answer to a look that was sent at a time. */
  handleAnswer(executorId: string, sentAt: number, answer: LookAnswer): void {
    const state = this.#state;
    const executor = state.executors.get(executorId);
    if (executor === undefined) return;
    if (sentAt < executor.knownSince) return this.#handleEarlierLife(executor, answer.outcome);
    executor.isPolling = false;
    executor.polledAt = state.now;
    if (answer.outcome !== OrderOutcome.Done) {
      return this.#handleFailedLook(executor, answer.outcome);
    }
    if (executor.record === ExecutorRecord.None) this.#record(executor);
    if (executor.failingSince !== undefined) {
      state.log("executor-regained", {
        executor: executor.id,
        silent: Math.round(state.now - executor.failingSince),
      });
      executor.failingSince = undefined;
    }
    this.#handleReport(executor, sentAt, answer.report);
  }

  /** Ends everything on an executor that is known to be gone, though it may still be listed. */
  endExecutor(executor: Executor, reason: string): void {
    for (const assigned of [...executor.runs.values()]) {
      this.#runs.handleLost(executor, assigned, reason);
    }
    this.#state.departed.set(getLife(executor.entry), this.#state.now);
    this.dropExecutor(executor, reason);
  }

  /** Forgets an executor on which nothing runs; it is new if it is listed again. */
  dropExecutor(executor: Executor, reason: string): void {
    this.#state.executors.delete(executor.id);
    this.#state.ports.write([createExecutorGoneEntry(executor.id)], () => {});
    this.#state.log("executor-gone", { executor: executor.id, reason });
  }

  #isLookDue(executor: Executor): boolean {
    if (executor.isPolling) return false;
    const pause = executor.failingSince === undefined
      ? LOOK_PAUSE_MILLISECONDS
      : FAILED_LOOK_PAUSE_MILLISECONDS;
    if (this.#state.now - executor.polledAt < pause) return false;
    return !executor.hasAcceptedFence || executor.orphanRunCount > 0 ||
      executor.failingSince !== undefined ||
      executor.runs.size > 0 ||
      executor.storedEnd > executor.acknowledgedEnd;
  }

  #look(executor: Executor): void {
    const state = this.#state;
    const mayWait = executor.hasAcceptedFence && executor.failingSince === undefined &&
      executor.runs.size > 0 && ![...executor.runs.values()].some(({ run }) => isUnsettled(run));
    // A look that is not answered may arrive later: a longer lease would keep its tasks in doubt.
    const mayExtend = state.mayExtend && executor.failingSince === undefined;
    executor.isPolling = true;
    state.ports.look({
      executor: executor.entry,
      fence: state.fence,
      acknowledged: executor.storedEnd,
      deadline: mayExtend ? executor.grantDeadline(state.now, state.leaseMilliseconds) : 0,
      waitMilliseconds: mayWait ? LOOK_WAIT_MILLISECONDS : 0,
    });
    executor.acknowledgedEnd = executor.storedEnd;
  }

  /** An answer to a look at the life before tells nothing of this one, but for a later owner. */
  #handleEarlierLife(executor: Executor, outcome: OrderOutcome): void {
    if (outcome === OrderOutcome.Fenced) this.#state.depose(executor.id);
  }

  #handleFailedLook(executor: Executor, outcome: OrderOutcome): void {
    const state = this.#state;
    if (outcome === OrderOutcome.Fenced) state.depose(executor.id);
    if (outcome === OrderOutcome.Gone) return this.endExecutor(executor, "another one answers");
    if (executor.failingSince === undefined) {
      executor.failingSince = state.now;
      state.log("executor-lost", { executor: executor.id, outcome, runs: executor.runs.size });
    }
  }

  #handleReport(executor: Executor, sentAt: number, report: LookReport): void {
    const state = this.#state;
    if (report.born !== 0 && executor.entry.born !== 0 && report.born !== executor.entry.born) {
      const entry = { ...executor.entry, born: report.born };
      this.endExecutor(executor, "it was born again");
      return state.log("executor-reborn", { executor: entry.id, born: report.born });
    }
    executor.recordClockReading({ executorTime: report.executorTime, receivedAt: state.now });
    if (!executor.hasAcceptedFence) {
      executor.hasAcceptedFence = true;
      executor.assumeLease(state.limits.earlierLeaseMilliseconds);
      state.needsDispatch = true;
    }
    for (const row of report.ended) {
      if (row.number <= executor.handledEnd) continue;
      executor.handledEnd = row.number;
      this.#runs.handleEnd(executor, row);
    }
    const listed = new Set<string>();
    const strays = executor.orphanRunCount;
    executor.orphanRunCount = 0;
    for (const row of report.running) {
      listed.add(row.task);
      this.#handleRow(executor, row);
    }
    if (executor.orphanRunCount < strays) state.needsDispatch = true;
    for (const assigned of [...executor.runs.values()]) {
      if (!listed.has(assigned.task.name)) this.#handleUnlisted(executor, assigned, sentAt);
    }
  }

  #handleRow(executor: Executor, row: RunningRow): void {
    const state = this.#state;
    const assigned = executor.runs.get(row.task);
    if (assigned === undefined || assigned.run.number !== row.run) {
      return this.#adopt(executor, row);
    }
    const { run, task } = assigned;
    const isInDoubt = run.stage === RunStage.InDoubt && run.stopSentAt === undefined;
    if (run.stage === RunStage.Ordered || isInDoubt) run.stage = RunStage.Running;
    if (run.confirmedAt === 0) state.confirmRun(assigned);
    if (row.percent !== run.percent) run.progressedAt = state.now;
    run.percent = row.percent;
    run.usage = row.usage;
    if (row.checkpoint !== "") task.checkpoint = row.checkpoint;
    const isOver = task.step.job.outcome !== undefined || task.state === TaskState.Done;
    if (isOver || run.stage === RunStage.InDoubt || run.stage === RunStage.Stopping) {
      this.#runs.stop(executor, assigned, isOver ? "job-over" : "start-unanswered");
    }
  }

  /** Takes over a run that an earlier owner started; it counts for room and ceilings until it ends. */
  #adopt(executor: Executor, row: RunningRow): void {
    const state = this.#state;
    const task = this.#findAdoptable(row.task);
    if (task === undefined || task.run !== undefined || task.state === TaskState.Done) {
      executor.orphanRunCount += 1;
      state.log("stray-run-stopped", { task: row.task, run: row.run, executor: executor.id });
      state.ports.stop({
        executor: executor.entry,
        task: row.task,
        run: row.run,
        fence: state.fence,
      });
      return;
    }
    const run: Run = {
      task: row.task,
      number: row.run,
      executorId: executor.id,
      stage: RunStage.Running,
      orderedAt: state.now,
      confirmedAt: 0,
      startDeadline: 0,
      percent: row.percent,
      progressedAt: state.now,
      pace: ADOPTED_PACE_PERCENT,
      isPaceKnown: false,
      pacedAt: 0,
      usage: row.usage,
    };
    if (row.checkpoint !== "") task.checkpoint = row.checkpoint;
    state.addRun(executor, { run, task });
    state.confirmRun({ run, task });
    state.log("run-adopted", { request: task.step.job.id, task: row.task, executor: executor.id });
    if (task.step.job.outcome !== undefined) {
      this.#runs.stop(executor, { run, task }, "the job is over");
    }
  }

  /** Gets the task of a run, also one of a job that is over. */
  #findAdoptable(name: string): JobTask | undefined {
    const parts = parseTaskName(name);
    const job = parts && this.#state.jobs.get(parts.jobId);
    if (parts === undefined || job === undefined) return undefined;
    if (job.outcome !== undefined && !job.occurrences.has(parts.occurrence)) {
      job.addOccurrence(parts.occurrence, TaskState.Waiting);
    }
    return this.#state.findListedTask(name);
  }

  /** Settles a run that the executor does not list: it never came, is late, or was lost. */
  #handleUnlisted(executor: Executor, assigned: AssignedRun, sentAt: number): void {
    const { run } = assigned;
    switch (run.stage) {
      case RunStage.Ordered:
        return;
      case RunStage.InDoubt:
        if (run.stopAnsweredAt !== undefined && run.stopAnsweredAt <= sentAt) {
          return this.#runs.handleLost(executor, assigned, "stopped before it came");
        }
        if (executor.hasPassed(run.startDeadline + DOUBT_MARGIN_MILLISECONDS)) {
          return this.#runs.handleLost(executor, assigned, "its start is void");
        }
        // A stop could come after the start and end a task at work, beyond what may be away.
        if (assigned.task.step.specification.mostAway > 0) return;
        return this.#runs.stop(executor, assigned, "start-unanswered");
      case RunStage.Running:
        if (run.confirmedAt > sentAt) return;
        return this.#runs.handleLost(executor, assigned, "not listed");
      case RunStage.Stopping:
        if (run.stopAnsweredAt === undefined) return this.#runs.stop(executor, assigned, "again");
        if (run.stopAnsweredAt > sentAt) return;
        return this.#runs.handleLost(executor, assigned, "stopped");
    }
  }

  #endLapsed(executor: Executor): void {
    const state = this.#state;
    if (executor.failingSince === undefined || state.now <= executor.getLeaseExpiresAt()) return;
    for (const assigned of [...executor.runs.values()]) {
      this.#runs.handleLost(executor, assigned, "its lease ran out");
    }
    if (executor.record === ExecutorRecord.Stored && executor.hasAcceptedFence) {
      this.#forget(executor);
    }
  }

  /** Tells later owners that nothing runs on an executor: they need not wait for it. */
  #forget(executor: Executor): void {
    executor.record = ExecutorRecord.None;
    this.#state.ports.write([createExecutorGoneEntry(executor.id)], () => {});
  }

  /** Stores where this owner may start something, so that a later one looks there. */
  #record(executor: Executor): void {
    const state = this.#state;
    executor.record = ExecutorRecord.Storing;
    state.ports.write([createExecutorEntry(executor.entry)], () => {
      if (executor.record === ExecutorRecord.Storing) executor.record = ExecutorRecord.Stored;
      state.needsDispatch = true;
    });
  }
}

/** Gets the name of one life of an executor. */
export function getLife(entry: ExecutorEntry): string {
  return `${entry.id}/${entry.born}`;
}

/** Gets the executor's id from the name of one of its lives. */
export function getLifeId(life: string): string {
  return life.slice(0, life.lastIndexOf("/"));
}

/** Gets whether a run's state is to be settled by the next report. */
function isUnsettled(run: Run): boolean {
  return run.stage === RunStage.InDoubt;
}
