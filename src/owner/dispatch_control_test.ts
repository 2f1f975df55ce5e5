import test from "ava";
import { Configuration } from "../fleet/configuration.ts";
import { Executor, ExecutorRecordState } from "../fleet/executor.ts";
import { Job, TaskState } from "../fleet/job.ts";
import { createListedExecutor, createQueue, JOB_LIMITS } from "../stand_ins/fleet_fixtures.ts";
import { createOwnerPorts } from "../stand_ins/owner_ports_fixture.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { DispatchControl } from "./dispatch_control.ts";
import { FleetState } from "./fleet_state.ts";
import type { StartOrder } from "./owner_ports.ts";
import { rankLeastLoaded } from "./placement.ts";
import { RunControl } from "./run_control.ts";
import { createArrivalRanking } from "./step_ranking.ts";

const SERVICES = ["tugdesk", "berthbook"];
const EXECUTORS = 30;
const CAPACITY = { cpu: 8_000, memory: 16_000, accelerators: 0 };
/** The CPU demand of each task: two fit on an executor, and leave a rest. */
const TASK_CPU = 3_000;

interface DispatchCase {
  /** The executors of each service. */
  executors: number;
  /** The jobs of each service, with whether their tasks are long-running, in order of arrival. */
  jobs: readonly { service: string; isLasting: boolean }[];
}

/** Creates a dispatch, and counts the reads of executors' capacities. */
function createDispatch({ executors, jobs }: DispatchCase) {
  let reads = 0;
  const starts: StartOrder[] = [];
  const ports = createOwnerPorts({ start: (order) => starts.push(order) });
  const state = FleetState.create({
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
    log: () => {},
    startedAt: 0,
  });
  state.setConfiguration(Configuration.create({
    version: 1,
    queues: SERVICES.map((service) => createQueue({ name: service, service })),
    services: [],
    customers: [],
    largestBodyBytes: 1,
  }));
  state.mayStart = true;
  for (let number = 0; number < executors * SERVICES.length; number += 1) {
    const service = SERVICES[number % SERVICES.length]!;
    const entry = createListedExecutor({ id: `i-${number}`, service, capacity: CAPACITY });
    Object.defineProperty(entry, "capacity", { get: () => ((reads += 1), CAPACITY) });
    const executor = Executor.create(entry);
    executor.hasAcceptedFence = true;
    executor.isListed = true;
    executor.record = ExecutorRecordState.Stored;
    state.executors.set(executor.id, executor);
  }
  jobs.forEach(({ service, isLasting }, number) => {
    const demand = { cpu: TASK_CPU, memory: 100, accelerators: 0 };
    const specification = {
      text: "",
      steps: [createStepSpecification({ demand, isLasting })],
      repeats: 0,
      firstAt: 0,
      intervalMilliseconds: 0,
    };
    const job = Job.create({
      id: `j${number}`,
      queue: service,
      customer: "",
      specification,
      acceptedAt: number,
    });
    for (const step of job.addOccurrence(0, TaskState.Waiting)) state.ready.add(step);
  });
  const dispatch = DispatchControl.create({
    state,
    runs: RunControl.create(state),
    rankStep: createArrivalRanking(state),
    rankExecutor: rankLeastLoaded,
    getTicket: () => "",
  });
  const run = () => {
    reads = 0;
    state.needsDispatch = true;
    dispatch.run();
    return reads;
  };
  return { run, starts };
}

test("a dispatch of a full pool looks at each executor once, however many jobs wait", (t) => {
  const jobs = Array.from(
    { length: 2 * EXECUTORS + 1_000 },
    () => ({ service: "tugdesk", isLasting: false }),
  );
  const { run, starts } = createDispatch({ executors: EXECUTORS, jobs });
  run();
  const tasks = starts.map(({ task }) => task);
  t.deepEqual(tasks, Array.from({ length: 2 * EXECUTORS }, (_, number) => `j${number}.0.0.0`));
  t.true(run() <= 2 * SERVICES.length * EXECUTORS);
  t.is(starts.length, 2 * EXECUTORS);
});

test("long-running tasks of one service start before the backlog of another fills the window", (t) => {
  const backlog = Array.from({ length: 200 }, () => ({ service: "tugdesk", isLasting: false }));
  const { run, starts } = createDispatch({
    executors: 100,
    jobs: [...backlog, { service: "berthbook", isLasting: true }],
  });
  run();
  t.deepEqual([starts.length, starts[0]!.task], [64, "j200.0.0.0"]);
});
