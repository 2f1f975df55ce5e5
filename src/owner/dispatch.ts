/** Starts what is ready, as far as room, ceilings and labels allow. */

import type { Executor } from "../fleet/executor.ts";
import { type JobStep, type JobTask, TaskState } from "../fleet/job.ts";
import { addResources, isWithin, NO_RESOURCES, type Resources } from "../fleet/resources.ts";
import type { FleetState } from "./fleet_state.ts";
import { compareRanks, type RankStep } from "./job_order.ts";
import { chooseExecutor, type PlacementRules, type RankExecutor } from "./placement.ts";
import type { RunControl } from "./run_control.ts";

/** Options of a `Dispatch`. */
export interface DispatchOptions {
  /** The state. */
  state: FleetState;
  /** The decisions about runs. */
  runs: RunControl;
  /** In which order steps start. */
  rankStep: RankStep;
  /** Which executor a task prefers. */
  rankExecutor: RankExecutor;
  /** Gets the ticket for a step on an executor, or undefined where there is none yet. */
  getTicket: (step: JobStep, executor: Executor) => string | undefined;
}

/** The decisions on what starts where. */
export class Dispatch {
  readonly #options: DispatchOptions;

  private constructor(options: DispatchOptions) {
    this.#options = options;
  }

  /** Creates the decisions on a state. */
  static create(options: DispatchOptions): Dispatch {
    return new Dispatch(options);
  }

  /** Starts everything that may start now. */
  run(): void {
    const { state, rankStep } = this.#options;
    if (!state.needsDispatch || !state.mayStart) return;
    state.needsDispatch = false;
    const rules = { evacuatedZones: state.evacuatedZones, now: state.now };
    for (const [service, steps] of this.#groupByService()) {
      const pool = [...state.getPool(service)].filter((executor) =>
        executor.canStartTasks(state.now)
      );
      if (pool.length === 0) continue;
      const ranked = steps.map((step) => ({ step, rank: rankStep(step) }));
      ranked.sort((first, second) => compareRanks(first.rank, second.rank));
      for (const { step } of ranked) this.#startStep(step, pool, rules);
    }
  }

  #groupByService(): Map<string, JobStep[]> {
    const { state } = this.#options;
    const groups = new Map<string, JobStep[]>();
    for (const step of state.ready) {
      const service = state.getService(step.job);
      if (service === undefined) continue;
      const group = groups.get(service);
      if (group === undefined) groups.set(service, [step]);
      else group.push(step);
    }
    return groups;
  }

  #startStep(step: JobStep, pool: Executor[], rules: PlacementRules): void {
    const { state } = this.#options;
    const waiting = step.tasks.filter((task) => task.state === TaskState.Waiting);
    if (step.specification.isGang) return this.#startGang(step, waiting, pool, rules);
    for (const task of waiting) {
      if (!this.#isBelowCeiling(task, 1)) return;
      const executor = this.#choose(task, pool, rules);
      if (executor === undefined) return;
      this.#start(task, executor, state.createRunNumber());
    }
    if (!step.tasks.some((task) => task.state === TaskState.Unknown)) state.ready.delete(step);
  }

  /** Starts all members of a gang under one run number, or none. */
  #startGang(step: JobStep, waiting: JobTask[], pool: Executor[], rules: PlacementRules): void {
    const { state } = this.#options;
    if (waiting.length !== step.tasks.length || waiting.length === 0) return;
    if (!this.#isBelowCeiling(waiting[0]!, waiting.length)) return;
    const places = this.#placeGang(waiting, pool, rules);
    if (places === undefined) return;
    const run = state.createRunNumber();
    for (const [task, executor] of places) this.#start(task, executor, run);
    state.ready.delete(step);
  }

  /** Finds room for every member, on one rack if that is wanted and can be had. */
  #placeGang(
    tasks: JobTask[],
    pool: Executor[],
    rules: PlacementRules,
  ): [JobTask, Executor][] | undefined {
    const { specification } = tasks[0]!.step;
    if (specification.wantsSameRack) {
      const racks = new Set(pool.map((executor) => executor.entry.labels.at(-1) ?? ""));
      for (const rack of racks) {
        const onRack = pool.filter((executor) => executor.entry.labels.includes(rack));
        const places = this.#tryPlaceGang(tasks, onRack, rules);
        if (places !== undefined) return places;
      }
    }
    return this.#tryPlaceGang(tasks, pool, rules);
  }

  #tryPlaceGang(
    tasks: JobTask[],
    pool: Executor[],
    rules: PlacementRules,
  ): [JobTask, Executor][] | undefined {
    const places: [JobTask, Executor][] = [];
    const undo = () => {
      for (const [task, executor] of places) executor.removeRun(createReservation(task, executor));
    };
    for (const task of tasks) {
      const executor = this.#choose(task, pool, rules);
      if (executor === undefined) {
        undo();
        return undefined;
      }
      executor.addRun(createReservation(task, executor));
      places.push([task, executor]);
    }
    undo();
    return places;
  }

  #choose(task: JobTask, pool: Executor[], rules: PlacementRules): Executor | undefined {
    const { rankExecutor, getTicket } = this.#options;
    const allowed = pool.filter((executor) => getTicket(task.step, executor) !== undefined);
    return chooseExecutor({ task, pool: allowed, rules, rank: rankExecutor });
  }

  #start(task: JobTask, executor: Executor, run: number): void {
    const ticket = this.#options.getTicket(task.step, executor);
    this.#options.runs.start({ task, executor, run, ticket: ticket || undefined });
  }

  #isBelowCeiling(task: JobTask, times: number): boolean {
    const { state } = this.#options;
    const ceiling = state.configuration.customers.get(task.step.job.customer)?.ceiling;
    if (ceiling === undefined) return true;
    const wanted: Resources = { ...NO_RESOURCES };
    addResources(wanted, task.step.specification.demand, times);
    const bound = {
      cpu: ceiling.cpu || Infinity,
      memory: ceiling.memory || Infinity,
      accelerators: ceiling.accelerators || Infinity,
    };
    const doubtful = state.doubtfulUsage.get(task.step.job.customer);
    if (doubtful !== undefined) addResources(wanted, doubtful);
    return isWithin(state.getUsage(task.step.job.customer), wanted, bound);
  }
}

/** Creates a placeholder run that holds the room of a task while its gang is being placed. */
function createReservation(task: JobTask, executor: Executor) {
  const run = {
    task: task.name,
    number: 0,
    executorId: executor.id,
    stage: "ordered" as const,
    orderedAt: 0,
    confirmedAt: 0,
    startDeadline: 0,
    percent: 0,
    progressedAt: 0,
    pace: 100,
    isPaceKnown: true,
    pacedAt: 0,
    usage: 0,
  };
  return { run, task };
}
