import test from "ava";
import { Configuration, type Queue } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { type Host, HostState } from "../fleet/host.ts";
import { Job } from "../fleet/job.ts";
import type { JobSpecification } from "../fleet/job_specification.ts";
import { createOwnerHarness } from "../stand_ins/owner_harness.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { createExecutorEntry } from "./executor_records.ts";
import { readStoredJobs } from "./job_records.ts";
import { createListedExecutor, createQueue } from "../stand_ins/fleet_fixtures.ts";

/** The maximum time that runs of an earlier owner may go on, in milliseconds. */
const IN_DOUBT_MILLISECONDS = 6_695;

/** The same at executors that may have restarted, in milliseconds. */
const LONGEST_IN_DOUBT_MILLISECONDS = 12_978;

/** The lease that a holder may have granted before it released its claim, in milliseconds. */
const HANDED_OVER_LEASE_MILLISECONDS = 3_063;

const QUEUE: Queue = createQueue();

function createConfiguration(queues: Queue[]): Configuration {
  return Configuration.create({
    version: 1,
    queues,
    services: [{ name: "tugdesk", isGuarded: false, isSpare: false }],
    customers: [],
    largestBodyBytes: 1,
  });
}

const SPECIFICATION: JobSpecification = {
  text: "",
  steps: [createStepSpecification()],
  repeats: 0,
  firstAt: 0,
  intervalMilliseconds: 0,
};

function createEntry(number: number): ExecutorEntry {
  return createListedExecutor({
    id: `i-${number}`,
    address: `10.0.0.${number}:80`,
    host: `m-${number}`,
  });
}

function createHost(number: number, state: HostState, executorId: string): Host {
  const { capacity, zone } = createEntry(number);
  return { name: `m-${number}`, pool: "tugdesk", state, zone, capacity, executorId };
}

test("waiting tasks are not delayed by an executor whose host was maintained or reassigned", (t) => {
  const hosts: Record<string, Host> = {
    "the executor may still be running": createHost(2, HostState.Up, "i-2"),
    "the host has another executor": createHost(2, HostState.Up, "i-9"),
    "the host is moving to another pool": createHost(2, HostState.Moving, "i-2"),
    "the host is maintained": createHost(2, HostState.Maintenance, ""),
    "the host is down": createHost(2, HostState.Down, ""),
  };
  const startedAfter = Object.entries(hosts).map(([name, host]) => {
    const [silent, alive] = [createEntry(2), createEntry(1)];
    const stored = [silent, alive].map(createExecutorEntry);
    const job = Job.create({
      id: "j",
      queue: "tugs",
      customer: "",
      specification: SPECIFICATION,
      acceptedAt: 0,
    });
    const { owner, starts, advance, reportNoRuns } = createOwnerHarness({
      configuration: createConfiguration([QUEUE]),
      executors: [silent, alive],
      stored: stored.map(({ key, value }) => [key, value!]),
      jobs: [job],
      inDoubtMilliseconds: IN_DOUBT_MILLISECONDS,
    });
    reportNoRuns(alive);
    advance(() => owner.setHosts([createHost(1, HostState.Up, "i-1"), host], 0));
    let steps = 0;
    for (; starts.length === 0 && steps < 400; steps += 1) advance();
    return [name, `${starts[0]?.executor.id} after ${steps * 25} ms`];
  });
  t.snapshot(Object.fromEntries(startedAfter));
});

// Guards against waits for an executor that can't have restarted, as its host is down.
test("a new owner waits less for an executor that is down than for one that may have restarted", (t) => {
  const lists: Record<string, { hosts: Host[]; isListed: boolean }> = {
    "its host is up": { hosts: [createHost(2, HostState.Up, "i-2")], isListed: true },
    "its host is down": { hosts: [createHost(2, HostState.Down, "")], isListed: true },
    "only the list of hosts omits it": { hosts: [], isListed: true },
    "neither list has it": { hosts: [], isListed: false },
  };
  const startedAfter = Object.entries(lists).map(([name, { hosts, isListed }]) => {
    const [silent, alive] = [createEntry(2), createEntry(1)];
    const steps = [createStepSpecification({ isLasting: true })];
    const job = Job.create({
      id: "j",
      queue: "tugs",
      customer: "",
      specification: { ...SPECIFICATION, steps },
      acceptedAt: 0,
    });
    const { owner, starts, advance, reportNoRuns } = createOwnerHarness({
      configuration: createConfiguration([QUEUE]),
      executors: [silent, alive],
      stored: [silent, alive].map(createExecutorEntry).map(({ key, value }) => [key, value!]),
      jobs: [job],
      inDoubtMilliseconds: LONGEST_IN_DOUBT_MILLISECONDS,
      lostInDoubtMilliseconds: IN_DOUBT_MILLISECONDS,
    });
    reportNoRuns(alive);
    if (!isListed) advance(() => owner.setExecutors([alive]));
    advance(() => owner.setHosts([createHost(1, HostState.Up, "i-1"), ...hosts], 10));
    let turns = 0;
    for (; starts.length === 0 && turns < 800; turns += 1) advance();
    return [name, `${starts[0]?.executor.id} after ${turns * 25} ms`];
  });
  t.snapshot(Object.fromEntries(startedAfter));
});

test("after a hand-over, a task that may be done on a silent executor waits for its late report", (t) => {
  const getDelay = (isListed: boolean, isLasting: boolean): number => {
    const [silent, alive] = [createEntry(2), createEntry(1)];
    const steps = [createStepSpecification({ isLasting })];
    const job = Job.create({
      id: "j",
      queue: "tugs",
      customer: "",
      specification: { ...SPECIFICATION, steps },
      acceptedAt: 0,
    });
    const { starts, advance, reportNoRuns } = createOwnerHarness({
      configuration: createConfiguration([QUEUE]),
      executors: isListed ? [silent, alive] : [alive],
      stored: [silent, alive].map(createExecutorEntry).map(({ key, value }) => [key, value!]),
      jobs: [job],
      inDoubtMilliseconds: HANDED_OVER_LEASE_MILLISECONDS,
    });
    reportNoRuns(alive);
    let turns = 1;
    for (; starts.length === 0 && turns < 400; turns += 1) advance();
    return turns * 25;
  };
  const delays = {
    "listed": getDelay(true, false),
    "not listed": getDelay(false, false),
    "long-running": getDelay(true, true),
  };
  t.snapshot(delays);
  t.true(delays.listed >= 6_000);
  t.true(delays["not listed"] < 3_500);
  t.true(delays["long-running"] < 3_500);
});

test("a new owner starts accepted jobs of a queue that was removed", (t) => {
  const executor = createEntry(1);
  const before = createOwnerHarness({
    configuration: createConfiguration([QUEUE]),
    executors: [executor],
  });
  before.advance(() =>
    before.owner.submit(
      { id: "j", queue: "tugs", customer: "", specification: SPECIFICATION },
      () => {},
    )
  );
  const stored = [...before.journal];
  const { starts, advance, reportNoRuns } = createOwnerHarness({
    configuration: createConfiguration([]),
    executors: [executor],
    stored,
    jobs: readStoredJobs(stored).jobs,
  });
  reportNoRuns(executor);
  advance();
  t.deepEqual(starts.map(({ task }) => task), ["j.0.0.0"]);
});
