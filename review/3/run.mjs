// Executors crash while they are idle and start again at once under their ids, one after the
// other, while clients hand in a job every second. TROUBLE=0: no executor crashes.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { setTimeout as delay } from "node:timers/promises";
import { createJobId, findDoubleRuns, PREFIX, runCase } from "../stand_ins/fleet.mjs";

const EXECUTORS = 7;
const JOBS = 60;
const JOB_INTERVAL_MS = 1_000;
const TASK_MS = 500;
/** How long before a job an executor crashes; the values are used by turns. */
const CRASH_LEAD_MS = [150, 200, 250, 300, 350];

await runCase(dirname(fileURLToPath(import.meta.url)), async (fleet, hasTrouble) => {
  await fleet.startPlatform();
  await fleet.putConfiguration();
  for (let number = 1; number <= EXECUTORS; number += 1) await fleet.startExecutor(number);
  for (let number = 0; number < 2; number += 1) await fleet.startHost(number);
  await fleet.waitUntilReady();
  await delay(4_000);

  const first = Date.now() + 1_000;
  for (let job = 0; job < JOBS; job += 1) {
    const at = first + job * JOB_INTERVAL_MS;
    // Every other job follows a crash, each of another executor.
    if (hasTrouble && job % 2 === 1) {
      const number = 1 + (job >> 1) % EXECUTORS;
      await delay(at - CRASH_LEAD_MS[(job >> 1) % CRASH_LEAD_MS.length] - Date.now());
      await fleet.killExecutor(number);
      void fleet.startExecutor(number);
    }
    await delay(at - Date.now());
    const step = { count: 2 * EXECUTORS, cpu: 1_000, memMb: 256, estRuntimeMs: TASK_MS };
    const body = { taskSpec: `ms=${TASK_MS}`, steps: [step] };
    void fleet.call(job % 2, "POST", PREFIX + createJobId(), { body });
  }
  await delay(4_000);
  return findDoubleRuns(fleet.events).map(({ task, other, event }) =>
    `two runs of ${task} at the same time: run ${other.run} on ${other.executor} and ` +
    `run ${event.run} on ${event.executor} (from ${
      ((event.at - fleet.startedAt) / 1_000).toFixed(3)
    } s)`
  );
});
