/** A dispatch without a network: executors that accept starts, and steps that are ready. */

import { Configuration } from "../fleet/configuration.ts";
import { Executor, ExecutorRecordState } from "../fleet/executor.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { Job, type JobStep, TaskState } from "../fleet/job.ts";
import type { StepSpecification } from "../fleet/job_specification.ts";
import { DispatchControl } from "../owner/dispatch_control.ts";
import { FleetState } from "../owner/fleet_state.ts";
import type { StartOrder } from "../owner/owner_ports.ts";
import { rankBestFit, rankLeastLoaded } from "../owner/placement.ts";
import { RoomControl } from "../owner/room_control.ts";
import { RunControl } from "../owner/run_control.ts";
import { createReservationCheck, createUrgencyRanking } from "../owner/step_ranking.ts";
import { createListedExecutor, createQueue, JOB_LIMITS } from "./fleet_fixtures.ts";
import { createOwnerPorts } from "./owner_ports_fixture.ts";
import { createStepSpecification } from "./step_fixtures.ts";

/** Options of `createDispatchFixture`. */
export interface DispatchFixtureOptions {
  /** The executors. */
  executors: readonly Partial<ExecutorEntry>[];
  /** Whether room is held for steps that don't fit. */
  reservesRoom: boolean;
  /** The ceiling on the CPU of the jobs' customer, in thousandths of a core; none by default. */
  ceilingCpu?: number;
  /** Gets the adviser's ticket; by default no step needs one. */
  getTicket?: (step: JobStep, executor: Executor) => string | undefined;
}

/** A dispatch with the orders that it has sent. */
export interface DispatchFixture {
  state: FleetState;
  /** The start orders, with the time of each, in milliseconds. */
  starts: { order: StartOrder; at: number }[];
  /** The events that were logged. */
  events: { event: string; fields: Record<string, unknown> }[];
  /** Gets the figures on reservations. */
  getSummary: () => Readonly<Record<string, number>>;
  /** Adds a job of one step that is ready to start. */
  addStep: (id: string, specification: Partial<StepSpecification>) => JobStep;
  /** Ends the run of a task. */
  endRun: (task: string) => void;
  /** Runs a pass at a time in milliseconds; all earlier start orders are answered. */
  run: (now: number) => void;
}

/** Creates a dispatch of the queue `tugs`. */
export function createDispatchFixture(options: DispatchFixtureOptions): DispatchFixture {
  const starts: DispatchFixture["starts"] = [];
  const events: DispatchFixture["events"] = [];
  const ports = createOwnerPorts({ start: (order) => starts.push({ order, at: state.now }) });
  const state: FleetState = FleetState.create({
    fence: 1,
    limits: {
      retentionMilliseconds: 1,
      stopMilliseconds: 900,
      longestLeaseMilliseconds: 10_000,
      jobLimits: JOB_LIMITS,
      earlierLeases: { reckonedMilliseconds: 0, longestMilliseconds: 0 },
      offRackFactor: 1,
    },
    ports,
    log: (event, fields) => events.push({ event, fields: { ...fields } }),
    startedAt: 0,
  });
  const queue = createQueue({ objectiveMilliseconds: 60_000 });
  state.setConfiguration(Configuration.create({
    version: 1,
    queues: [queue],
    services: [],
    customers: [{
      name: "harbour",
      keys: [],
      weight: 1,
      ceiling: { cpu: options.ceilingCpu ?? 0, memory: 0, accelerators: 0 },
    }],
    largestBodyBytes: 1,
  }));
  state.mayStart = true;
  options.executors.forEach((overrides, number) => {
    const executor = Executor.create(createListedExecutor({ id: `i-${number}`, ...overrides }));
    executor.hasAcceptedFence = true;
    executor.record = ExecutorRecordState.Stored;
    state.executors.set(executor.id, executor);
  });
  const { durationEstimator } = state;
  const getTicket = options.getTicket ?? (() => "");
  const room = options.reservesRoom
    ? RoomControl.create({
      state,
      mayReserve: createReservationCheck(state, durationEstimator),
      getTicket,
    })
    : undefined;
  const dispatch = DispatchControl.create({
    state,
    runs: RunControl.create(state),
    rankStep: createUrgencyRanking(state, durationEstimator),
    rankExecutor: options.reservesRoom ? rankBestFit : rankLeastLoaded,
    getTicket,
    room,
  });
  const addStep = (id: string, specification: Partial<StepSpecification>) => {
    const steps = [createStepSpecification(specification)];
    const text = { text: "", steps, repeats: 0, firstAt: 0, intervalMilliseconds: 0 };
    const job = Job.create({
      id,
      queue: queue.name,
      customer: "harbour",
      specification: text,
      acceptedAt: state.timeOfDay,
    });
    state.jobs.set(id, job);
    state.addOccurrence(job, 0, TaskState.Waiting);
    return job.occurrences.get(0)![0]!;
  };
  const endRun = (name: string) => {
    for (const executor of state.executors.values()) {
      const assigned = executor.runs.get(name);
      if (assigned === undefined) continue;
      state.removeRun(executor, assigned);
      assigned.task.state = TaskState.Done;
    }
  };
  let answered = 0;
  const run = (now: number) => {
    state.now = now;
    state.timeOfDay = now;
    for (; answered < starts.length; answered += 1) {
      state.startWindow.recordAnswer(answered + 1, 0, now);
    }
    state.needsDispatch = true;
    dispatch.run();
  };
  return {
    state,
    starts,
    events,
    getSummary: () => room?.getSummary() ?? {},
    addStep,
    endRun,
    run,
  };
}
