/**
 * GANG: a worker that runs a member of a gang is lost for good. The members are started again from
 * different checkpoints.
 */

import { BOUNDS, delay, runCase, waitFor } from "../stand_ins_2/world.mjs";
import { GangFloor } from "../stand_ins_2/gang_floor.mjs";

const JOB = "00000000000000d1";
const PATH = `/sweeps/${JOB}`;
const KEY = "key-of-mine-office";
const SIZE = 3;
const WORKERS = 8;
const WORK_MILLISECONDS = 12_000;
const CHECKPOINT_MILLISECONDS = 500;
/** The bounds in which softfill-accra differs from mbl-richards. */
const SITE_BOUNDS = { ...BOUNDS, stopMs: 400, farX: 2, checkpointS: 0.5, restoreMs: 250 };

const CONFIGURATION = {
  version: 1,
  routes: [{
    name: "berth-sweep",
    host: "jobs.example",
    pathPrefix: "/sweeps/",
    service: "berthbook",
    priority: 1,
    maxAttempts: 4,
    stretch: 1.6,
    targetLatencyMs: 600,
  }],
  services: [{ name: "berthbook" }],
  limits: { maxBodyBytes: 262_144 },
  tenants: [{ name: "mine-office", apiKeys: [KEY], weight: 1, ceiling: {} }],
};

await runCase(new URL("record.txt", import.meta.url), async (world, isTrouble) => {
  const broken = [];
  const done = new Set();
  let lostAt = Infinity;
  const onStart = (worker, { task, run, checkpoint }, { fence }) =>
    world.note(`${worker.id} starts a task`, { task, run, fence, lastCheckpoint: checkpoint });
  const onEnd = (worker, { task, run, checkpoint }, how) => {
    world.note(`${worker.id} ends a task`, { task, run, how, startedFrom: checkpoint });
    if (how === "done") done.add(task);
    if (how === "alone" && performance.now() - lostAt > BOUNDS.contactMs) {
      broken.push(`GANG: run ${run} of ${task} ends alone`);
    }
  };
  const gangFloor = new GangFloor({
    size: SIZE,
    workMilliseconds: WORK_MILLISECONDS,
    waitMilliseconds: BOUNDS.gangWaitMs,
    checkpointMilliseconds: CHECKPOINT_MILLISECONDS,
  });
  for (let number = 1; number <= WORKERS; number += 1) {
    const id = `w-${number}`;
    await world.startWorker({ id, service: "berthbook", cpu: 32_000, gangFloor, onStart, onEnd });
  }
  world.publish(CONFIGURATION);
  await world.startHosts(3, SITE_BOUNDS);
  const body = {
    taskSpec: "sweep the berths",
    steps: [{
      count: SIZE,
      cpu: 20_000,
      memMb: 7_300,
      estRuntimeMs: WORK_MILLISECONDS,
      gang: true,
      checkpointing: true,
    }],
  };
  await world.callUntilDone("POST", PATH, { key: KEY, body });
  const getBusy = () => [...world.workers.values()].filter(({ running }) => running.size > 0);
  await waitFor("the gang runs", () => getBusy().length === SIZE);
  await delay(4_800);
  if (isTrouble) {
    lostAt = performance.now();
    world.lose(getBusy()[0].id);
  }
  // The gang's work and, after a loss, the time until it is noticed, several times over.
  const until = performance.now() + 40_000;
  while (done.size < SIZE && performance.now() < until) await delay(100);
  await world.call(world.hosts[0], "GET", PATH, { key: KEY });
  world.note("members done", { count: done.size });
  return broken;
});
