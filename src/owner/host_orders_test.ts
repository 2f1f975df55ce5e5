import test from "ava";
import { Configuration } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { type Host, HostOrderOutcome, HostState } from "../fleet/host.ts";
import type { MaintenanceWave } from "../fleet/maintenance_wave.ts";
import { createOwnerHarness } from "../stand_ins/owner_harness.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { createListedExecutor, createQueue } from "../stand_ins/fleet_fixtures.ts";

const CONFIGURATION = Configuration.create({
  version: 1,
  queues: [createQueue()],
  services: [
    { name: "tugdesk", isGuarded: false, isSpare: false },
    { name: "spare", isGuarded: false, isSpare: true },
  ],
  customers: [],
  largestBodyBytes: 1,
});

const CAPACITY = { cpu: 8_000, memory: 16_000, accelerators: 0 };

const WAVE: MaintenanceWave = {
  number: 1,
  hosts: ["m-1"],
  ceiling: 1,
  durationMilliseconds: 20_000,
};

const SUBMISSION = {
  id: "j",
  queue: "tugs",
  customer: "",
  specification: {
    text: "",
    steps: [createStepSpecification()],
    repeats: 0,
    firstAt: 0,
    intervalMilliseconds: 0,
  },
};

function createEntry(id: string): ExecutorEntry {
  return createListedExecutor({ id, host: "m-1", capacity: CAPACITY });
}

function createHost(executorId: string): Host {
  return {
    name: "m-1",
    pool: "tugdesk",
    state: HostState.Up,
    zone: "zl-a",
    capacity: CAPACITY,
    executorId,
  };
}

/** Creates an owner that orders the maintenance of a wave's only host. */
function orderMaintenance(executor: ExecutorEntry, stored: [string, Uint8Array][]) {
  const lone = createOwnerHarness({ configuration: CONFIGURATION, executors: [executor], stored });
  const requests = { evacuatedZones: new Set<string>(), waves: new Map([[1, WAVE]]) };
  lone.advance(() => lone.owner.setPlannedActions(requests));
  lone.reportNoRuns(executor);
  lone.advance(() => lone.owner.setHosts([createHost(executor.id)], 50));
  for (let step = 0; step < 4; step += 1) lone.advance();
  return lone;
}

test("a new owner uses a host's new executor after it repeats an order that was done", (t) => {
  const previous = orderMaintenance(createEntry("i-1"), []);
  const executor = createEntry("i-9");
  const { owner, starts, advance, reportNoRuns } = orderMaintenance(executor, [
    ...previous.journal,
  ]);
  advance(() =>
    owner.handleMaintainAnswer({ host: "m-1", wave: 1, fence: 1 }, HostOrderOutcome.Accepted)
  );
  owner.submit(SUBMISSION, () => {});
  for (let step = 0; step < 200; step += 1) {
    advance(() => owner.setExecutors([executor]));
    advance(() => owner.setHosts([createHost(executor.id)], 150 + step * 50));
    if (starts.length === 0) reportNoRuns(executor);
  }
  t.deepEqual(starts.slice(0, 1).map((order) => order.executor.id), ["i-9"]);
});

test("no task starts on a host with a pending order whose executor is relisted", (t) => {
  const executor = createEntry("i-1");
  const { owner, starts, advance, reportNoRuns } = orderMaintenance(executor, []);
  const order = { host: "m-1", wave: 1, fence: 1 };
  advance(() => owner.handleMaintainAnswer(order, HostOrderOutcome.Unanswered));
  owner.submit(SUBMISSION, () => {});
  advance(() => owner.setExecutors([]));
  advance(() => owner.setExecutors([executor]));
  reportNoRuns(executor);
  for (let step = 0; step < 10; step += 1) advance();
  t.deepEqual(starts.map(({ task }) => task), []);
});

test("no task starts on a host with an unanswered move whose executor is relisted", (t) => {
  const executors = [1, 2, 3].map((number) => ({
    ...createEntry(`i-${number}`),
    host: `m-${number}`,
  }));
  const { owner, starts, moves, advance, reportNoRuns } = createOwnerHarness({
    configuration: CONFIGURATION,
    executors,
  });
  for (const executor of executors) reportNoRuns(executor);
  const hosts = executors.map(({ id, host }) => ({ ...createHost(id), name: host }));
  advance(() => owner.setHosts(hosts, 50));
  for (let step = 0; step < 200 && moves.length === 0; step += 1) advance();
  const [move] = moves;
  t.is(move?.pool, "spare");
  const moved = executors.find(({ host }) => host === move!.host)!;
  advance(() => owner.handleMoveAnswer(move!, HostOrderOutcome.Unanswered));
  owner.submit(SUBMISSION, () => {});
  advance(() => owner.setExecutors([]));
  advance(() => owner.setExecutors([moved]));
  reportNoRuns(moved);
  for (let step = 0; step < 10; step += 1) advance();
  t.deepEqual(starts.map(({ task, executor }) => [task, executor.id]), []);
});

// Guards against a second run of a task that has started on a host which an earlier order took down.
test("a late answer to an order for a host ends no run that started there since", (t) => {
  const [executor, other] = [createEntry("i-1"), createListedExecutor({ id: "i-2", host: "m-2" })];
  const { owner, starts, advance, reportNoRuns } = orderMaintenance(executor, []);
  // A list lacks the host, and the executor's entry is lost for a moment.
  advance(() => owner.setHosts([], 200));
  advance(() => owner.setExecutors([]));
  advance(() => owner.setExecutors([executor]));
  reportNoRuns(executor);
  owner.submit(SUBMISSION, () => {});
  for (let step = 0; step < 4; step += 1) advance();
  advance(() => owner.setExecutors([executor, other]));
  reportNoRuns(other);
  const order = { host: "m-1", wave: 1, fence: 1 };
  advance(() => owner.handleMaintainAnswer(order, HostOrderOutcome.Accepted));
  for (let step = 0; step < 10; step += 1) advance();
  t.deepEqual(starts.map(({ executor }) => executor.id), ["i-1"]);
});

test("a listed executor that never answers does not decide how many hosts a pool has", (t) => {
  const executors = Array.from({ length: 6 }, (_, number) => ({
    ...createEntry(`i-${number}`),
    host: `m-${number}`,
  }));
  const odd = createListedExecutor({
    id: "i-odd",
    capacity: { cpu: 1e9, memory: 1e9, accelerators: 0 },
  });
  const { owner, starts, advance, reportNoRuns } = createOwnerHarness({
    configuration: CONFIGURATION,
    executors: [...executors, odd],
  });
  for (const executor of executors) reportNoRuns(executor);
  const hosts = executors.map(({ id, host }) => ({ ...createHost(id), name: host }));
  advance(() => owner.setHosts(hosts, 50));
  const submit = (id: string, count: number) => {
    const steps = [createStepSpecification({ count })];
    const specification = { ...SUBMISSION.specification, steps };
    advance(() => owner.submit({ ...SUBMISSION, id, specification }, () => {}));
  };
  // 43 of 48 cores need all six hosts.
  submit("load", 43);
  for (let step = 0; step < 120; step += 1) advance();
  submit("later", 5);
  advance();
  t.deepEqual([starts.length, new Set(starts.map(({ executor }) => executor.id)).size], [48, 6]);
});
