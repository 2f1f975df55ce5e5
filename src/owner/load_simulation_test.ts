import test from "ava";
import { type LoadSimulationOptions, simulateLoad } from "../platform/stand_in/load_simulation.ts";

/** Four queues with the load and host counts of a real deployment. */
const DEPLOYMENT: Omit<LoadSimulationOptions, "seed"> = {
  queues: [
    {
      name: "tugdesk",
      hosts: 8,
      jobsPerSecond: 5.8,
      steps: 2,
      tasks: 5,
      taskMilliseconds: 640,
      taskCpu: 1_600,
    },
    {
      name: "berthbook",
      hosts: 9,
      jobsPerSecond: 0.6,
      steps: 2,
      tasks: 8,
      taskMilliseconds: 2_100,
      taskCpu: 3_600,
    },
    {
      name: "sidingwatch",
      hosts: 11,
      jobsPerSecond: 7.8,
      steps: 2,
      tasks: 5,
      taskMilliseconds: 640,
      taskCpu: 1_600,
    },
    {
      name: "anchorline",
      hosts: 12,
      jobsPerSecond: 0.7,
      steps: 2,
      tasks: 8,
      taskMilliseconds: 2_100,
      taskCpu: 3_600,
    },
  ],
  spareHosts: 8,
  hostCpu: 32_000,
  peakMilliseconds: 4_500,
  peakFactor: 4,
  arrivalMilliseconds: 36_000,
};

test("queues with alternating load peaks are served in time, also across take-overs", (t) => {
  t.snapshot({
    "no take-over": simulateLoad({ ...DEPLOYMENT, seed: 1 }),
    "two take-overs": simulateLoad({ ...DEPLOYMENT, seed: 1, takeOversAt: [7_000, 21_000] }),
  });
});

/** The demand of a task of which five fit on a host, by the resource that limits them. */
const TASK_DEMANDS = {
  cpu: { taskCpu: 6_400, taskMemory: 5_200 },
  memory: { taskCpu: 1_280, taskMemory: 26_000 },
};

/** Gets the mean fraction of the jobs that meet their objective. */
function getMeanInTime(demand: { taskCpu: number; taskMemory: number }): number {
  const queues = ["tugdesk", "berthbook"].map((name) => ({
    name,
    hosts: 8,
    jobsPerSecond: 1.8,
    steps: 2,
    tasks: 8,
    taskMilliseconds: 800,
    ...demand,
  }));
  const results = [1, 2, 3].flatMap((seed) =>
    Object.values(
      simulateLoad({ ...DEPLOYMENT, queues, spareHosts: 16, arrivalMilliseconds: 18_000, seed })
        .inTime,
    )
  );
  return results.reduce((sum, fraction) => sum + fraction, 0) / results.length;
}

test("a peak of tasks that are limited by memory is served like one that is limited by CPU", (t) => {
  const byCpu = getMeanInTime(TASK_DEMANDS.cpu);
  const byMemory = getMeanInTime(TASK_DEMANDS.memory);
  t.true(byMemory >= byCpu - 0.05, `${byMemory} and ${byCpu} in time`);
});
