// The platform's store is down for 4.5 s while two executors run many light tasks. TROUBLE=0: the
// store is up.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { setTimeout as delay } from "node:timers/promises";
import {
  createJobId,
  findRepeatedTasks,
  PREFIX,
  runCase,
  sendRequest,
} from "../stand_ins/fleet.mjs";

const EXECUTORS = 2;
const JOBS = 3;
const TASKS = 2_000;
const TASK_MS = 1_000;
const CALM_MS = 2_500;
const OUTAGE_MS = 4_500;
const AFTER_MS = 8_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (fleet, hasTrouble) => {
  await fleet.startPlatform();
  await fleet.putConfiguration();
  for (let number = 1; number <= EXECUTORS; number += 1) await fleet.startExecutor(number);
  for (let number = 0; number < 2; number += 1) await fleet.startHost(number);
  await fleet.waitUntilReady();
  await delay(4_000);

  const step = { count: TASKS, cpu: 25, memMb: 16, estRuntimeMs: TASK_MS };
  for (let job = 0; job < JOBS; job += 1) {
    const body = { taskSpec: `ms=${TASK_MS}`, steps: [step] };
    void fleet.call(job % 2, "POST", PREFIX + createJobId(), { body });
  }
  await delay(CALM_MS);
  if (hasTrouble) {
    fleet.record(`the store answers 503 for ${OUTAGE_MS} ms`);
    const body = JSON.stringify({ milliseconds: OUTAGE_MS });
    await sendRequest(fleet.store, "POST", "/control/busy", {}, body, 2_000);
  }
  await delay(OUTAGE_MS + AFTER_MS);
  return findRepeatedTasks(fleet.events).map(({ task, done, event }) =>
    `${task} was started again (run ${event.run} on ${event.executor} at ` +
    `${
      ((event.at - fleet.startedAt) / 1_000).toFixed(3)
    } s) after run ${done.run} on ${done.executor} ` +
    `had ended done at ${
      ((done.at - fleet.startedAt) / 1_000).toFixed(3)
    } s, an end that is taken note of`
  );
});
