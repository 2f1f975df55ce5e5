/** Starts ready tasks within the limits of capacity, customer ceilings and placement rules. */

import { type Executor, getReservedDemand } from "../fleet/executor.ts";
import { type JobStep, type JobTask, TaskState } from "../fleet/job.ts";
import { fitsCapacity, NO_RESOURCES, type Resources } from "../fleet/resources.ts";
import { fitsUnderCeiling } from "./customer_ceiling.ts";
import type { FleetState } from "./fleet_state.ts";
import { compareRanks, type RankStep, type StepRank } from "./step_ranking.ts";
import {
  chooseExecutor,
  getLargestCapacity,
  getLargestFreeAmounts,
  type PlacementRules,
  type RankExecutor,
} from "./placement.ts";
import type { RoomControl } from "./room_control.ts";
import { FreeRoomIndex } from "./free_room_index.ts";
import type { RunControl } from "./run_control.ts";

/** Options of a `DispatchControl`. */
export interface DispatchControlOptions {
  /** The fleet state. */
  state: FleetState;
  /** Starts the runs. */
  runs: RunControl;
  /** Ranks the ready steps. */
  rankStep: RankStep;
  /** Called before the steps of a pass are ranked. */
  preparePass?: (() => void) | undefined;
  /** Ranks the executors for a task. */
  rankExecutor: RankExecutor;
  /**
   * Gets the adviser's ticket for a step on an executor: undefined if there is no valid one, and
   * empty if the step needs none.
   */
  getTicket: (step: JobStep, executor: Executor) => string | undefined;
  /** Holds room for steps that don't fit; none if the feature is off. */
  room?: RoomControl | undefined;
}

/** The executors of a service that accept starts. */
interface ServicePool {
  name: string;
  pool: Executor[];
  /** The largest free amount of each resource on any of them. */
  free: Resources;
  /** The largest capacity for each resource of any of them, if room is held. */
  largest: Resources;
  /** The executors by free room, if room is held. */
  index: FreeRoomIndex | undefined;
}

/** A ready step that may start. */
interface Candidate {
  step: JobStep;
  service: ServicePool;
  rank: StepRank;
}

/** Decides which tasks start on which executors. */
export class DispatchControl {
  readonly #options: DispatchControlOptions;
  /** The number of tasks that were started. */
  #startCount = 0;

  private constructor(options: DispatchControlOptions) {
    this.#options = options;
  }

  static create(options: DispatchControlOptions): DispatchControl {
    return new DispatchControl(options);
  }

  /**
   * Starts all tasks that may start now. The services are ranked together, since they share the
   * window of unanswered starts.
   */
  run(): void {
    const { state, room } = this.#options;
    if (!state.needsDispatch || !state.mayStart) return;
    state.needsDispatch = false;
    this.#options.preparePass?.();
    const rules = { evacuatedZones: state.evacuatedZones, now: state.now };
    room?.beginPass(rules);
    this.#runPass(rules);
    room?.endPass();
  }

