import test from "ava";
import fc from "fast-check";
import { type JobData, JobState, type JobTaskData, JobTaskState } from "./job_data.ts";
import { choosePreemptions, findBorrowed } from "./preemption.ts";
import { decideOverruns } from "./overrun.ts";
import { chooseBestFit, chooseFirstFit, placeTogether } from "./placement.ts";
import { planStarts, rankByShare, type TeamAllocation } from "./queue_plan.ts";
import { addSizes, isWithin, NO_SIZE, type TaskSize } from "./task_size.ts";
import { UsageEstimator } from "./usage_estimator.ts";
import { type WorkerCapacity, WorkerIndex } from "./worker_index.ts";

const SEED = 20_261_204;

function size(cores: number, memoryGigabytes = cores, accelerators = 0): TaskSize {
  return { cores, memoryGigabytes, accelerators };
}

function createWorkers(count: number, free: TaskSize): WorkerCapacity[] {
  return Array.from({ length: count }, (_, number) => ({
    worker: `worker-${number}`,
    rack: `rack-${Math.floor(number / 2)}`,
    free,
  }));
}

function createTask(taskSize: TaskSize): JobTaskData {
  const state = JobTaskState.Waiting;
  return { size: taskSize, runMilliseconds: 1_000, state, attempt: 0, failedOn: [], losses: 0 };
}

function createJob(jobId: string, team: string, tasks: number, changes: Partial<JobData>): JobData {
  return {
    jobId,
    queue: "berthbook",
    team,
    isUrgent: false,
    isGang: false,
    isIdempotent: true,
    mostPerRack: 0,
    payload: "",
    acceptedAt: 0,
    isCancelled: false,
    state: JobState.Active,
    endedAt: 0,
    tasks: Array.from({ length: tasks }, () => createTask(size(4))),
    ...changes,
  };
}

function plan(jobs: JobData[], workers: number, limits: Record<string, [number, number]>) {
  const index = WorkerIndex.create(createWorkers(workers, size(16)));
  const teams = new Map(
    Object.entries(limits).map(([team, [share, taskLimit]]) => {
      const use: TeamAllocation = { share, taskLimit, taskCount: 0, reserved: NO_SIZE };
      return [team, use];
    }),
  );
  const { starts, blocked } = planStarts({
    jobs,
    teams,
    total: size(16 * workers),
    index,
    getReservation: (_job, task) => task.size,
    getRack: (worker) => index.getWorker(worker)?.rack,
    getHolder: () => undefined,
    isPending: () => false,
    chooseWorker: chooseBestFit,
    rankTeam: rankByShare,
    maximumStarts: 100,
  });
  return {
    starts: starts.map(({ job, placed }) =>
      `${job.jobId}: ${placed.map(({ task, worker }) => `${task} on ${worker}`).join(", ")}`
    ),
    blocked: blocked.map(({ job, tasks }) => `${job.jobId}: ${tasks.length} tasks`),
  };
}

test("the index finds a worker exactly when a scan of all workers does", (t) => {
  const sizes = fc.record({
    cores: fc.integer({ min: 0, max: 256 }).map((steps) => steps / 8),
    memoryGigabytes: fc.integer({ min: 0, max: 512 }).map((steps) => steps / 8),
    accelerators: fc.nat(3),
  });
  fc.assert(
    fc.property(fc.array(sizes, { maxLength: 12 }), fc.array(sizes), (capacities, wanted) => {
      const index = WorkerIndex.create(
        capacities.map((free, number) => ({ worker: `w${number}`, rack: "r", free })),
      );
      for (const task of wanted) {
        const found = chooseBestFit(index, task, () => true);
        const scanned = chooseFirstFit(index, task, () => true);
        t.is(found === undefined, scanned === undefined);
        if (found === undefined) continue;
        t.true(isWithin(task, found.free));
        index.reserve(found.worker, task);
      }
    }),
    { seed: SEED, numRuns: 500 },
  );
});

test("a gang with a task that fits on no worker reserves nothing", (t) => {
  const index = WorkerIndex.create(createWorkers(3, size(16)));
  const options = { index, occupiedRacks: [], chooseWorker: chooseBestFit, isAllowed: () => true };
  const tasks = [size(8), size(16), size(16)].map((taskSize, task) => ({ task, size: taskSize }));
  const together = placeTogether({ ...options, tasks, mostPerRack: 1 });
  const free = [...index.getWorkers()].map((worker) => worker.free).reduce(addSizes);
  t.snapshot({ together, free, apart: placeTogether({ ...options, tasks, mostPerRack: 0 }) });
});

