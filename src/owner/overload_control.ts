/** Orders the ready steps by what their jobs can still meet, and by the customers' shares. */

import type { JobStep } from "../fleet/job.ts";
import type { FleetState } from "./fleet_state.ts";
import { PoolShares } from "./pool_shares.ts";
import { compareRanks, getPriority, getTurn, type StepRank } from "./step_ranking.ts";
import { getStepUsefulness, Usefulness } from "./step_usefulness.ts";

/** The waiting time from which a step belongs to a backlog, in milliseconds. */
const BACKLOG_MILLISECONDS = 1_000;
/** The interval at which the figures are updated and a backlog is logged, in milliseconds. */
const FIGURES_INTERVAL_MILLISECONDS = 1_000;
/** The maximum number of customers in a log line. */
const LOGGED_CUSTOMERS = 3;

/** The elements of a rank, in the order in which they are compared. */
const RankElement = {
  /** 0 for long-running tasks, which start before all others. */
  IsNotLasting: 0,
  Usefulness: 1,
  /** The use of the pool as a multiple of the customer's share if it exceeds that, and 0 if not. */
  Level: 2,
  Priority: 3,
  /** 0 for jobs that have started, whose work would be lost if they came too late. */
  HasNotStarted: 4,
  /** 1 for occurrences beyond the first one of their job that have missed their objective. */
  IsFurther: 5,
  Urgency: 6,
} as const;

/** The waiting steps of a service and the shares of its pool. */
interface ServiceBacklog {
  service: string;
  steps: JobStep[];
  /** The shares, once the steps are ranked. */
  pool?: PoolShares;
}

/** The figures for the metrics and the log. */
interface BacklogFigures {
  /** The number of waiting steps by usefulness. */
  steps: Record<Usefulness, number>;
  /** The number of waiting jobs that miss their objective. */
  lateJobs: number;
  /** The number of waiting steps that would exceed their customer's share. */
  borrowingSteps: number;
  /** How long the oldest step has been waiting, in milliseconds. */
  oldestMilliseconds: number;
}

/**
 * Ranks the steps of a dispatch pass. Steps that can still meet their objective start first, those
 * whose result has no use any more last. Among equally useful ones, a customer starts within its share
 * of the pool before another one beyond its own. A share is measured by what runs now, so that room
 * which was borrowed returns to its customer as tasks end.
 */
export class OverloadControl {
  readonly #state: FleetState;
  readonly #ranks = new Map<JobStep, number[]>();
  /** The backlogs by service, once a step of this pass needs its rank. */
  #backlogs: Map<string, ServiceBacklog> | undefined;
  #figures = createFigures();
  #figuresAt = -Infinity;

  private constructor(state: FleetState) {
    this.#state = state;
  }

  /** Creates a control that has ranked no steps. */
  static create(state: FleetState): OverloadControl {
    return new OverloadControl(state);
  }

