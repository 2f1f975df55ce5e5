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