test("urgent jobs start first, then teams by share, each within its limit", (t) => {
  const limits: Record<string, [number, number]> = { tug: [3, 100], mine: [1, 100], barge: [9, 2] };
  const jobs = [
    createJob("mine-long", "mine", 12, { acceptedAt: 1 }),
    createJob("tug-long", "tug", 12, { acceptedAt: 2 }),
    createJob("barge-long", "barge", 12, { acceptedAt: 3 }),
    createJob("mine-urgent", "mine", 1, { acceptedAt: 4, isUrgent: true }),
    createJob("tug-gang", "tug", 9, { acceptedAt: 5, isUrgent: true, isGang: true }),
  ];
  t.snapshot(plan(jobs, 4, limits));
  t.snapshot(plan(jobs, 2, limits));
});

test("borrowed capacity is preempted first, then the tasks with the least loss of work", (t) => {
  const running = [["a1", "tug", 1], ["a2", "tug", 2], ["a3", "tug", 3], [
    "b1",
    "mine",
    4,
  ]] as const;
  const borrowed = findBorrowed({
    running: running.map(([taskId, team, startedAt]) => ({
      taskId,
      team,
      reserved: size(8),
      startedAt,
    })),
    weights: new Map([["tug", 1], ["mine", 1]]),
    total: size(32),
  });
  const createPreemptible = (taskId: string, loss: number, isBorrowed = false) => ({
    taskId,
    team: "tug",
    reserved: size(8),
    isBorrowed,
    lossCoreMilliseconds: loss,
  });
  const [first, second] = createWorkers(2, size(0)) as [WorkerCapacity, WorkerCapacity];
  const workers = [
    { room: first, preemptible: [createPreemptible("cheap", 1), createPreemptible("cheaper", 0)] },
    {
      room: second,
      preemptible: [createPreemptible("own", 5), createPreemptible("borrowed", 900, true)],
    },
  ];
  const choose = (cores: number, isBorrowedOnly: boolean) =>
    choosePreemptions({
      tasks: [{ task: 0, size: size(cores) }],
      workers,
      isBorrowedOnly,
      isPartialAllowed: false,
    }).map(({ preempted: tasks }) => tasks.map(({ taskId }) => taskId));
  t.snapshot({
    borrowed: [...borrowed],
    one: choose(8, false),
    two: choose(16, false),
    twoBorrowed: choose(16, true),
    tooMany: choose(32, false),
  });
});

test("reservations follow the observed usage, and do not grow on their own", (t) => {
  const usage = UsageEstimator.create();
  const task = createTask(size(4, 8));
  const worker = size(32, 128);
  const estimate = () => usage.estimate({ team: "tug", task, largestWorker: worker });
  const before = estimate();
  const addTasks = (cores: number, memoryGigabytes: number) => {
    for (let count = 0; count < 8; count += 1) {
      usage.add("tug", task, { cores, memoryGigabytes, runMilliseconds: 3_000 });
    }
  };
  addTasks(1, 16);
  const after = estimate();
  for (let round = 0; round < 1_000; round += 1) {
    const { cores, memoryGigabytes } = estimate().reservation;
    addTasks(cores, memoryGigabytes);
  }
  t.snapshot({ before, after, muchLater: estimate() });
});

test("an overrun throttles, moves or stops the task with the largest excess", (t) => {
  const createReport = (
    taskId: string,
    cores: number,
    memoryGigabytes: number,
    changes: object = {},
  ) => ({
    taskId,
    isIdempotent: true,
    reserved: size(8, 32),
    expectedRunMilliseconds: 60_000,
    cores,
    memoryGigabytes,
    runMilliseconds: 10_000,
    isThrottled: false,
    ...changes,
  });
  const capacity = size(16, 64);
  t.snapshot({
    within: decideOverruns([createReport("a", 12, 40), createReport("b", 4, 20)], capacity),
    cores: decideOverruns([createReport("a", 12, 20), createReport("b", 9, 20)], capacity),
    throttled: decideOverruns(
      [createReport("a", 12, 20, { isThrottled: true }), createReport("b", 8, 20)],
      capacity,
    ),
    memory: decideOverruns([createReport("a", 4, 50), createReport("b", 4, 20)], capacity),
    fixed: decideOverruns(
      [createReport("a", 4, 50, { isIdempotent: false }), createReport("b", 4, 20)],
      capacity,
    ),
    endless: decideOverruns([createReport("a", 4, 4, { runMilliseconds: 700_000 })], capacity),
  });
});
