/**
 * TWICE: a worker crashes, is back under its id at once and leaves what it is told unanswered for a
 * while. A job that lasts is handed in meanwhile, and the owner's host is restarted as planned.
 */

import { delay, runCase, waitFor } from "../stand_ins_2/world.mjs";

const KEY = "key-of-mine-office";
const PATH = "/plans/00000000000000e1";
/** One of ten workers, a share of 0.1, is disturbed. */
const WORKERS = 10;
/** How long the workers have run before, in milliseconds: longer than the longest lease. */
const UPTIME_MILLISECONDS = 12_000;
const MUTE_MILLISECONDS = 5_500;

const CONFIGURATION = {
  version: 1,
  routes: [{
    name: "week-plan",
    host: "jobs.example",
    pathPrefix: "/plans/",
    service: "berthbook",
    priority: 0,
    maxAttempts: 2,
    stretch: 2.2,
    targetLatencyMs: 2_500,
  }],
  services: [{ name: "berthbook" }],
  limits: { maxBodyBytes: 262_144 },
  tenants: [{ name: "mine-office", apiKeys: [KEY], weight: 1, ceiling: {} }],
};

await runCase(new URL("record.txt", import.meta.url), async (world, isTrouble) => {
  const broken = [];
  const started = new Set();
  const onStart = (worker, { task, run }, { fence, deadlineMs }) => {
    for (const other of world.workers.values()) {
      if (other === worker || !other.running.has(task)) continue;
      broken.push(`TWICE: ${task} started on ${worker.id} while it runs on ${other.id}`);
    }
    started.add(task);
    world.note(`${worker.id} starts a task`, { task, run, fence, deadlineMs });
  };
  const onEnd = (worker, { task, run }, how) =>
    world.note(`${worker.id} ends a task`, { task, run, how });
  const common = {
    service: "berthbook",
    cpu: 32_000,
    getDuration: () => Infinity,
    onStart,
    onEnd,
  };
  for (let number = 1; number <= WORKERS; number += 1) {
    await world.startWorker({ id: `w-${number}`, ...common });
  }
  world.publish(CONFIGURATION);
  await world.startHosts(3);
  await delay(UPTIME_MILLISECONDS);
  if (isTrouble) await world.restartWorker("w-1", MUTE_MILLISECONDS);
  await delay(200);
  const step = { count: WORKERS, cpu: 3_000, memMb: 5_000, estRuntimeMs: 60_000 };
  const body = { taskSpec: "plan the week", steps: [{ ...step, longRunning: true }] };
  await world.callUntilDone("POST", PATH, { key: KEY, body });
  await waitFor("all tasks have started", () => started.size === WORKERS);
  await delay(1_000);
  const owner = await world.findOwner();
  const restart = owner.restart();
  await delay(8_000);
  await restart;
  return broken;
});
