import test from "ava";
import { Configuration } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { type Answer, CallKind } from "../front/call.ts";
import type { JournalAppendResult } from "../ownership/ownership_ports.ts";
import { createStepSpecification } from "../stand_ins/step_samples.ts";
import { ElapsedClock } from "../tasks/mod.ts";
import { OrderOutcome } from "./owner_ports.ts";
import { OwnerTask } from "./owner_task.ts";
import { createListedExecutor, createQueue } from "../stand_ins/fleet_samples.ts";

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
  /** Makes the claim's last confirmation older, in milliseconds. */
  age: (milliseconds: number) => void;
  /** Answers the append of entries that waits longest, if there is one. */
  answerAppend: (result: JournalAppendResult) => Promise<void>;
  /** Has a call answered, and notes the outcome. */
  call: (kind: CallKind, jobId?: string) => void;
  /** Gets the outcomes that calls were told so far. */
  told: string[];
  stop: () => void;
}

const EXECUTOR: ExecutorEntry = createListedExecutor({ born: 1_000, service: "berthbook" });

/** Starts an owner that has just confirmed its claim; executors have seen a higher fence than its own. */
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
      look: () => Promise.resolve({ outcome: OrderOutcome.Fenced }),
    },
    askAdvice: () => Promise.resolve(undefined),
    writeStatus: () => {},
    providerLeaseMilliseconds: 3_000,
    maintenanceMilliseconds: 2_000,
    limits: { rememberMilliseconds: 120_000, stopMilliseconds: 400, farFactor: 2 },
    onFenced: () => {},
    onMeasured: () => {},
    clock: ElapsedClock.create({ getMonotonic: () => age, getWall: () => 0 }),
    getSteady: () => performance.now(),
    getTimeOfDay: () => Date.now(),
    log: () => {},
  });
  task.post({
    kind: "configuration",
    configuration: CONFIGURATION,
    requests: { evacuatedZones: new Set(), waves: new Map() },
  });
  task.post({ kind: "executors", entries });
  await settle();
  return {
    told,
    age: (milliseconds) => age += milliseconds,
    answerAppend: async (result) => {
      await settle();
      appends.shift()?.(result);
      await settle();
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

async function settle(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) await new Promise((resolve) => setImmediate(resolve));
}

test("a job that is being stored is not said to be unknown, and its cancel waits", async (t) => {
  const owner = await startOwner();
  owner.call(CallKind.Submit, "a1");
  owner.call(CallKind.State, "a1");
  owner.call(CallKind.Cancel, "a1");
  await settle();
  owner.told.push("the job is stored");
  await owner.answerAppend({ outcome: "done" });
  owner.told.push("the cancel is stored");
  await owner.answerAppend({ outcome: "done" });
  owner.call(CallKind.State, "a1");
  await settle();
  owner.stop();
  t.snapshot(owner.told);
});

test("an owner whose claim another host may have taken over does not call a job unknown", async (t) => {
  const owner = await startOwner();
  for (const age of [900, 200, 1_000]) {
    owner.age(age);
    owner.call(CallKind.State, "a1");
    owner.call(CallKind.Cancel, "a1");
    await settle();
  }
  owner.stop();
  t.snapshot(owner.told);
});

test("an owner that has slept longer than a count may be old tells no count", async (t) => {
  const owner = await startOwner();
  for (const age of [1_900, 2_100]) {
    owner.age(age);
    owner.call(CallKind.Waiting);
    await settle();
  }
  owner.stop();
  t.deepEqual(owner.told, ["waiting counted", "waiting unavailable"]);
});

test("an owner that the journal has fenced passes calls on", async (t) => {
  const owner = await startOwner();
  owner.call(CallKind.Submit, "a1");
  await owner.answerAppend({ outcome: "done" });
  owner.call(CallKind.Submit, "a2");
  await owner.answerAppend({ outcome: "fenced" });
  for (const kind of [CallKind.State, CallKind.Cancel, CallKind.Submit]) owner.call(kind, "a1");
  owner.call(CallKind.Waiting);
  await settle();
  owner.stop();
  t.snapshot(owner.told);
});

test("an owner whose executors have seen a higher fence passes calls on", async (t) => {
  const owner = await startOwner([EXECUTOR]);
  owner.call(CallKind.State, "a1");
  owner.call(CallKind.Waiting);
  await settle();
  owner.stop();
  t.snapshot(owner.told);
});
