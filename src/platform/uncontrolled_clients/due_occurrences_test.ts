import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { HostProcess } from "../stand_in/host_process.ts";
import { RestartingExecutors } from "../stand_in/restarting_executors.ts";
import { StoreStandIn } from "../stand_in/store_stand_in.ts";

const CONFIGURATION = {
  version: 1,
  routes: [{
    name: "r-1",
    host: "berths.example",
    pathPrefix: "/berths/",
    service: "berthbook",
    maxAttempts: 4,
    public: true,
  }],
  services: [{ name: "berthbook" }],
};
const EXECUTORS = 3;
const TASK_MILLISECONDS = 300;
/** The heap of a host, in megabytes: less than all due occurrences take. */
const HEAP_MEGABYTES = 100;
const REPEATING_JOBS = 8;
const OCCURRENCES = 28_000;
const INTERVAL_MILLISECONDS = 100;
const ATTEMPT_MILLISECONDS = 3_000;
const RETRY_DELAY_MILLISECONDS = 200;
/** How long an ordinary job may take: a bound for the test run, not for the hosts. */
const COMPLETION_MILLISECONDS = 30_000;

async function call(host: HostProcess, method: "GET" | "POST", job: string, body?: unknown) {
  try {
    const response = await request(`${host.callers}/berths/${job}`, {
      method,
      headers: { host: "berths.example", "deadline-ms": String(ATTEMPT_MILLISECONDS) },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(2 * ATTEMPT_MILLISECONDS),
    });
    return { status: response.statusCode, text: await response.body.text() };
  } catch (error) {
    return { status: 0, text: String(error) };
  }
}

/** Submits a job of one task until it is accepted, and waits until it is completed. */
async function executeOrdinaryJob(host: HostProcess, job: string): Promise<boolean> {
  const step = { count: 1, cpu: 500, memMb: 100, estRuntimeMs: TASK_MILLISECONDS };
  const until = performance.now() + COMPLETION_MILLISECONDS;
  let isAccepted = false;
  while (performance.now() < until) {
    if (isAccepted) {
      const { text } = await call(host, "GET", job);
      if (text.includes("completed")) return true;
    } else {
      const { status } = await call(host, "POST", job, { taskSpec: "", steps: [step] });
      isAccepted = status === 200;
    }
    await delay(RETRY_DELAY_MILLISECONDS);
  }
  return false;
}

function isAlive(host: HostProcess): boolean {
  try {
    process.kill(host.processId, 0);
    return true;
  } catch {
    return false;
  }
}

// Guards against due occurrences that end the process of each owner in turn by its heap limit.
test("due occurrences of several jobs end no owner, and ordinary jobs are executed beside them", async (t) => {
  const store = StoreStandIn.create();
  const address = await store.listen();
  store.put("keyed.op", "config", CONFIGURATION);
  const executors = RestartingExecutors.create({
    store,
    getRunMilliseconds: () => TASK_MILLISECONDS,
  });
  for (let number = 0; number < EXECUTORS; number += 1) {
    await executors.start({ id: `i-${number}`, service: "berthbook" });
  }
  const hosts: HostProcess[] = [];
  t.teardown(async () => {
    for (const host of hosts) await host.stop();
    executors.close();
    store.close();
  });
  const runtimeArguments = [`--max-old-space-size=${HEAP_MEGABYTES}`];
  const createHost = async (name: string, memoryMb: number) => {
    const host = await HostProcess.create({
      name,
      store: address,
      limits: { memoryMb },
      runtimeArguments,
    });
    hosts.push(host);
    return host;
  };
  const first = await createHost("front-1", 250);
  t.true(await executeOrdinaryJob(first, "00000000000000a1"), "before the repeating jobs");
  const second = await createHost("front-2", 160);
  const repeating = {
    taskSpec: "tally",
    steps: [{ count: 1, cpu: 1_000, memMb: 100, estRuntimeMs: TASK_MILLISECONDS }],
    repeats: OCCURRENCES,
    firstRunMs: Date.now() - OCCURRENCES * INTERVAL_MILLISECONDS,
    intervalMs: INTERVAL_MILLISECONDS,
  };
  const statuses: number[] = [];
  for (let number = 0; number < REPEATING_JOBS; number += 1) {
    const job = (0xb0 + number).toString(16).padStart(16, "0");
    statuses.push((await call(first, "POST", job, repeating)).status);
  }
  t.deepEqual(statuses, statuses.map(() => 200));
  t.true(await executeOrdinaryJob(first, "00000000000000a2"), "beside the backlog");
  t.true(isAlive(first) && isAlive(second), "a process has ended");
  first.signal("SIGKILL");
  await first.waitForExit();
  t.true(await executeOrdinaryJob(second, "00000000000000a3"), "after a take-over");
  t.true(isAlive(second), "the process of the next owner has ended");
  t.deepEqual(executors.history.violations, []);
});
