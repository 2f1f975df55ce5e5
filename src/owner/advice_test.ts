import test from "ava";
import { Configuration } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { createStepSpecification } from "../stand_ins/step_samples.ts";
import { FleetOwner } from "./fleet_owner.ts";
import { EarlierHostOrders } from "./host_order_records.ts";
import { OrderOutcome, type OwnerPorts, type StartOrder } from "./owner_ports.ts";
import { CAPACITY_TERMS } from "./pool_need.ts";

const EXECUTOR: ExecutorEntry = {
  id: "i-1",
  born: 1,
  service: "tugdesk",
  address: "10.0.0.1:80",
  zone: "zl-a",
  labels: [],
  capacity: { cpu: 8_000, memory: 16_000, accelerators: 0 },
  isDraining: false,
};

const CONFIGURATION = Configuration.create({
  version: 1,
  queues: [{
    name: "tugs",
    host: "h",
    pathPrefix: "/",
    service: "tugdesk",
    priority: 0,
    attemptLimit: 4,
    stretch: 1.6,
    objectiveMilliseconds: 600,
    isPublic: true,
    advice: { decideMilliseconds: 1, eachMilliseconds: 1, validMilliseconds: 9_000 },
  }],
  services: [{ name: "tugdesk", isGuarded: false, isSpare: false }],
  customers: [],
  largestBodyBytes: 1,
});

/** Creates an owner with one executor that answers, and gets what the owner orders. */
function createOwner() {
  const ignore = () => {};
  const starts: StartOrder[] = [];
  const asked: string[] = [];
  let stored: (() => void)[] = [];
  const ports: OwnerPorts = {
    start: (order) => starts.push(order),
    stop: ignore,
    pace: ignore,
    look: ignore,
    askAdvice: (step) => asked.push(step),
    listHosts: ignore,
    maintain: ignore,
    move: ignore,
    writeStatus: ignore,
    write: (_, onStored) => stored.push(onStored),
  };
  const owner = FleetOwner.create({
    fence: 1,
    limits: {
      rememberMilliseconds: 1_000,
      stopMilliseconds: 900,
      earlierLeaseMilliseconds: 0,
      farFactor: 1,
    },
    ports,
    log: ignore,
    startedAt: 0,
    timeOfDay: 0,
    configuration: CONFIGURATION,
    jobs: [],
    executors: [EXECUTOR],
    stored: [],
    capacityTerms: CAPACITY_TERMS,
    earlierHostOrders: EarlierHostOrders.create({
      stored: [],
      previousClaim: undefined,
      leaseMilliseconds: 1,
      startedAt: 0,
    }),
    maintenanceMilliseconds: 0,
    doubtMilliseconds: 0,
  });
  let now = 0;
  const advance = (act: () => void) => {
    now += 25;
    owner.setMoment({
      now,
      timeOfDay: now,
      renewal: 1,
      mayStart: true,
      mayExtend: true,
      leaseMilliseconds: 3_000,
    });
    act();
    owner.tick();
    owner.settle();
    const callbacks = stored;
    stored = [];
    for (const callback of callbacks) callback();
  };
  return { owner, starts, asked, advance };
}

test("a ticket that an executor does not take is not tried again, and advice is asked anew", (t) => {
  const { owner, starts, asked, advance } = createOwner();
  const report = { born: 1, executorTime: 10, running: [], ended: [] };
  advance(() => owner.handleLookAnswer("i-1", 10, { outcome: OrderOutcome.Done, report }));
  const specification = {
    text: "",
    steps: [createStepSpecification()],
    repeats: 0,
    firstAt: 0,
    intervalMilliseconds: 0,
  };
  advance(() => owner.submit({ id: "job", queue: "tugs", customer: "", specification }, () => {}));
  const advise = (ticket: string) =>
    advance(() =>
      owner.handleAdvice("job.0.0", ["i-1"], { good: [["i-1", ticket]], validMilliseconds: 9_000 })
    );
  advance(() => {});
  advise("first");
  const [start] = starts;
  advance(() =>
    owner.handleStartAnswer("i-1", start!.task, start!.run, { outcome: OrderOutcome.NoTicket })
  );
  advance(() => {});
  advise("second");
  t.deepEqual(starts.map(({ ticket }) => ticket), ["first", "second"]);
  t.deepEqual(asked, ["job.0.0", "job.0.0"]);
});
