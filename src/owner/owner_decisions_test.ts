import test from "ava";
import { Configuration } from "../fleet/configuration.ts";
import { Job, type JobStep, TaskState } from "../fleet/job.ts";
import { Executor } from "../fleet/executor.ts";
import { type Run, RunStage } from "../fleet/run.ts";
import { ArrivalMeter } from "./arrival_meter.ts";
import { DurationEstimator } from "./duration_estimator.ts";
import { FleetState } from "./fleet_state.ts";
import {
  compareRanks,
  createArrivalRanking,
  createUrgencyRanking,
  type RankStep,
} from "./step_ranking.ts";
import { isDisruptionAllowed } from "./disruption_budget.ts";
import { createOwnerPorts } from "../stand_ins/owner_ports_fixture.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { OrderOutcome, type OwnerPorts, type PaceOrder } from "./owner_ports.ts";
import { getNextPace, PaceControl } from "./pace_control.ts";
import { getHostsNeeded, type PoolLoad } from "./pool_need.ts";
import { ShareMeter } from "./share_meter.ts";
import { createListedExecutor, createQueue, JOB_LIMITS } from "../stand_ins/fleet_fixtures.ts";

const STEP = createStepSpecification({ demand: { cpu: 1_000, memory: 100, accelerators: 0 } });

function createRun(task: string): Run {
  return {
    task,
    number: 1,
    executorId: "i-1",
    stage: RunStage.Running,
    orderedAt: 0,
    confirmedAt: 0,
    isReported: false,
    isLeaseKnown: false,
    startDeadline: 0,
    percent: 100,
    progressedAt: 0,
    pace: 100,
    isPaceKnown: true,
    pacedAt: 0,
    usage: 0,
  };
}

function createState(fence = 1, observed: Partial<OwnerPorts> = {}): FleetState {
  const ports = createOwnerPorts(observed);
  const limits = {
    retentionMilliseconds: 1,
    stopMilliseconds: 900,
    longestLeaseMilliseconds: 10_000,
    jobLimits: JOB_LIMITS,
    earlierLeases: { reckonedMilliseconds: 0, longestMilliseconds: 0 },
    offRackFactor: 1,
  };
  const state = FleetState.create({ fence, limits, ports, log: () => {}, startedAt: 0 });
  state.setConfiguration(Configuration.create({
    version: 1,
    queues: [createQueue()],
    services: [],
    customers: [],
    largestBodyBytes: 1,
  }));
  return state;
}

function createStep(id: string, acceptedAt: number, exceedsFairShare = false): JobStep {
  const specification = {
    text: "",
    steps: [STEP],
    repeats: 0,
    firstAt: 0,
    intervalMilliseconds: 0,
  };
  const job = Job.create({ id, queue: "tugs", customer: "", specification, acceptedAt });
  job.exceedsFairShare = exceedsFairShare;
  return job.addOccurrence(0, TaskState.Waiting)[0]!;
}

/**
 * Simulates a load of twice the pool's capacity and then of half of it, and counts the jobs that meet
 * their objective.
 */
function simulatePeak(createRanking: (state: FleetState) => RankStep) {
  const state = createState();
  const rank = createRanking(state);
  const waiting: JobStep[] = [];
  const counts = { inObjective: 0, late: 0, longestWait: 0 };
  const objective = 1.6 * STEP.estimatedMilliseconds + 600;
  let number = 0;
  for (let now = 0; now < 20_000; now += 50) {
    state.timeOfDay = now;
    const gap = now < 6_000 ? 50 : 200;
    if (now < 12_000 && now % gap === 0) waiting.push(createStep(`j${number++}`, now));
    // Five tasks of 500 ms in parallel allow one start every 100 ms.
    if (now % 100 !== 0) continue;
    waiting.sort((first, second) => compareRanks(rank(first), rank(second)));
    const step = waiting.shift();
    if (step === undefined) continue;
    const wait = now - step.job.acceptedAt;
    counts.longestWait = Math.max(counts.longestWait, wait);
    if (wait + STEP.estimatedMilliseconds <= objective) counts.inObjective += 1;
    else counts.late += 1;
  }
  return counts;
}

