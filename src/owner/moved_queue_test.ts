import test from "ava";
import { Configuration } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { createListedExecutor, createQueue } from "../stand_ins/fleet_fixtures.ts";
import { createOwnerHarness, type OwnerHarness } from "../stand_ins/owner_harness.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { readStoredJobs } from "./job_records.ts";
import { OrderOutcome } from "./owner_ports.ts";

const SERVICES = ["tugdesk", "berthbook", "anchorline"];
/** An executor of each service, named like it. */
const EXECUTORS = SERVICES.map((service) => createListedExecutor({ id: service, service }));
const [TUGDESK, BERTHBOOK, ANCHORLINE] = EXECUTORS as [
  ExecutorEntry,
  ExecutorEntry,
  ExecutorEntry,
];
const CUSTOMER = "mine-office";
const SPECIFICATION = {
  text: "",
  steps: [createStepSpecification({ isLasting: true })],
  repeats: 0,
  firstAt: 0,
  intervalMilliseconds: 0,
};
const TASK_CPU = SPECIFICATION.steps[0]!.demand.cpu;
/** How long starts of an earlier owner are in doubt, in milliseconds. */
const IN_DOUBT_MILLISECONDS = 6_695;

/** Creates a configuration that sends the queue to a service, or has no queue. */
function createConfiguration(version: number, service: string | undefined): Configuration {
  return Configuration.create({
    version,
    queues: service === undefined ? [] : [createQueue({ service })],
    services: SERVICES.map((name) => ({ name, isGuarded: false, isSpare: false })),
    customers: [{
      name: CUSTOMER,
      keys: [],
      weight: 1,
      ceiling: { cpu: TASK_CPU, memory: 0, accelerators: 0 },
    }],
    largestBodyBytes: 1,
  });
}

/** Creates an owner that executors have reported no runs to. */
function createFirstOwner(configuration: Configuration): OwnerHarness {
  const harness = createOwnerHarness({ configuration, executors: EXECUTORS });
  for (const executor of EXECUTORS) harness.reportNoRuns(executor);
  return harness;
}

/** Creates the next owner from the journal of an earlier one. */
function takeOver(earlier: OwnerHarness, configuration: Configuration): OwnerHarness {
  const stored = [...earlier.journal];
  return createOwnerHarness({
    configuration,
    executors: EXECUTORS,
    stored,
    jobs: readStoredJobs(stored).jobs,
    inDoubtMilliseconds: IN_DOUBT_MILLISECONDS,
  });
}

function submit({ owner, advance }: OwnerHarness, id = "00000000000000a1"): void {
  const job = { id, queue: "tugs", customer: CUSTOMER, specification: SPECIFICATION };
  advance(() => owner.submit(job, () => {}));
}

function advanceSteps({ advance }: OwnerHarness, steps: number): void {
  for (let step = 0; step < steps; step += 1) advance();
}

function getStarts({ starts }: OwnerHarness): string[] {
  return starts.map(({ executor, task }) => `${task} on ${executor.id}`);
}

/** Reports the run that an earlier owner has started on an executor. */
function reportRun(harness: OwnerHarness, earlier: OwnerHarness): void {
  const { executor, task, run } = earlier.starts[0]!;
  const running = [{ task, run, checkpoint: "", percent: 100, usage: 0 }];
  const { born } = executor;
  const report = { born, executorTime: 100_000, running, ended: [], hasAllEnds: true };
  harness.advance(() =>
    harness.owner.handlePollAnswer(executor.id, Number.MAX_SAFE_INTEGER, {
      outcome: OrderOutcome.Done,
      acknowledged: 0,
      report,
    })
  );
}

/** Starts the task, takes over, and has the executors of other services answer first. */
function takeOverWhileTaskRuns(isMoveKnown: boolean) {
  const first = createFirstOwner(createConfiguration(1, "tugdesk"));
  submit(first);
  advanceSteps(first, 2);
  const moved = createConfiguration(4, "berthbook");
  if (isMoveKnown) first.advance(() => first.owner.setConfiguration(moved));
  const next = takeOver(first, moved);
  for (const executor of [BERTHBOOK, ANCHORLINE]) next.reportNoRuns(executor);
  advanceSteps(next, 10);
  reportRun(next, first);
  advanceSteps(next, 10);
  return { first: getStarts(first), next: getStarts(next) };
}

