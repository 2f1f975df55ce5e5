import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { Configuration } from "../fleet/configuration.ts";
import { Job } from "../fleet/job.ts";
import { parseTaskName } from "../fleet/job_specification.ts";
import { RunEnd } from "../fleet/run.ts";
import { CallKind } from "../front/call.ts";
import { createAcceptedEntry, createProgressEntry } from "../owner/job_records.ts";
import { OrderOutcome } from "../owner/owner_ports.ts";
import type { ExecutorPort, OwnerTask } from "../owner/owner_task.ts";
import {
  createListedExecutor,
  createQueue,
  JOB_LIMITS,
  STORE_LIMITS,
} from "../stand_ins/fleet_fixtures.ts";
import { CLAIM, createOwner } from "../stand_ins/owner_succession.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { ElapsedClock } from "../tasks/mod.ts";
import { ExecutorModel } from "./stand_in/executor_model.ts";
import { RunHistory } from "./stand_in/run_history.ts";
import { StoreStandIn } from "./stand_in/store_stand_in.ts";
import { StoreClient } from "./store_client.ts";
import { createJournalStore, type StoreLimits } from "./store_ports.ts";

const EXECUTOR = createListedExecutor({ id: "i-1", born: 1_000 });
const CONFIGURATION = Configuration.create({
  version: 1,
  queues: [createQueue()],
  services: [{ name: "tugdesk", isGuarded: false, isSpare: false }],
  customers: [],
  largestBodyBytes: 10_000,
});
/** The occurrences that are left of a repeating job. */
const OCCURRENCES_LEFT = 40;
/** The limits of a store that takes less in a call. */
const SMALL_STORE_LIMITS = { ...STORE_LIMITS, callBytes: 2_000 };
/** More than the bytes that the parts of a split value add. */
const SPLIT_HEADER_BYTES = 50;
const SHORT_RUN_MILLISECONDS = 30;
const LONG_RUN_MILLISECONDS = 3_600_000;

function createRepeatingJob(repeats: number): Job {
  return Job.create({
    id: "00000000000000a1",
    queue: "tugs",
    customer: "",
    specification: {
      text: "",
      steps: [createStepSpecification({ demand: { cpu: 1, memory: 1, accelerators: 0 } })],
      repeats,
      firstAt: 1,
      intervalMilliseconds: 1,
    },
    acceptedAt: 1,
  });
}

/**
 * Creates a job of which every second occurrence is done: its progress grows beyond a call of the
 * small store with the next ones, as those between them take long.
 */
function createJobWithGaps(): Job {
  const getSize = (job: Job) =>
    createProgressEntry(job, JOB_LIMITS.maximumValueBytes).value!.length;
  const trial = createRepeatingJob(1);
  let next = 0;
  while (getSize(trial) <= SMALL_STORE_LIMITS.callBytes - SPLIT_HEADER_BYTES) {
    trial.doneOccurrences.add(next);
    next += 2;
  }
  const job = createRepeatingJob(next + 2 * OCCURRENCES_LEFT);
  for (let done = 0; done < next - 2; done += 2) job.doneOccurrences.add(done);
  return job;
}

/** Gets how long a run takes: those of odd occurrences go on for long. */
function getRunMilliseconds(task: string): number {
  const { occurrence } = parseTaskName(task)!;
  return occurrence % 2 === 0 ? SHORT_RUN_MILLISECONDS : LONG_RUN_MILLISECONDS;
}

interface Play {
  /** The stored job. */
  job: Job;
  /** The limits of the store. */
  limits: StoreLimits;
  /** Gets how long a run takes, in milliseconds. */
  getRunMilliseconds: (task: string) => number;
}

