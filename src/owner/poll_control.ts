/** Polls executors: extends their leases, and reconciles the state of runs with their reports. */

import { type AssignedRun, type Executor, ExecutorRecordState } from "../fleet/executor.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { type JobTask, TaskState } from "../fleet/job.ts";
import { parseTaskName } from "../fleet/job_specification.ts";
import { type Run, RunStage } from "../fleet/run.ts";
import type { FleetState } from "./fleet_state.ts";
import {
  type ExecutorReport,
  OrderOutcome,
  type PollAnswer,
  type ReportedRun,
} from "./owner_ports.ts";
import { getLeaseWaitMilliseconds } from "../ownership/lease_bounds.ts";
import { createExecutorDeletionEntry, createExecutorEntry } from "./executor_records.ts";
import type { RunControl } from "./run_control.ts";

/**
 * How long an executor may hold its answer to a poll while no run ends, in milliseconds: a third of
 * the lease.
 */
const LONG_POLL_MILLISECONDS = 1_000;
/** The minimum interval between polls of an executor, in milliseconds, so that ends are batched. */
const POLL_INTERVAL_MILLISECONDS = 25;
/** The minimum interval between polls of an executor whose last poll failed, in milliseconds. */
const POLL_RETRY_INTERVAL_MILLISECONDS = 200;
/** The assumed pace of an adopted run, in percent: an earlier owner may have reduced it. */
const ADOPTED_PACE_PERCENT = 50;
/**
 * How long a silent executor that is still listed may take to report the ends of its runs, in
 * milliseconds: more than the list takes to drop an executor that has stopped.
 */
export const LATE_REPORT_MILLISECONDS = 6_000;
/** How long after its deadline an unanswered start is still considered possible, in milliseconds. */
const START_DEADLINE_MARGIN_MILLISECONDS = 50;

/** Decides when to poll executors, and handles their reports. */
export class PollControl {
  readonly #state: FleetState;
  readonly #runs: RunControl;

  private constructor(state: FleetState, runs: RunControl) {
    this.#state = state;
    this.#runs = runs;
  }

  /** Creates a `PollControl` that works on a fleet state. */
  static create(state: FleetState, runs: RunControl): PollControl {
    return new PollControl(state, runs);
  }

