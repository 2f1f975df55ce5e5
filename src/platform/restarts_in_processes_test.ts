import test from "ava";
import { request } from "undici";
import { getRunOptions } from "../tests/run_options.ts";
import { createRandom } from "./stand_in/fleet_simulation.ts";
import { HostProcess } from "./stand_in/host_process.ts";
import { RestartingExecutors } from "./stand_in/restarting_executors.ts";
import { StoreStandIn } from "./stand_in/store_stand_in.ts";

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
const EXECUTORS = 4;
const TASKS = 8;
const JOBS = 16;
const JOB_INTERVAL_MILLISECONDS = 700;
const TASK_MILLISECONDS = 300;
/** The maximum time from a restart to the job after it, in milliseconds. */
const MAXIMUM_LEAD_MILLISECONDS = 200;
/** The maximum time until a restarted executor writes its entry, in milliseconds. */
const MAXIMUM_ENTRY_DELAY_MILLISECONDS = 1_500;
/** The time after which each job must be completed, in milliseconds: several leases. */
const COMPLETION_TIMEOUT_MILLISECONDS = 40_000;

/** How often a caller submits a job. */
const MAXIMUM_ATTEMPTS = 10;
/** The delay before a caller submits a job again, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 300;

const delay = (milliseconds: number) => new Promise((resolve) => setTimeout(resolve, milliseconds));

interface Result {
  /** The tasks that ran twice. */
  violations: string[];
  /** The accepted jobs that were not completed in time, with their last state. */
  open: string[];
  /** The answers to submissions that were not accepted. */
  notAccepted: string[];
}

/** Submits jobs while executors restart, by a schedule that follows from a seed. */
async function play(seed: number): Promise<Result> {
  const random = createRandom(seed);
  const store = StoreStandIn.create();
  const address = await store.listen();
  store.put("keyed.op", "config", CONFIGURATION);
  const executors = RestartingExecutors.create({
    store,
    getRunMilliseconds: () => TASK_MILLISECONDS,
  });
  const ids = Array.from({ length: EXECUTORS }, (_, number) => `i-${number}`);
  for (const id of ids) await executors.start({ id, service: "berthbook" });
  const hosts = [
    await HostProcess.create({ name: "front-1", store: address }),
    await HostProcess.create({ name: "front-2", store: address }),
  ];
  const call = async (host: number, method: "GET" | "POST", job: string, body?: unknown) => {
    const response = await request(`${hosts[host]!.callers}/berths/${job}`, {
      method,
      headers: { host: "berths.example", "deadline-ms": "3000" },
      body: body === undefined ? null : JSON.stringify(body),
    });
    return { status: response.statusCode, text: await response.body.text() };
  };
  // As callers do, repeats a submission that is in doubt or was refused for now.
  const submit = async (host: number, job: string, body: unknown) => {
    let answer = await call(host, "POST", job, body);
    for (let attempt = 2; attempt <= MAXIMUM_ATTEMPTS && answer.status >= 500; attempt += 1) {
      await delay(RETRY_DELAY_MILLISECONDS);
      answer = await call((host + attempt) % 2, "POST", job, body);
    }
    return answer;
  };
  await delay(1_000);
  const jobs: string[] = [];
  const notAccepted: string[] = [];
  for (let number = 0; number < JOBS; number += 1) {
    const id = ids[Math.floor(random() * EXECUTORS)]!;
    const [lead, entryDelay] = [
      random() * MAXIMUM_LEAD_MILLISECONDS,
      random() * MAXIMUM_ENTRY_DELAY_MILLISECONDS,
    ];
    await delay(JOB_INTERVAL_MILLISECONDS - lead);
    await executors.restart(id, { entryDelayMilliseconds: entryDelay, muteMilliseconds: 0 });
    await delay(lead);
    const job = (number + 1).toString(16).padStart(16, "0");
    const step = { count: TASKS, cpu: 2_000, memMb: 100, estRuntimeMs: TASK_MILLISECONDS };
    const answer = await submit(number % 2, job, { taskSpec: "", steps: [step] });
    if (answer.status === 200) jobs.push(job);
    else notAccepted.push(`${job}: ${answer.status} ${answer.text}`);
  }
  const until = performance.now() + COMPLETION_TIMEOUT_MILLISECONDS;
  let open = jobs;
  let states: string[] = [];
  while (open.length > 0 && performance.now() < until) {
    await delay(200);
    const answers = await Promise.all(open.map((job) => call(0, "GET", job)));
    states = answers.filter(({ text }) => !text.includes("completed")).map(({ text }) => text);
    open = open.filter((_, index) => !answers[index]!.text.includes("completed"));
  }
  for (const host of hosts) await host.stop();
  executors.close();
  store.close();
  return {
    violations: executors.history.violations,
    open: open.map((job, index) => `${job}: ${states[index]}`),
    notAccepted,
  };
}

// Guards against runs that the next life of an executor has accepted, and that count as lost while
// nobody polls it: the owner learns of that life from a report long before its entry is listed.
test("no task runs twice while executors restart under their ids and register late", async (t) => {
  const { seed, numRuns } = getRunOptions({ seed: 20261205, numRuns: 1 });
  for (let run = 0; run < numRuns!; run += 1) {
    const result = await play(seed! + run);
    t.deepEqual(result, { violations: [], open: [], notAccepted: [] }, `seed ${seed! + run}`);
  }
});