/** Has two owners in turn execute a job, and gets the tasks that were repeated. */
async function play(t: ExecutionContext, { job, limits, getRunMilliseconds }: Play) {
  const storeStandIn = StoreStandIn.create();
  const address = await storeStandIn.listen();
  const history = RunHistory.create();
  const model = ExecutorModel.create({
    capacity: EXECUTOR.capacity,
    born: EXECUTOR.born,
    startedAt: performance.now(),
    stopMilliseconds: 20,
    startupMilliseconds: 20,
    planRun: (task) => ({ durationMilliseconds: getRunMilliseconds(task), end: RunEnd.Done }),
    onStart: (run) => history.addStart(EXECUTOR.id, run),
    onEnd: (run, end) => history.addEnd(EXECUTOR.id, run, end),
    onAcknowledged: (end) => history.addAcknowledgement(EXECUTOR.id, end),
  });
  const order = (act: () => OrderOutcome) =>
    delay(2).then(act).then((outcome) => ({
      outcome,
      executorTime: model.getExecutorTime(performance.now()),
    }));
  const executors: ExecutorPort = {
    start: (start) => order(() => model.start(start, performance.now())),
    stop: ({ task, run, fence }) => order(() => model.stop(task, run, fence, performance.now())),
    pace: () => Promise.resolve({ outcome: OrderOutcome.Done }),
    poll: async (poll) => {
      await delay(2);
      const report = model.poll(poll, performance.now());
      if (report === undefined) return { outcome: OrderOutcome.Fenced };
      return { outcome: OrderOutcome.Done, acknowledged: poll.acknowledged, report };
    },
  };
  const stores: StoreClient[] = [];
  const owners: OwnerTask[] = [];
  const createStore = () => {
    const store = StoreClient.create(address, () => {});
    stores.push(store);
    return createJournalStore(store, limits);
  };
  t.teardown(() => {
    for (const owner of owners) owner.stop();
    for (const store of stores) store.close();
    storeStandIn.close();
  });
  const claimClock = ElapsedClock.create();
  const open = (epoch: number) => {
    const owner = createOwner({
      epoch,
      previousClaim: epoch === 1 ? undefined : CLAIM,
      journalStore: createStore(),
      executors,
      claimClock,
    });
    owners.push(owner);
    owner.post({ kind: "confirmed", confirmedAt: Infinity, renewal: 0 });
    const plannedActions = { evacuatedZones: new Set<string>(), waves: new Map() };
    owner.post({ kind: "configuration", configuration: CONFIGURATION, plannedActions });
    owner.post({ kind: "executors", entries: [EXECUTOR] });
    return owner;
  };
  const first = createStore();
  const accepted = createAcceptedEntry(job);
  const progress = createProgressEntry(job, JOB_LIMITS.maximumValueBytes);
  t.is((await first.append([accepted], 0, 1)).outcome, "done");
  t.is((await first.append([progress], 0, 2)).outcome, "done");
  const owner = open(1);
  await delay(1_500);
  const { specification } = job;
  const call = {
    kind: CallKind.Submit,
    host: "h",
    path: "/00000000000000a2",
    jobId: "00000000000000a2",
    version: 1,
    queue: "tugs",
    customer: "",
    specification: { ...specification, repeats: 0 },
  };
  owner.post({ kind: "call", call, reply: () => {} });
  await delay(1_000);
  owner.stop();
  open(2);
  await delay(2_500);
  return history.violations;
}

// Guards against ends that are acknowledged although their progress was refused by the store.
test("no task is repeated whose progress is too large for the store", async (t) => {
  const job = createJobWithGaps();
  t.deepEqual(await play(t, { job, limits: SMALL_STORE_LIMITS, getRunMilliseconds }), []);
});

// Guards against progress that grows with each completed occurrence until no store takes it.
test("no task is repeated of a job with 445,681 completed occurrences", async (t) => {
  const done = 445_681;
  const job = createRepeatingJob(done + OCCURRENCES_LEFT);
  job.doneOccurrences.addRange(0, done);
  const getRunMilliseconds = () => SHORT_RUN_MILLISECONDS;
  t.deepEqual(await play(t, { job, limits: STORE_LIMITS, getRunMilliseconds }), []);
});