  #runPass(rules: PlacementRules): void {
    const { state, room } = this.#options;
    const candidates = this.#getCandidates();
    candidates.sort((first, second) => compareRanks(first.rank, second.rank));
    for (const { step, service } of candidates) {
      if (!state.startWindow.hasRoom(state.now)) return;
      if (room === undefined) {
        if (!mayFit(step, service.free)) continue;
        this.#startStep(step, service.pool, rules);
        if (state.ready.has(step)) service.free = getLargestFreeAmounts(service.pool);
        continue;
      }
      if (mayFit(step, service.free)) this.#startBesideHeldRoom(step, service, room, rules);
      room.settle(step, service.name, service.index!.getExecutors(), service.largest);
    }
  }

  /** Starts the tasks of a step for which the reservations of other steps leave room. */
  #startBesideHeldRoom(
    step: JobStep,
    service: ServicePool,
    room: RoomControl,
    rules: PlacementRules,
  ): void {
    const index = service.index!;
    const demand = getReservedDemand(step.tasks[0]!);
    const failure = index.findFailure(demand, room.getEnd(step), room.ignoresHeldRoom(step));
    if (failure !== undefined) {
      if (failure.isHeldBack) room.recordHeldBack(step);
      return;
    }
    const startCount = this.#startCount;
    this.#startStep(step, index.getExecutorsWith(demand), rules, index);
    if (this.#startCount > startCount) service.free = getLargestFreeAmounts(service.pool);
  }

  /** Gets the ready steps of all services that may fit on an executor, with their ranks. */
  #getCandidates(): Candidate[] {
    const { state, rankStep, room } = this.#options;
    const candidates: Candidate[] = [];
    for (const [name, steps] of this.#groupByService()) {
      const pool = [...state.getExecutorsOf(name)].filter((executor) =>
        executor.canStartTasks(state.now)
      );
      if (pool.length === 0) continue;
      const service = {
        name,
        pool,
        free: getLargestFreeAmounts(pool),
        largest: room === undefined ? NO_RESOURCES : getLargestCapacity(pool),
        index: room && FreeRoomIndex.create(pool),
      };
      const mayReserve = room?.mayReserveIn(name) ?? false;
      for (const step of steps) {
        if (mayFit(step, service.free) || room?.hasTurn(step, service.largest, mayReserve)) {
          candidates.push({ step, service, rank: rankStep(step) });
        }
      }
    }
    return candidates;
  }

  #groupByService(): Map<string, JobStep[]> {
    const { state } = this.#options;
    const groups = new Map<string, JobStep[]>();
    for (const step of state.ready) {
      const service = state.getStartService(step.job);
      if (service === undefined) continue;
      const group = groups.get(service);
      if (group === undefined) groups.set(service, [step]);
      else group.push(step);
    }
    return groups;
  }

  #startStep(
    step: JobStep,
    pool: Executor[],
    rules: PlacementRules,
    index?: FreeRoomIndex,
  ): void {
    const { state } = this.#options;
    const waiting = step.tasks.filter((task) => task.state === TaskState.Waiting);
    if (step.specification.isGang) return this.#startGang(step, waiting, pool, rules, index);
    for (const task of waiting) {
      if (!state.startWindow.hasRoom(state.now)) return;
      if (!fitsUnderCeiling(state, task, 1)) return;
      const executor = this.#choose(task, pool, rules);
      if (executor === undefined) return this.#recordFailure(step, index);
      this.#start(task, executor, state.createRunNumber());
      index?.update(executor);
    }
    if (!step.tasks.some((task) => task.state === TaskState.Unknown)) state.ready.delete(step);
  }

  /** Starts all tasks of a gang under one run number, or none. */
  #startGang(
    step: JobStep,
    waiting: JobTask[],
    pool: Executor[],
    rules: PlacementRules,
    index?: FreeRoomIndex,
  ): void {
    const { state } = this.#options;
    if (waiting.length !== step.tasks.length || waiting.length === 0) return;
    if (!fitsUnderCeiling(state, waiting[0]!, waiting.length)) return;
    const placements = this.#placeGang(waiting, pool, rules);
    if (placements === undefined) return;
    const runNumber = state.createRunNumber();
    for (const [task, executor] of placements) {
      this.#start(task, executor, runNumber);
      index?.update(executor);
    }
    state.ready.delete(step);
  }

  /** Finds an executor for every task of a gang, on one rack if that is wanted and possible. */
  #placeGang(
    tasks: JobTask[],
    pool: Executor[],
    rules: PlacementRules,
  ): [JobTask, Executor][] | undefined {
    const { specification } = tasks[0]!.step;
    if (specification.wantsSameRack) {
      // The last label of an executor is its rack.
      const racks = new Set(pool.map((executor) => executor.entry.labels.at(-1) ?? ""));
      for (const rack of racks) {
        const onRack = pool.filter((executor) => executor.entry.labels.includes(rack));
        const placements = this.#tryPlaceGang(tasks, onRack, rules);
        if (placements !== undefined) return placements;
      }
    }
    return this.#tryPlaceGang(tasks, pool, rules);
  }

  #tryPlaceGang(
    tasks: JobTask[],
    pool: Executor[],
    rules: PlacementRules,
  ): [JobTask, Executor][] | undefined {
    const placements: [JobTask, Executor][] = [];
    const removePlaceholders = () => {
      for (const [task, executor] of placements) {
        executor.removeRun(createPlaceholderRun(task, executor));
      }
    };
    for (const task of tasks) {
      const executor = this.#choose(task, pool, rules);
      if (executor === undefined) {
        removePlaceholders();
        return undefined;
      }
      executor.addRun(createPlaceholderRun(task, executor));
      placements.push([task, executor]);
    }
    removePlaceholders();
    return placements;
  }

  #choose(task: JobTask, pool: Executor[], rules: PlacementRules): Executor | undefined {
    const { rankExecutor, getTicket, room } = this.#options;
    const allowed = pool.filter((executor) =>
      getTicket(task.step, executor) !== undefined && (room?.mayUse(task.step, executor) ?? true)
    );
    return chooseExecutor({ task, pool: allowed, rules, rank: rankExecutor });
  }

  #start(task: JobTask, executor: Executor, runNumber: number): void {
    const ticket = this.#options.getTicket(task.step, executor);
    this.#options.runs.start({ task, executor, run: runNumber, ticket: ticket || undefined });
    this.#options.room?.recordStart(task, executor);
    this.#startCount += 1;
  }

  /** Records that no executor was found for a task, unless its step has constraints of its own. */
  #recordFailure(step: JobStep, index: FreeRoomIndex | undefined): void {
    const { state, room } = this.#options;
    const { label, mostPerExecutor } = step.specification;
    const needsTicket = state.getQueue(step.job.queue)?.advice !== undefined;
    if (index === undefined || room === undefined || needsTicket) return;
    if (label !== undefined || mostPerExecutor > 0) return;
    index.recordFailure({
      demand: getReservedDemand(step.tasks[0]!),
      endsAt: room.getEnd(step),
      isHeldBack: room.isHeldBack(),
    });
  }
}

/** Gets whether a task of a step fits into an amount of free resources. */
function mayFit(step: JobStep, free: Resources): boolean {
  return fitsCapacity(NO_RESOURCES, getReservedDemand(step.tasks[0]!), free);
}

/** Creates a placeholder run that reserves capacity for a task while its gang is being placed. */
function createPlaceholderRun(task: JobTask, executor: Executor) {
  const run = {
    task: task.name,
    number: 0,
    executorId: executor.id,
    stage: "ordered" as const,
    orderedAt: 0,
    confirmedAt: 0,
    isReported: false,
    isLeaseKnown: false,
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