test("at a load beyond the pool's capacity, urgency ranking serves more jobs in time than arrival ranking", (t) => {
  const arrival = simulatePeak(createArrivalRanking);
  const urgency = simulatePeak((state) => createUrgencyRanking(state, DurationEstimator.create()));
  t.snapshot({ arrival, urgency });
  t.true(urgency.inObjective > 1.5 * arrival.inObjective);
  t.is(urgency.inObjective + urgency.late, arrival.inObjective + arrival.late);
});

test("jobs beyond their customer's fair share rank after jobs within another customer's", (t) => {
  const state = createState();
  state.timeOfDay = 100;
  const rank = createUrgencyRanking(state, DurationEstimator.create());
  const steps = [createStep("beyond", 0, true), createStep("within", 90), createStep("first", 10)];
  steps.sort((first, second) => compareRanks(rank(first), rank(second)));
  t.deepEqual(steps.map((step) => step.job.id), ["first", "within", "beyond"]);
});

test("a customer's fair share is its weight in jobs per second, with a burst of one second", (t) => {
  const meter = ShareMeter.create();
  const times = [0, 0, 0, 500, 600, 2_000, 2_000, 2_000];
  t.deepEqual(times.map((now) => meter.exceedsFairShare("mine", 2, now)), [
    false,
    false,
    true,
    false,
    true,
    false,
    false,
    true,
  ]);
});

test("duration estimates follow the estimator with the smaller error", (t) => {
  const durationEstimator = DurationEstimator.create();
  const step = createStep("a", 0);
  const before = durationEstimator.estimateMilliseconds(step);
  for (const milliseconds of [1_000, 1_040, 980, 1_010, 1_000]) {
    durationEstimator.add(step, milliseconds);
  }
  const long = { ...STEP, estimatedMilliseconds: 5_000 };
  t.snapshot({
    before,
    same: durationEstimator.estimateMilliseconds(step),
    long: durationEstimator.estimateMilliseconds({ ...step, specification: long }),
  });
});

test("the arrival forecast follows the trend and spreads CPU time over the critical path", (t) => {
  const meter = ArrivalMeter.create();
  const forecasts: number[] = [];
  const memoryForecasts: number[] = [];
  for (let now = 0; now <= 6_000; now += 500) {
    if (now >= 2_000 && now < 4_000) {
      meter.add({
        service: "tugdesk",
        resourceMilliseconds: { cpu: 2_000_000, memory: 1_000_000, accelerators: 0 },
        criticalPathMilliseconds: 1_000,
        now,
      });
    }
    const forecast = meter.getForecast("tugdesk", now);
    forecasts.push(Math.round(forecast.cpu));
    memoryForecasts.push(Math.round(forecast.memory));
  }
  t.snapshot(forecasts);
  t.deepEqual(memoryForecasts, forecasts.map((cpu) => Math.round(cpu / 2)));
});

test("a pool needs hosts for its load, its arrivals and its long-running tasks", (t) => {
  const policy = {
    backlogMilliseconds: 1_000,
    usableFraction: 0.9,
    plannedUtilization: 0.75,
    spareHosts: 1,
    minimumHosts: 2,
  };
  const idleResource = {
    used: 0,
    waiting: 0,
    waitingMilliseconds: 0,
    forecast: 0,
    longRunning: 0,
    hostCapacity: 32_000,
  };
  const idle: PoolLoad = {
    cpu: idleResource,
    memory: idleResource,
    minimumLongRunningExecutors: 0,
  };
  const cpuLoads = {
    lasting: { used: 13_000, longRunning: 13_000 },
    shortBacklog: { used: 60_000, waiting: 90_000, waitingMilliseconds: 20_000_000 },
    longBacklog: { used: 60_000, waiting: 90_000, waitingMilliseconds: 900_000_000 },
    peak: { used: 60_000, forecast: 400_000, longRunning: 13_000 },
  };
  const loads: Record<string, PoolLoad> = { idle };
  for (const [name, load] of Object.entries(cpuLoads)) {
    const minimumLongRunningExecutors = name === "lasting" ? 5 : 0;
    loads[name] = { ...idle, minimumLongRunningExecutors, cpu: { ...idleResource, ...load } };
    const byMemory = { ...loads[name], cpu: idleResource, memory: loads[name].cpu };
    t.is(getHostsNeeded(byMemory, policy), getHostsNeeded(loads[name], policy));
  }
  t.snapshot(Object.fromEntries(
    Object.entries(loads).map(([name, load]) => [name, getHostsNeeded(load, policy)]),
  ));
});