  /** Removes the runs whose leases have expired, and sends the polls that are due. */
  tick(): void {
    for (const executor of this.#state.executors.values()) {
      this.#handleExpiredLease(executor);
      if (this.#isPollDue(executor)) this.#poll(executor);
    }
  }

  /** Handles the answer to a poll, with the monotonic time at which the poll was sent. */
  handleAnswer(executorId: string, sentAt: number, answer: PollAnswer): void {
    const state = this.#state;
    const executor = state.executors.get(executorId);
    if (executor === undefined) return;
    if (sentAt < executor.knownSince) {
      return this.#handleEarlierIncarnation(executor, answer.outcome);
    }
    executor.isPolling = false;
    executor.polledAt = state.now;
    if (answer.outcome !== OrderOutcome.Done) {
      return this.#handleFailedPoll(executor, answer.outcome);
    }
    const { born } = answer.report;
    if (born !== 0 && born !== executor.entry.born) return this.#handleOtherBorn(executor, born);
    executor.lastDiscardedEnd = Math.max(executor.lastDiscardedEnd, answer.acknowledged);
    if (executor.record === ExecutorRecordState.None) this.#writeRecord(executor);
    if (executor.pollsFailingSince !== undefined) {
      state.log("executor-regained", {
        executor: executor.id,
        silent: Math.round(state.now - executor.pollsFailingSince),
      });
      executor.pollsFailingSince = undefined;
    }
    this.#handleReport(executor, sentAt, answer.report);
  }

  /**
   * Handles that an executor has ended: its runs are lost, and its incarnation is ignored even
   * while it is listed.
   */
  handleExecutorEnded(executor: Executor, reason: string): void {
    for (const assigned of [...executor.runs.values()]) {
      this.#runs.handleUnreportedEnd(executor, assigned, reason);
    }
    this.#state.endedIncarnations.set(getIncarnationKey(executor.entry), this.#state.now);
    this.removeExecutor(executor, reason);
  }

  /**
   * Replaces an executor by the next incarnation under its id, and gets the latter.
   *
   * The runs that the ended incarnation has reported are lost. The next one may have started the
   * others, since orders name only the id: they stay assigned until its reports show what became of
   * them.
   */
  handleRestart(executor: Executor, entry: ExecutorEntry): Executor {
    const state = this.#state;
    const next = executor.createNextIncarnation(entry);
    next.knownSince = state.now;
    const assignedRuns = [...executor.runs.values()];
    const reported = assignedRuns.filter(({ run }) => run.isReported);
    state.log("executor-restarted", {
      executor: entry.id,
      born: entry.born,
      previousBorn: executor.entry.born,
      lost: reported.length,
      uncertain: assignedRuns.length - reported.length,
      acknowledged: executor.lastStoredEnd,
      discarded: executor.lastDiscardedEnd,
    });
    state.endedIncarnations.set(getIncarnationKey(executor.entry), state.now);
    for (const assigned of reported) {
      this.#runs.handleUnreportedEnd(executor, assigned, "executor restarted");
    }
    for (const assigned of [...executor.runs.values()]) {
      this.#runs.reassign(executor, next, assigned);
    }
    state.executors.set(entry.id, next);
    if (next.record !== ExecutorRecordState.None) this.#writeRecord(next);
    return next;
  }

  /**
   * Handles that the provider reports an order for an executor's host as done. The order was sent for
   * an empty host, and may have been done before: runs that are there now started later, and only
   * polls show whether they go on.
   */
  handleHostOrderDone(executor: Executor, reason: string): void {
    if (executor.runs.size === 0) return this.handleExecutorEnded(executor, reason);
    this.#state.log("executor-end-uncertain", {
      executor: executor.id,
      reason,
      runs: executor.runs.size,
    });
  }

  /**
   * Gets the time by which no lease of an executor can remain, whichever of its incarnations holds
   * it, on the monotonic clock.
   */
  getLongestLeaseExpiryTime(executor: Executor): number {
    let expiry = this.#getLeaseExpiryTime(executor);
    for (const { run } of executor.runs.values()) {
      expiry = Math.max(expiry, this.#getRunLeaseExpiryTime(executor, run));
    }
    return expiry;
  }

  /** Removes an executor on which nothing runs; it counts as a new one if it is listed again. */
  removeExecutor(executor: Executor, reason: string): void {
    this.#state.executors.delete(executor.id);
    this.#state.ports.write([createExecutorDeletionEntry(executor.id)], () => {});
    this.#state.log("executor-gone", { executor: executor.id, reason });
  }

  #isPollDue(executor: Executor): boolean {
    if (executor.isPolling) return false;
    const interval = executor.pollsFailingSince === undefined
      ? POLL_INTERVAL_MILLISECONDS
      : POLL_RETRY_INTERVAL_MILLISECONDS;
    if (this.#state.now - executor.polledAt < interval) return false;
    return !executor.hasReportedAll || executor.orphanRunCount > 0 ||
      executor.pollsFailingSince !== undefined ||
      executor.runs.size > 0 ||
      executor.lastStoredEnd > executor.lastDiscardedEnd;
  }

  #poll(executor: Executor): void {
    const state = this.#state;
    const mayWait = executor.hasAcceptedFence && executor.pollsFailingSince === undefined &&
      executor.runs.size > 0 &&
      ![...executor.runs.values()].some(({ run }) => isStartUnanswered(run));
    // An unanswered poll may still arrive later. If it extended the lease, it would take longer
    // until all runs of the executor are known to have ended.
    const mayExtend = state.mayExtend && executor.pollsFailingSince === undefined;
    executor.isPolling = true;
    state.ports.poll({
      executor: executor.entry,
      fence: state.fence,
      acknowledged: executor.lastStoredEnd > executor.lastDiscardedEnd ? executor.lastStoredEnd : 0,
      deadline: mayExtend ? executor.grantLease(state.now, state.leaseMilliseconds) : 0,
      waitMilliseconds: mayWait ? LONG_POLL_MILLISECONDS : 0,
    });
  }

  /** Handles an answer of an earlier incarnation, of which only a higher fence still matters. */
  #handleEarlierIncarnation(executor: Executor, outcome: OrderOutcome): void {
    if (outcome === OrderOutcome.Fenced) this.#state.setFenced(executor.id);
  }

  /** Handles a report of another incarnation than the one that was polled, under the same id. */
  #handleOtherBorn(executor: Executor, born: number): void {
    const { entry } = executor;
    if (born < entry.born) {
      return this.#state.log("executor-report-ignored", {
        executor: entry.id,
        born,
        expected: entry.born,
      });
    }
    // The next incarnation may be of another kind, so nothing starts there until it is listed.
    this.handleRestart(executor, { ...entry, born }).isListed = false;
  }

  #handleFailedPoll(executor: Executor, outcome: OrderOutcome): void {
    const state = this.#state;
    if (outcome === OrderOutcome.Fenced) state.setFenced(executor.id);
    if (outcome === OrderOutcome.WrongIncarnation) {
      return this.handleExecutorEnded(executor, "address taken over by another executor");
    }
    if (executor.pollsFailingSince === undefined) {
      executor.pollsFailingSince = state.now;
      state.log("executor-lost", {
        executor: executor.id,
        born: executor.entry.born,
        outcome,
        runs: executor.runs.size,
        acknowledged: executor.lastStoredEnd,
        discarded: executor.lastDiscardedEnd,
      });
    }
  }

  #handleReport(executor: Executor, sentAt: number, report: ExecutorReport): void {
    const state = this.#state;
    executor.recordClockReading({ executorTime: report.executorTime, receivedAt: state.now });
    if (!executor.hasAcceptedFence) {
      executor.hasAcceptedFence = true;
      const { reckonedMilliseconds, longestMilliseconds } = state.limits.earlierLeases;
      executor.assumeEarlierLease(reckonedMilliseconds);
      executor.assumeStrayLease(longestMilliseconds);
      state.needsDispatch = true;
    }
    if (executor.isRestarted) executor.assumeStrayLease(state.limits.longestLeaseMilliseconds);
    for (const ended of report.ended) {
      if (ended.number <= executor.lastHandledEnd) continue;
      executor.lastHandledEnd = ended.number;
      this.#runs.handleEnd(executor, ended);
    }
    const reportedTasks = new Set<string>();
    const previousOrphanCount = executor.orphanRunCount;
    executor.orphanRunCount = 0;
    for (const reported of report.running) {
      reportedTasks.add(reported.task);
      this.#handleReportedRun(executor, reported);
    }
    if (executor.orphanRunCount < previousOrphanCount) state.needsDispatch = true;
    // A run that is in neither list may have ended beyond the end of a list that was cut.
    if (!report.hasAllEnds) return;
    executor.hasReportedAll = true;
    for (const assigned of [...executor.runs.values()]) {
      if (!reportedTasks.has(assigned.task.name)) {
        this.#handleUnreported(executor, assigned, sentAt);
      }
    }
  }

  #handleReportedRun(executor: Executor, reported: ReportedRun): void {
    const state = this.#state;
    const assigned = executor.runs.get(reported.task);
    if (assigned === undefined || assigned.run.number !== reported.run) {
      return this.#adopt(executor, reported);
    }
    const { run, task } = assigned;
    const isUnansweredAndNotStopped = run.stage === RunStage.StartUnanswered &&
      run.stopSentAt === undefined;
    if (run.stage === RunStage.Ordered || isUnansweredAndNotStopped) run.stage = RunStage.Running;
    run.isReported = true;
    run.isLeaseKnown = true;
    if (run.confirmedAt === 0) state.confirmRun(assigned);
    if (reported.percent !== run.percent) run.progressedAt = state.now;
    run.percent = reported.percent;
    run.usage = reported.usage;
    if (reported.checkpoint !== "") task.checkpoint = reported.checkpoint;
    const isOver = task.step.job.outcome !== undefined || task.state === TaskState.Done;
    if (isOver || run.stage === RunStage.StartUnanswered || run.stage === RunStage.Stopping) {
      this.#runs.stop(executor, assigned, isOver ? "job or task ended" : "start unanswered");
    }
  }

  /**
   * Adopts a run that an earlier owner started. It counts against capacity and ceilings until it ends.
   * A run that belongs to no current task is an orphan and is stopped.
   */
  #adopt(executor: Executor, reported: ReportedRun): void {
    const state = this.#state;
    const task = this.#findOrAddAdoptableTask(reported.task);
    if (task === undefined || task.run !== undefined || task.state === TaskState.Done) {
      executor.orphanRunCount += 1;
      state.log("orphan-run-stopped", {
        task: reported.task,
        run: reported.run,
        executor: executor.id,
      });
      state.ports.stop({
        executor: executor.entry,
        task: reported.task,
        run: reported.run,
        fence: state.fence,
      });
      return;
    }
    const run: Run = {
      task: reported.task,
      number: reported.run,
      executorId: executor.id,
      stage: RunStage.Running,
      orderedAt: state.now,
      confirmedAt: 0,
      isReported: true,
      isLeaseKnown: true,
      startDeadline: 0,
      percent: reported.percent,
      progressedAt: state.now,
      pace: ADOPTED_PACE_PERCENT,
      isPaceKnown: false,
      pacedAt: 0,
      usage: reported.usage,
    };
    if (reported.checkpoint !== "") task.checkpoint = reported.checkpoint;
    state.addRun(executor, { run, task });
    state.confirmRun({ run, task });
    state.log("run-adopted", {
      request: task.step.job.id,
      task: reported.task,
      executor: executor.id,
    });
    if (task.step.job.outcome !== undefined) {
      this.#runs.stop(executor, { run, task }, "job ended");
    }
  }

  /**
   * Finds the task of a reported run, including that of a job that has ended, and adds its
   * occurrence if this owner has not yet.
   */
  #findOrAddAdoptableTask(name: string): JobTask | undefined {
    const parts = parseTaskName(name);
    const job = parts && this.#state.jobs.get(parts.jobId);
    if (parts === undefined || job === undefined) return undefined;
    if (job.outcome !== undefined && !job.occurrences.has(parts.occurrence)) {
      this.#state.addOccurrence(job, parts.occurrence, TaskState.Waiting);
    }
    return this.#state.findOrAddReportedTask(name);
  }

  /** Handles a run that is not reported: its start was lost or is late, or it ended unreported. */
  #handleUnreported(executor: Executor, assigned: AssignedRun, sentAt: number): void {
    const { run } = assigned;
    switch (run.stage) {
      case RunStage.Ordered:
        return;
      case RunStage.StartUnanswered:
        if (run.stopAnsweredAt !== undefined && run.stopAnsweredAt <= sentAt) {
          return this.#runs.handleUnreportedEnd(executor, assigned, "stopped before start arrived");
        }
        if (executor.hasPassed(run.startDeadline + START_DEADLINE_MARGIN_MILLISECONDS)) {
          return this.#runs.handleUnreportedEnd(executor, assigned, "start deadline passed");
        }
        if (mayStartLater(assigned)) return;
        return this.#runs.stop(executor, assigned, "start unanswered");
      case RunStage.Running:
        if (run.confirmedAt > sentAt) return;
        return this.#runs.handleUnreportedEnd(executor, assigned, "not reported");
      case RunStage.Stopping:
        if (run.stopAnsweredAt === undefined) {
          return this.#runs.stop(executor, assigned, "stop unanswered");
        }
        if (run.stopAnsweredAt > sentAt) return;
        return this.#runs.handleUnreportedEnd(executor, assigned, "stopped");
    }
  }

  /**
   * Removes the runs of an executor whose lease has expired, and its journal record. Nothing runs
   * there any more, but a task may have been done before, and its end may only be reported late.
   */
  #handleExpiredLease(executor: Executor): void {
    const state = this.#state;
    const { pollsFailingSince } = executor;
    if (pollsFailingSince === undefined || state.now <= this.#getLeaseExpiryTime(executor)) return;
    const mayReportLate = executor.isListed &&
      state.now - pollsFailingSince < LATE_REPORT_MILLISECONDS;
    for (const assigned of [...executor.runs.values()]) {
      if (state.now <= this.#getRunLeaseExpiryTime(executor, assigned.run)) continue;
      if (mayReportLate && !assigned.task.step.specification.isLasting) continue;
      this.#runs.handleUnreportedEnd(executor, assigned, "lease expired");
    }
    const isResolved = executor.runs.size === 0;
    if (isResolved && executor.record === ExecutorRecordState.Stored && executor.hasAcceptedFence) {
      this.#deleteRecord(executor);
    }
  }

  /** Gets the time by which no lease of an executor can remain, on the monotonic clock. */
  #getLeaseExpiryTime(executor: Executor): number {
    const expiry = executor.getLeaseExpiryTime();
    if (!executor.isRestarted || expiry !== -Infinity) return expiry;
    // It has not reported yet, but may have accepted orders for an earlier incarnation.
    return executor.knownSince +
      getLeaseWaitMilliseconds(this.#state.limits.longestLeaseMilliseconds);
  }

  /**
   * Gets the time by which the lease of a run has certainly expired, on the monotonic clock. A start
   * that no answer ties to the known incarnation may have been accepted by the next one, to which its
   * deadline gives a lease of any length.
   */
  #getRunLeaseExpiryTime(executor: Executor, run: Run): number {
    const expiry = this.#getLeaseExpiryTime(executor);
    if (run.isLeaseKnown) return expiry;
    const { longestLeaseMilliseconds } = this.#state.limits;
    const settledAt = run.startSettledAt ?? this.#state.now;
    if (executor.isHostLostSince(settledAt)) return expiry;
    return Math.max(expiry, settledAt + getLeaseWaitMilliseconds(longestLeaseMilliseconds));
  }

  /** Deletes an executor's journal record, so that later owners need not wait for its answer. */
  #deleteRecord(executor: Executor): void {
    executor.record = ExecutorRecordState.None;
    this.#state.ports.write([createExecutorDeletionEntry(executor.id)], () => {});
  }

  /** Records an executor in the journal before tasks start there, so that a later owner polls it. */
  #writeRecord(executor: Executor): void {
    const state = this.#state;
    executor.record = ExecutorRecordState.Storing;
    state.ports.write([createExecutorEntry(executor.entry)], () => {
      if (executor.record === ExecutorRecordState.Storing) {
        executor.record = ExecutorRecordState.Stored;
      }
      state.needsDispatch = true;
    });
  }
}

/** Gets the key of an executor's incarnation. */
export function getIncarnationKey(entry: ExecutorEntry): string {
  return `${entry.id}/${entry.born}`;
}

/** Gets the executor's id from the key of one of its incarnations. */
export function getExecutorId(incarnation: string): string {
  return incarnation.slice(0, incarnation.lastIndexOf("/"));
}

/** Gets whether only the next report shows whether a run has started. */
function isStartUnanswered(run: Run): boolean {
  return run.stage === RunStage.StartUnanswered;
}

/**
 * Gets whether a start that may arrive yet is waited for: a stop could arrive after it, and so end a
 * running task beyond the disruption budget. A start without a deadline is not waited for.
 */
function mayStartLater({ run, task }: AssignedRun): boolean {
  return task.step.specification.mostAway > 0 && run.startDeadline !== Infinity;
}
