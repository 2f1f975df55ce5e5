import test from "ava";
import { Configuration } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { type Answer, CallKind } from "../front/call.ts";
import type { JournalAppendResult } from "../ownership/ownership_ports.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { ElapsedClock } from "../tasks/mod.ts";
import { OrderOutcome } from "./owner_ports.ts";
import { OwnerTask } from "./owner_task.ts";
import { createListedExecutor, createQueue } from "../stand_ins/fleet_fixtures.ts";

const CONFIGURATION = Configuration.create({
  version: 1,
  queues: [
    createQueue({
      name: "berths",
      host: "berths.example",
      pathPrefix: "/berths/",
      service: "berthbook",
      attemptLimit: 2,
    }),
  ],
  services: [{ name: "berthbook", isGuarded: false, isSpare: false }],
  customers: [],
  largestBodyBytes: 10_000,
});

const SPECIFICATION = {
  text: "",
  steps: [createStepSpecification({})],
  repeats: 0,
  firstAt: 0,
  intervalMilliseconds: 0,
};

interface Owner {
  /** Increases the age of the claim's last confirmation, in milliseconds. */
  age: (milliseconds: number) => void;
  /** Answers the oldest pending append of entries, if there is one. */
  answerAppend: (result: JournalAppendResult) => Promise<void>;
  /** Sends a call and records the outcome of its answer. */
  call: (kind: CallKind, jobId?: string) => void;
  /** The outcomes of the calls answered so far. */
  told: string[];
  stop: () => void;
}

const EXECUTOR: ExecutorEntry = createListedExecutor({ born: 1_000, service: "berthbook" });

/** Starts an owner with a newly confirmed claim and executors that have seen a higher fence. */
async function startOwner(entries: readonly ExecutorEntry[] = []): Promise<Owner> {
  let age = 0;
  const appends: ((result: JournalAppendResult) => void)[] = [];
  const told: string[] = [];
  const done = { outcome: OrderOutcome.Done };
  const order = () => Promise.resolve(done);
  const task = OwnerTask.create({
    epoch: 2,
    previousClaim: undefined,
    journalStore: {
      append: (entries) =>
        entries.length === 0
          ? Promise.resolve({ outcome: "done" })
          : new Promise((resolve) => appends.push(resolve)),
      readAll: () => Promise.resolve([]),
    },
    executors: {
      start: order,
      stop: order,
      pace: order,
      poll: () => Promise.resolve({ outcome: OrderOutcome.Fenced }),
    },
    askAdvice: () => Promise.resolve(undefined),
    writeStatus: () => {},
    providerLeaseMilliseconds: 3_000,
    maintenanceMilliseconds: 2_000,
    limits: { retentionMilliseconds: 120_000, stopMilliseconds: 400, offRackFactor: 2 },
    onFenced: () => {},
    onMeasured: () => {},
    claimClock: ElapsedClock.create({ getMonotonicTime: () => age, getWallClockTime: () => 0 }),
    getMonotonicTime: () => performance.now(),
    getWallClockTime: () => Date.now(),
    log: () => {},
  });
  task.post({
    kind: "configuration",
    configuration: CONFIGURATION,
    plannedActions: { evacuatedZones: new Set(), waves: new Map() },
  });
  task.post({ kind: "executors", entries });
  await processMessages();
  return {
    told,
    age: (milliseconds) => age += milliseconds,
    answerAppend: async (result) => {
      await processMessages();
      appends.shift()?.(result);
      await processMessages();
    },
    call: (kind, jobId = "") => {
      const call = {
        kind,
        jobId,
        host: "berths.example",
        path: `/berths/${jobId}`,
        version: 1,
        queue: "berths",
        customer: "",
        ...(kind === CallKind.Submit ? { specification: SPECIFICATION } : {}),
      };
      const reply = (answer: Answer) => {
        told.push([kind, answer.outcome, answer.state].filter((part) => part).join(" "));
      };
      task.post({ kind: "call", call, reply });
    },
    stop: () => task.stop(),
  };
}

/** Waits until the messages posted so far have been handled. */
async function processMessages(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) await new Promise((resolve) => setImmediate(resolve));
}

test("a job that is being stored is not reported as unknown, and its cancellation waits", async (t) => {
  const owner = await startOwner();
  owner.call(CallKind.Submit, "a1");
  owner.call(CallKind.State, "a1");
  owner.call(CallKind.Cancel, "a1");
  await processMessages();
  owner.told.push("the job is stored");
  await owner.answerAppend({ outcome: "done" });
  owner.told.push("the cancel is stored");
  await owner.answerAppend({ outcome: "done" });
  owner.call(CallKind.State, "a1");
  await processMessages();
  owner.stop();
  t.snapshot(owner.told);
});

test("an owner whose claim another host may have taken over does not report a job as unknown", async (t) => {
  const owner = await startOwner();
  for (const age of [900, 200, 1_000]) {
    owner.age(age);
    owner.call(CallKind.State, "a1");
    owner.call(CallKind.Cancel, "a1");
    await processMessages();
  }
  owner.stop();
  t.snapshot(owner.told);
});

test("an owner whose claim was last confirmed more than 2 s ago returns no count", async (t) => {
  const owner = await startOwner();
  for (const age of [1_900, 2_100]) {
    owner.age(age);
    owner.call(CallKind.CountQueued);
    await processMessages();
  }
  owner.stop();
  t.deepEqual(owner.told, ["waiting counted", "waiting unavailable"]);
});

test("an owner that the journal has fenced answers that it is not the owner", async (t) => {
  const owner = await startOwner();
  owner.call(CallKind.Submit, "a1");
  await owner.answerAppend({ outcome: "done" });
  owner.call(CallKind.Submit, "a2");
  await owner.answerAppend({ outcome: "fenced" });
  for (const kind of [CallKind.State, CallKind.Cancel, CallKind.Submit]) owner.call(kind, "a1");
  owner.call(CallKind.CountQueued);
  await processMessages();
  owner.stop();
  t.snapshot(owner.told);
});

test("an owner whose executors have seen a higher fence answers that it is not the owner", async (t) => {
  const owner = await startOwner([EXECUTOR]);
  owner.call(CallKind.State, "a1");
  owner.call(CallKind.CountQueued);
  await processMessages();
  owner.stop();
  t.snapshot(owner.told);
});