test("a new owner stops no long-running task while a stop order of an earlier owner may be in flight", (t) => {
  const longRunning = { ...STEP, count: 2, isLasting: true, mostAway: 1 };
  const isAllowed = [1, 2].map((fence) => {
    const state = createState(fence);
    const specification = { ...createStep("x", 0).job.specification, steps: [longRunning] };
    const job = Job.create({ id: "j", queue: "tugs", customer: "", specification, acceptedAt: 0 });
    const step = job.addOccurrence(0, TaskState.Unknown)[0]!;
    const executor = Executor.create(createListedExecutor({ capacity: STEP.demand }));
    state.executors.set(executor.id, executor);
    for (const task of step.tasks) state.addRun(executor, { task, run: createRun(task.name) });
    return [100, 1_500, 2_500].map((now) => {
      state.now = now;
      return isDisruptionAllowed(state, step.tasks[0]!);
    });
  });
  t.deepEqual(isAllowed, [[true, true, true], [false, false, true]]);
});

test("the pace of fillers is halved at high latency and raised slowly at low latency", (t) => {
  const latencyRatios = [1.2, 1.2, 1.2, 1.2, 0.95, 0.8, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5];
  const paces: number[] = [];
  let pace = 100;
  for (const latencyRatio of latencyRatios) paces.push(pace = getNextPace(pace, latencyRatio));
  t.deepEqual(paces, [50, 25, 12, 6, 0, 0, 15, 30, 45, 60, 75, 90, 100, 100]);
});

test("a pace order is repeated until it is answered, and while latency is high", (t) => {
  const orders: (PaceOrder & { at: number })[] = [];
  const state = createState(1, { pace: (order) => orders.push({ ...order, at: state.now }) });
  const executor = Executor.create(createListedExecutor({ capacity: STEP.demand }));
  state.executors.set(executor.id, executor);
  const specifications = [{ tailMilliseconds: 100 }, { isFiller: true }];
  const steps = specifications.map((parts) => createStepSpecification(parts));
  const job = Job.create({
    id: "j",
    queue: "tugs",
    customer: "",
    specification: { text: "", steps, repeats: 0, firstAt: 0, intervalMilliseconds: 0 },
    acceptedAt: 0,
  });
  const [serving] = job.addOccurrence(0, TaskState.Waiting).map(({ tasks }) => {
    const run = { ...createRun(tasks[0]!.name), pace: 50, isPaceKnown: false };
    state.addRun(executor, { task: tasks[0]!, run });
    return run;
  });
  const pace = PaceControl.create(state);
  const advance = (usage: number, isAnswered: boolean) => {
    serving!.usage = usage;
    const end = state.now + 2_000;
    while (state.now < end) {
      state.now += 100;
      executor.polledAt = state.now;
      const sent = orders.length;
      pace.tick();
      if (!isAnswered) continue;
      for (const order of orders.slice(sent)) {
        pace.handleAnswer(order, { outcome: OrderOutcome.Done });
      }
    }
  };
  advance(80, false);
  advance(80, true);
  advance(120, true);
  advance(120, false);
  advance(120, true);
  t.snapshot(orders.map(({ at, percent }) => `${at} ms: ${percent}%`));
});
