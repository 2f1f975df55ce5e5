import test from "ava";
import { request } from "undici";
import type { EntryHost } from "../entry/entry_host.ts";
import { createLoopbackHost } from "../entry/loopback_host.ts";
import { OperatorClient } from "../commands/operator_client.ts";
import { PlatformStandIn } from "../stand_ins/platform_stand_in.ts";
import { WorkerStandIn } from "../stand_ins/worker_stand_in.ts";
import { hashSecret } from "../teams/key_secret.ts";
import type { JobView } from "./job_intake_messages.ts";

const LOOPBACK = { host: "127.0.0.1", port: 0 };
const OPERATOR_KEY = "operator-key-of-the-test";
const SECRET = "s".repeat(32);
const KEY = `k1.${SECRET}`;
const SIZE = { cores: 4, memoryGigabytes: 8, accelerators: 0 };

interface TestFleet {
  platform: PlatformStandIn;
  hosts: EntryHost[];
  workers: WorkerStandIn[];
  callers: string[];
  client: OperatorClient;
}

async function startTestFleet(): Promise<TestFleet> {
  const platform = PlatformStandIn.create({ address: LOOPBACK, maximumEntries: 10_000 });
  const platformAddress = await platform.listen();
  const hosts = ["entry-1", "entry-2"].map((name) => createHost(name, platformAddress));
  const addresses = [await hosts[0]!.start(), await hosts[1]!.start()];
  const [first] = addresses;
  const client = OperatorClient.create({ address: first!.operators, operatorKey: OPERATOR_KEY });
  const workers: WorkerStandIn[] = [];
  for (const name of ["worker-1", "worker-2", "worker-3"]) {
    const worker = WorkerStandIn.create({ name, address: LOOPBACK });
    await client.publish("host-enrolled", {
      host: name,
      kind: "worker",
      pool: "clinics",
      zone: "gh-south-a",
      rack: `rack-${name}`,
      address: await worker.listen(),
      slots: 0,
      connections: 0,
      cores: 16,
      memoryGigabytes: 64,
      accelerators: 0,
    });
    workers.push(worker);
  }
  const teams = [{ team: "clinic", share: 1, upperLimit: 8, taskLimit: 8 }];
  await client.publish("profile-published", { profile: "night", teams });
  await client.publish("profile-picked", { service: "clinics", profile: "night" });
  const secretHash = hashSecret(SECRET);
  const granted = await client.publish("key-granted", { keyId: "k1", team: "clinic", secretHash });
  await client.waitForRollOut(granted.outcome === "judged" ? granted.offset : 0, 5_000);
  const callers = addresses.map((address) => address.callers);
  return { platform, hosts, workers, callers, client };
}

function createHost(name: string, platformAddress: string): EntryHost {
  return createLoopbackHost({
    flags: {
      name,
      zone: "gh-south-a",
      platformAddress,
      operatorKey: OPERATOR_KEY,
      readInterval: "50",
      heartbeatInterval: "50",
    },
  });
}

async function stopTestFleet(testFleet: TestFleet): Promise<void> {
  await Promise.all(testFleet.hosts.map((host) => host.stop()));
  for (const worker of testFleet.workers) worker.close();
  testFleet.platform.close();
}

async function call(
  address: string,
  method: "POST" | "GET" | "DELETE",
  path: string,
  body?: unknown,
) {
  const response = await request(`http://${address}/jobs/${path}`, {
    method,
    headers: { authorization: `Bearer ${KEY}` },
    body: body === undefined ? null : JSON.stringify(body),
  });
  return { status: response.statusCode, body: await response.body.json() as JobView };
}

function createJob(id: string, runMilliseconds: number, changes: object = {}) {
  const payload = JSON.stringify({ runMilliseconds });
  const tasks = [{ size: SIZE, runMilliseconds }, { size: SIZE, runMilliseconds }];
  return { id, payload, tasks, ...changes };
}

/** Polls a value until it equals the expected one. */
async function waitUntil(getValue: () => Promise<string>, expected: string): Promise<void> {
  while (await getValue() !== expected) await new Promise((resolve) => setTimeout(resolve, 50));
}

async function waitForEnd(address: string, jobId: string): Promise<string> {
  let state = "active";
  await waitUntil(async () => {
    const { status, body } = await call(address, "GET", jobId);
    if (status === 200) state = body.state;
    return String(state !== "active");
  }, "true");
  return state;
}

/** Gets the number of runs of each task on all workers. */
function getRuns(workers: readonly WorkerStandIn[]): Record<string, number> {
  const runs: Record<string, number> = {};
  for (const worker of workers) {
    for (const [key, count] of worker.getRunCounts()) {
      const taskId = key.split("#")[0]!;
      runs[taskId] = (runs[taskId] ?? 0) + count;
    }
  }
  return Object.fromEntries(Object.entries(runs).sort());
}

test("each task runs exactly once even if an entry host stops while jobs run", async (t) => {
  const testFleet = await startTestFleet();
  const [first, second] = testFleet.callers as [string, string];
  const ids = ["a", "b", "c", "d", "e", "f"];
  const submitted = await Promise.all(
    ids.map((id, index) =>
      call(index % 2 === 0 ? first : second, "POST", "clinics", createJob(id, 1_500))
    ),
  );
  t.deepEqual(submitted.map(({ status }) => status), ids.map(() => 202));
  const owner = testFleet.hosts.findIndex((host) => "clinics" in getQueues(host));
  await new Promise((resolve) => setTimeout(resolve, 300));
  const stopped = Math.max(owner, 0);
  await testFleet.hosts.splice(stopped, 1)[0]!.stop();
  const remaining = testFleet.callers[1 - stopped]!;
  const states = await Promise.all(ids.map((id) => waitForEnd(remaining, `clinic:${id}`)));
  t.snapshot({ states, runs: getRuns(testFleet.workers) });
  await stopTestFleet(testFleet);
});

function getQueues(host: EntryHost): object {
  return (host.getState()["job-queues"] as { state: object }).state;
}

test("submissions, queries and cancellations get correct answers from both entry hosts", async (t) => {
  const testFleet = await startTestFleet();
  const [first, second] = testFleet.callers as [string, string];
  const large = { size: { ...SIZE, cores: 64 }, runMilliseconds: 1_000 };
  const answers = [
    await call(first, "POST", "clinics", createJob("a", 600_000)),
    await call(second, "POST", "clinics", createJob("a", 600_000)),
    await call(second, "POST", "clinics", createJob("a", 1)),
    await call(first, "POST", "clinics", createJob("b", 1, { tasks: [large] })),
    await call(first, "POST", "clinics", createJob("b c", 1)),
    await call(first, "POST", "nothing", createJob("b", 1)),
    await call(second, "GET", "clinic:b"),
    await call(second, "DELETE", "clinic:b"),
  ];
  await waitUntil(
    async () => (await call(first, "GET", "clinic:a")).body.tasks[0]!.state,
    "running",
  );
  answers.push(await call(second, "DELETE", "clinic:a"));
  const end = await waitForEnd(first, "clinic:a");
  answers.push(await call(first, "DELETE", "clinic:a"));
  t.is(end, "cancelled");
  t.snapshot(answers.map(({ status, body }) => [status, omitTaskStates(body)]));
  await stopTestFleet(testFleet);
});

/** Omits the states of the tasks, which depend on timing. */
function omitTaskStates(body: JobView): object {
  return { ...body, tasks: body.tasks?.length };
}
