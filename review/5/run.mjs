// A client hands in a job of 10,000 short tasks. TROUBLE=0: the same tasks in 20 jobs.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { setTimeout as delay } from "node:timers/promises";
import { createJobId, PREFIX, runCase } from "../stand_ins/fleet.mjs";

const EXECUTORS = 7;
const TASKS = 10_000;
const PARTS = 20;
const CANCELS = 10;
const ACK_MS = 4_000;
const CANCEL_TRIES = 4;
const HOSTS = 2;

await runCase(dirname(fileURLToPath(import.meta.url)), async (fleet, hasTrouble) => {
  await fleet.startPlatform();
  await fleet.putConfiguration();
  for (let number = 1; number <= EXECUTORS; number += 1) await fleet.startExecutor(number);
  for (let number = 0; number < HOSTS; number += 1) await fleet.startHost(number);
  await fleet.waitUntilReady();
  await delay(4_000);

  const submit = async (taskSpec, step) => {
    const id = createJobId();
    const answer = await fleet.call(0, "POST", PREFIX + id, { body: { taskSpec, steps: [step] } });
    return answer.status === 200 ? id : undefined;
  };
  const lasting = [];
  for (let job = 0; job < CANCELS; job += 1) {
    lasting.push(await submit("ms=lasting", { count: 1, cpu: 100, memMb: 64, longRunning: true }));
  }
  const jobs = hasTrouble ? 1 : PARTS;
  const step = { count: TASKS / jobs, cpu: 10, memMb: 4, estRuntimeMs: 100 };
  for (let job = 0; job < jobs; job += 1) await submit("ms=100", step);

  // Waits until no task has ended for five seconds.
  const getEnds = () => fleet.events.filter(({ event }) => event === "end");
  for (let waited = 0; waited < 50; waited += 1) {
    await delay(1_000);
    const last = getEnds().at(-1)?.at ?? 0;
    if (getEnds().length > 100 && Date.now() - last > 5_000) break;
  }
  const broken = [];
  const noted = new Set(
    fleet.events.filter(({ event }) => event === "noted").map(({ task, run }) => `${task}/${run}`),
  );
  const ends = getEnds();
  const unnoted = ends.filter(({ task, run }) => !noted.has(`${task}/${run}`)).length;
  fleet.record(`${ends.length} ends were listed, the last one over 5 s ago; ${unnoted} not noted`);
  if (unnoted > ends.length / 5) {
    broken.push(`${unnoted} of ${ends.length} ends aren't taken note of`);
  }
  const answers = await Promise.all(lasting.map((id) => cancel(fleet, id)));
  const missing = answers.filter((isAcknowledged) => !isAcknowledged).length;
  fleet.record(`${missing} of ${CANCELS} cancels of accepted jobs have no 2xx or 410`);
  if (missing >= 3 && missing > CANCELS / 10) {
    broken.push(`${missing} of ${CANCELS} cancels have no 2xx or 410 after ${CANCEL_TRIES} tries`);
  }
  // Not part of the check: shows that no other job is accepted either.
  await submit("ms=100", { count: 1, cpu: 100, memMb: 64, estRuntimeMs: 100 });
  return broken;
});

/** Cancels a job as clients do, again after each answer that leaves it open. */
async function cancel(fleet, id) {
  for (let attempt = 0; attempt < CANCEL_TRIES; attempt += 1) {
    const { status } = await fleet.call(attempt % HOSTS, "DELETE", PREFIX + id, {
      timeoutMs: ACK_MS,
    });
    if (status === 200 || status === 410) return true;
    await delay(500);
  }
  return false;
}