  /** Starts a pass. The steps of a service are ranked when the first of them may start. */
  preparePass(): void {
    this.#ranks.clear();
    this.#backlogs = undefined;
    if (this.#state.now - this.#figuresAt < FIGURES_INTERVAL_MILLISECONDS) return;
    this.#figuresAt = this.#state.now;
    this.#updateFigures();
  }

  /** Gets the rank of a step that is ready. */
  getRank(step: JobStep): StepRank {
    const rank = this.#ranks.get(step);
    if (rank !== undefined) return rank;
    const backlog = this.#getBacklogs().get(this.#state.getStartService(step.job) ?? "");
    if (backlog !== undefined && backlog.pool === undefined) this.#rankService(backlog);
    return this.#ranks.get(step) ?? this.#createRank(step);
  }

  /** Gets the figures for the metrics, which are updated once per second while steps may start. */
  getSummary(): Readonly<Record<string, number>> {
    const { steps, lateJobs, borrowingSteps, oldestMilliseconds } = this.#figures;
    return {
      stepsInTime: steps[Usefulness.InTime],
      stepsDoubtful: steps[Usefulness.Doubtful],
      stepsLate: steps[Usefulness.Late],
      stepsExpired: steps[Usefulness.Expired],
      stepsBorrowing: borrowingSteps,
      jobsPastObjective: lateJobs,
      oldestStepMilliseconds: Math.round(oldestMilliseconds),
    };
  }

  #getBacklogs(): ReadonlyMap<string, ServiceBacklog> {
    if (this.#backlogs !== undefined) return this.#backlogs;
    const backlogs = this.#backlogs = new Map<string, ServiceBacklog>();
    for (const step of this.#state.ready) {
      const service = this.#state.getStartService(step.job);
      if (service === undefined) continue;
      const backlog = backlogs.get(service);
      if (backlog === undefined) backlogs.set(service, { service, steps: [step] });
      else backlog.steps.push(step);
    }
    return backlogs;
  }

  #rankService(backlog: ServiceBacklog): PoolShares {
    const { configuration, now } = this.#state;
    const pool = backlog.pool = PoolShares.create((customer) =>
      configuration.customers.get(customer)?.weight ?? 0
    );
    for (const step of backlog.steps) {
      this.#ranks.set(step, this.#createRank(step));
      if (!step.specification.isLasting) pool.addWaiting(step.job.customer, step);
    }
    if (!pool.hasShares()) return pool;
    for (const executor of this.#state.getExecutorsOf(backlog.service)) {
      if (executor.canStartTasks(now)) pool.addCapacity(executor.entry.capacity);
      for (const { task: { step } } of executor.runs.values()) {
        const { demand, isLasting } = step.specification;
        if (!isLasting) pool.addUse(step.job.customer, demand);
      }
    }
    pool.forEachBorrowing(
      (first, second) => compareRanks(this.#ranks.get(first)!, this.#ranks.get(second)!),
      (step, level) => void (this.#ranks.get(step)![RankElement.Level] = level),
    );
    return pool;
  }

  /** Creates the rank of a step that is within its customer's share. */
  #createRank(step: JobStep): number[] {
    const state = this.#state;
    const priority = getPriority(state, step);
    const { job, specification } = step;
    if (specification.isLasting) return [0, 0, 0, priority, 0, 0, job.acceptedAt];
    const { usefulness, deadline, remaining, hasStarted } = getStepUsefulness(state, step);
    const [isFurther, turn] = usefulness >= Usefulness.Late
      ? getTurn(step, deadline)
      : [0, deadline];
    const urgency = getUrgency(usefulness, turn, remaining);
    return [1, usefulness, 0, priority, Number(!hasStarted), isFurther, urgency];
  }

  /** Updates the figures, and logs them if a step has been waiting for long. */
  #updateFigures(): void {
    const figures = this.#figures = createFigures();
    const lateJobs = new Set<string>();
    for (const backlog of this.#getBacklogs().values()) {
      this.#rankService(backlog);
      for (const step of backlog.steps) {
        const rank = this.#ranks.get(step)!;
        if (rank[RankElement.IsNotLasting] === 0) continue;
        const usefulness = rank[RankElement.Usefulness] as Usefulness;
        figures.steps[usefulness] += 1;
        if (usefulness >= Usefulness.Late) lateJobs.add(step.job.id);
        if (rank[RankElement.Level]! > 0) figures.borrowingSteps += 1;
        const waited = this.#state.now - step.readyAt;
        figures.oldestMilliseconds = Math.max(figures.oldestMilliseconds, waited);
      }
    }
    figures.lateJobs = lateJobs.size;
    if (figures.oldestMilliseconds >= BACKLOG_MILLISECONDS) this.#logBacklog();
  }

  #logBacklog(): void {
    const uses = [...this.#getBacklogs().values()].flatMap(({ service, pool }) =>
      pool!.getUses().map((use) => ({ service, ...use }))
    );
    uses.sort((first, second) => second.used / second.share - first.used / first.share);
    this.#state.log("backlog-ordered", {
      ...this.getSummary(),
      customers: uses.length,
      mostUsing: uses.slice(0, LOGGED_CUSTOMERS).map(({ customer, service, ...use }) =>
        `${customer}@${service} uses ${use.used.toFixed(2)} of share ${use.share.toFixed(2)}, ` +
        `${use.waiting} steps wait`
      ).join("; "),
    });
  }
}

function createFigures(): BacklogFigures {
  return {
    steps: { 0: 0, 1: 0, 2: 0, 3: 0 },
    lateJobs: 0,
    borrowingSteps: 0,
    oldestMilliseconds: 0,
  };
}

/**
 * Gets the order of steps of equal usefulness: by deadline while it can be met, the surest first if
 * that is in doubt, and by the remaining work, which ends most jobs, once it is missed.
 */
function getUrgency(usefulness: Usefulness, deadline: number, remaining: number): number {
  if (usefulness === Usefulness.Doubtful) return remaining - deadline;
  return usefulness === Usefulness.Late ? remaining : deadline;
}
