/**
 * TWICE: a new version has sent a queue to another service while its tasks run, and then the entry
 * hosts are stopped and started in turn, as planned. No worker is disturbed.
 */

import { delay, runCase, waitFor } from "../stand_ins_2/world.mjs";

const JOB = "00000000000000a1";
const PATH = `/sweeps/${JOB}`;
const KEY = "key-of-mine-office";
const HOSTS = 3;
const TASK_MILLISECONDS = 40_000;
/** The pause between two stops: the site's day trouble-2 has 2 s. */
const GAP_MILLISECONDS = 2_000;

function createConfiguration(version, service) {
  return {
    version,
    routes: [{
      name: "berth-sweep",
      host: "jobs.example",
      pathPrefix: "/sweeps/",
      service,
      priority: 1,
      maxAttempts: 4,
      stretch: 1.6,
      targetLatencyMs: 600,
    }],
    services: [{ name: "berthbook" }, { name: "anchorline" }],
    limits: { maxBodyBytes: 262_144 },
    tenants: [{ name: "mine-office", apiKeys: [KEY], weight: 1, ceiling: {} }],
  };
}

await runCase(new URL("record.txt", import.meta.url), async (world, isTrouble) => {
  const broken = [];
  const starts = [];
  const onStart = (worker, { task, run }, { fence, taskSpec }) => {
    for (const other of world.workers.values()) {
      if (other === worker || !other.running.has(task)) continue;
      broken.push(`TWICE: ${task} started on ${worker.id} while it runs on ${other.id}`);
    }
    starts.push(task);
    world.note(`${worker.id} starts a task`, { task, run, fence, taskSpec });
  };
  const onEnd = (worker, { task, run }, how) =>
    world.note(`${worker.id} ends a task`, { task, run, how });
  const common = { cpu: 32_000, getDuration: () => TASK_MILLISECONDS, onStart, onEnd };
  for (const [number, zone] of ["zl-a", "zl-a", "zl-b", "zl-b", "zl-c", "zl-d"].entries()) {
    await world.startWorker({ id: `w-berthbook-${number}`, service: "berthbook", zone, ...common });
  }
  for (const number of [0, 1]) {
    await world.startWorker({ id: `w-anchorline-${number}`, service: "anchorline", ...common });
  }
  world.publish(createConfiguration(1, "berthbook"));
  await world.startHosts(HOSTS);
  const step = { count: 6, cpu: 3_600, memMb: 7_300, estRuntimeMs: TASK_MILLISECONDS };
  const body = { taskSpec: "sweep the berths", steps: [{ ...step, antiAffinity: 1 }] };
  await world.callUntilDone("POST", PATH, { key: KEY, body });
  await waitFor("all tasks run", () => starts.length === step.count);
  await delay(1_500);
  world.publish(createConfiguration(4, "anchorline"));
  await delay(3_000);
  const restarts = [];
  for (const host of world.hosts) {
    if (isTrouble) restarts.push(host.restart());
    await delay(GAP_MILLISECONDS);
  }
  await Promise.all(restarts);
  await delay(5_000);
  world.note("starts in all", { count: starts.length });
  return broken;
});