// Guards against two runs of a task whose queue was sent to another service while it ran.
test("a task that runs on executors of its queue's earlier service is not started by a new owner", (t) => {
  t.snapshot({
    "the earlier owner knows the new service": takeOverWhileTaskRuns(true),
    "it ended before": takeOverWhileTaskRuns(false),
  });
});

// Guards against a record that forgets the services between the first and the present one.
test("a new owner waits for the executors of each service that a queue had while a task may run", (t) => {
  const first = createFirstOwner(createConfiguration(1, "tugdesk"));
  first.advance(() => first.owner.setConfiguration(createConfiguration(2, "berthbook")));
  submit(first);
  advanceSteps(first, 2);
  first.advance(() => first.owner.setConfiguration(createConfiguration(3, "tugdesk")));
  const next = takeOver(first, createConfiguration(4, "anchorline"));
  for (const executor of [TUGDESK, ANCHORLINE]) next.reportNoRuns(executor);
  advanceSteps(next, 10);
  const beforeReport = getStarts(next);
  next.reportNoRuns(BERTHBOOK);
  advanceSteps(next, 2);
  t.snapshot({ first: getStarts(first), beforeReport, afterReport: getStarts(next) });
});

// Guards against a start that a new owner can't know of, since it has no record of the service.
test("no task starts in a new service before the record of its queue is stored", (t) => {
  const first = createFirstOwner(createConfiguration(1, "tugdesk"));
  first.advance(() => first.owner.setExecutors([BERTHBOOK]));
  submit(first);
  advanceSteps(first, 2);
  const whileStoring: string[] = [];
  first.advance(() => {
    first.owner.setConfiguration(createConfiguration(2, "berthbook"));
    first.owner.flush();
    whileStoring.push(...getStarts(first));
  });
  advanceSteps(first, 2);
  t.snapshot({ whileStoring, afterwards: getStarts(first) });
});

// Guards against a queue that waits for good for a record that its service no longer needs.
test("tasks start at once in a service that the record of their queue has", (t) => {
  const first = createFirstOwner(createConfiguration(1, "tugdesk"));
  const setEvacuated = (zones: string[]) =>
    first.owner.setPlannedActions({ evacuatedZones: new Set(zones), waves: new Map() });
  setEvacuated([TUGDESK.zone]);
  submit(first);
  first.advance(() => {
    first.owner.setConfiguration(createConfiguration(2, "berthbook"));
    first.owner.setConfiguration(createConfiguration(3, "tugdesk"));
    setEvacuated([]);
    first.owner.flush();
  });
  t.deepEqual(getStarts(first), ["00000000000000a1.0.0.0 on tugdesk"]);
});

// Guards against a ceiling that leaves out runs at the earlier service of a queue.
test("a task that may run at its queue's earlier service counts against its customer's ceiling", (t) => {
  const first = createFirstOwner(createConfiguration(1, "tugdesk"));
  submit(first);
  advanceSteps(first, 2);
  const next = takeOver(first, createConfiguration(4, "berthbook"));
  for (const executor of [BERTHBOOK, ANCHORLINE]) next.reportNoRuns(executor);
  submit(next, "00000000000000a2");
  advanceSteps(next, 10);
  t.deepEqual(getStarts(next), []);
});

// Guards against an accepted job that no owner can finish, since its queue was removed unrecorded.
test("a job that came in before its queue was known is finished after the queue is removed", (t) => {
  const first = createFirstOwner(createConfiguration(1, undefined));
  submit(first);
  first.advance(() => first.owner.setConfiguration(createConfiguration(2, "tugdesk")));
  advanceSteps(first, 2);
  const next = takeOver(first, createConfiguration(3, undefined));
  for (const executor of EXECUTORS) next.reportNoRuns(executor);
  advanceSteps(next, 2);
  t.snapshot({ first: getStarts(first), next: getStarts(next) });
});
