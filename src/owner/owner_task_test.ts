import test from "ava";
import { Configuration, type ConfigurationData } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { type Answer, CallKind } from "../front/call.ts";
import type { ForwardedCall } from "../front/call_frame.ts";
import type { JournalAppendResult } from "../ownership/ownership_ports.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { ElapsedClock } from "../tasks/mod.ts";
import { OrderOutcome } from "./owner_ports.ts";
import { OwnerTask } from "./owner_task.ts";
import { createListedExecutor, createQueue, JOB_LIMITS } from "../stand_ins/fleet_fixtures.ts";

const CONFIGURATION: ConfigurationData = {
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
};

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
  /** Sends a call, with the given fields overridden, and records the outcome of its answer. */
  call: (kind: CallKind, jobId?: string, overrides?: Partial<ForwardedCall>) => void;
  /** Publishes a configuration. */
  configure: (configuration: ConfigurationData) => void;
  /** The keys of the journal entries written so far. */
  written: string[];
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
  const written: string[] = [];
  const done = { outcome: OrderOutcome.Done };
  const order = () => Promise.resolve(done);
  const task = OwnerTask.create({
    epoch: 2,
    previousClaim: undefined,
    journalStore: {
      append: (entries) => {
        if (entries.length === 0) return Promise.resolve({ outcome: "done" });
        written.push(...entries.map(({ key }) => key));
        return new Promise((resolve) => appends.push(resolve));
      },
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
    limits: {
      retentionMilliseconds: 120_000,
      stopMilliseconds: 400,
      longestLeaseMilliseconds: 10_000,
      jobLimits: JOB_LIMITS,
      offRackFactor: 2,
    },
    onFenced: () => {},
    onMeasured: () => {},
    claimClock: ElapsedClock.create({ getMonotonicTime: () => age, getWallClockTime: () => 0 }),
    getMonotonicTime: () => performance.now(),
    getWallClockTime: () => Date.now(),
    log: () => {},
  });
  const configure = (data: ConfigurationData) => {
    const configuration = Configuration.create(data);
    const plannedActions = { evacuatedZones: new Set<string>(), waves: new Map() };
    task.post({ kind: "configuration", configuration, plannedActions });
  };
  configure(CONFIGURATION);
  task.post({ kind: "executors", entries });
  await processMessages();
  return {
    told,
    written,
    configure,
    age: (milliseconds) => age += milliseconds,
    answerAppend: async (result) => {
      await processMessages();
      appends.shift()?.(result);
      await processMessages();
    },
    call: (kind, jobId = "", overrides = {}) => {
      const call = {
        kind,
        jobId,
        host: "berths.example",
        path: `/berths/${jobId}`,
        version: 1,
        queue: "berths",
        customer: "",
        ...(kind === CallKind.Submit ? { specification: SPECIFICATION } : {}),
        ...overrides,
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

test("a job that is known or being stored is never refused, whatever became of its key or queue", async (t) => {
  const createCustomer = (name: string, keys: readonly string[]) => ({
    name,
    keys,
    weight: 1,
    ceiling: { cpu: 0, memory: 0, accelerators: 0 },
  });
  const [queue] = CONFIGURATION.queues;
  const withKeys = {
    ...CONFIGURATION,
    queues: [{ ...queue!, isPublic: false }],
    customers: [createCustomer("mine", ["k1"]), createCustomer("quay", ["k2"])],
  };
  const withoutKeys = {
    ...withKeys,
    version: 2,
    customers: [createCustomer("mine", []), createCustomer("quay", [])],
  };
  const owner = await startOwner();
  const [mine, quay] = [{ customer: "mine", key: "k1" }, { customer: "quay", key: "k2" }];
  const callAll = async (title: string) => {
    const callInTurn = async (label: string, calls: () => void) => {
      owner.told.push(`${title}, ${label}:`);
      calls();
      await processMessages();
    };
    await callInTurn("its customer", () => {
      owner.call(CallKind.Submit, "a1", mine);
      for (const kind of [CallKind.State, CallKind.Cancel]) owner.call(kind, "a1", mine);
      owner.call(CallKind.CountQueued, "", mine);
    });
    await callInTurn("a call without the job", () => {
      owner.call(CallKind.Submit, "a1", { ...mine, version: 9, specification: undefined });
    });
    await callInTurn("another customer", () => owner.call(CallKind.Submit, "a1", quay));
    await callInTurn("another job", () => owner.call(CallKind.Submit, "a2", mine));
  };
  owner.configure(withKeys);
  owner.call(CallKind.Submit, "a1", mine);
  owner.configure(withoutKeys);
  await callAll("the keys are withdrawn while the job is being stored");
  await owner.answerAppend({ outcome: "done" });
  await callAll("the job is stored");
  owner.configure({ ...withoutKeys, version: 3, queues: [] });
  await callAll("the queue is removed");
  owner.stop();
  t.snapshot({ told: owner.told, written: owner.written });
});
