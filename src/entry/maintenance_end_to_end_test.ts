import { PassThrough } from "node:stream";
import test from "ava";
import { createCommandLine } from "../commands/command_line.ts";
import { request } from "undici";
import { OperatorClient } from "../commands/operator_client.ts";
import { createListedExecutor } from "../commands/stand_in_commands.ts";
import { getFirstByRendezvous } from "../contracts/rendezvous.ts";
import type { HostData } from "../machines/host_data.ts";
import type { MaintenanceProgress } from "../pools/maintenance_progress.ts";
import { ExecutorStandIn } from "../stand_ins/executor_stand_in.ts";
import { PlatformStandIn } from "../stand_ins/platform_stand_in.ts";
import type { EntryHost } from "./entry_host.ts";
import { createLoopbackHost } from "./loopback_host.ts";

const OPERATOR_KEY = "operator-key-of-the-test";
const LOOPBACK = { host: "127.0.0.1", port: 0 };
const ZONES = ["gh-south-a", "gh-south-b", "gh-south-c"];
const BUDGET = 2;
const PROFILE = {
  profile: "rooms",
  isOpenQueue: true,
  longestRunMilliseconds: 3_000,
  teams: [{ team: "open", share: 1, upperLimit: 24 }],
};

interface Fixture {
  platform: PlatformStandIn;
  executors: ExecutorStandIn[];
  /** The entry hosts. */
  hosts: {
    host: EntryHost;
    name: string;
    callerAddress: string;
    operatorAddress: string;
    client: OperatorClient;
  }[];
}

async function startEntryHost(
  name: string,
  platformAddress: string,
): Promise<Fixture["hosts"][0]> {
  const host = createLoopbackHost({
    flags: {
      name,
      zone: ZONES[0]!,
      platformAddress,
      operatorKey: OPERATOR_KEY,
      readInterval: "50",
      heartbeatInterval: "50",
      maintenanceInterval: "50",
      longestReboot: "2000",
      capacityInterval: "20",
      balancerDelay: "0",
    },
  });
  const { callers: callerAddress, operators: operatorAddress } = await host.start();
  const client = OperatorClient.create({ address: operatorAddress, operatorKey: OPERATOR_KEY });
  return { host, name, callerAddress, operatorAddress, client };
}

async function startFixture(): Promise<Fixture> {
  const platform = PlatformStandIn.create({ address: LOOPBACK, maximumEntries: 100_000 });
  platform.setFaults({ rebootMilliseconds: 150 });
  const address = await platform.listen();
  const entryHosts = await Promise.all(
    ["one", "two", "three"].map((name) => startEntryHost(name, address)),
  );
  const client = entryHosts[0]!.client;
  const executors: ExecutorStandIn[] = [];
  for (let index = 0; index < 6; index += 1) {
    const name = `hotels-${index + 1}`;
    const executor = ExecutorStandIn.create({ name, address: LOOPBACK, serviceMilliseconds: 20 });
    const zone = ZONES[index % 3]!;
    const listed = createListedExecutor({
      name,
      pool: "hotels",
      zone,
      address: await executor.listen(),
    });
    platform.hosts.register(listed);
    await publish(client, "host-enrolled", listed);
    executors.push(executor);
  }
  await publish(client, "profile-published", PROFILE);
  await publish(client, "profile-picked", { service: "hotels", profile: "rooms" });
  await publish(client, "budget-set", { scope: "pool", name: "hotels", mostAway: BUDGET });
  return { platform, executors, hosts: entryHosts };
}

async function publish(client: OperatorClient, kind: string, body: unknown): Promise<string> {
  const response = await client.publish(kind, body);
  if (response.outcome !== "judged") return response.reason;
  await client.waitForRollOut(response.offset, 5_000);
  return `${response.verdict.outcome} ${response.verdict.reason}`.trim();
}

async function waitFor(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!await condition()) await new Promise((resolve) => setTimeout(resolve, 30));
}

async function getProgress(client: OperatorClient): Promise<MaintenanceProgress> {
  return (await client.getView("/maintenance") as MaintenanceProgress[])[0]!;
}

async function getFleetHosts(client: OperatorClient): Promise<Map<string, HostData>> {
  const { hosts } = await client.getView("/fleet") as { hosts: [string, HostData][] };
  return new Map(hosts);
}

/** Calls the service repeatedly until `isDone` and counts the outcomes. */
function callUntil(address: string, isDone: () => boolean): Promise<Map<string, number>> {
  const counts = new Map<string, number>();
  const call = async () => {
    while (!isDone()) {
      const response = await request(`http://${address}/services/hotels/rooms`);
      await response.body.dump();
      const outcome = String(response.headers["tanagerpin-outcome"] ?? response.statusCode);
      counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
    }
  };
  return Promise.all([call(), call()]).then(() => counts);
}

async function stopFixture(fixture: Fixture): Promise<void> {
  await Promise.all(fixture.hosts.map(({ host }) => host.stop()));
  for (const executor of fixture.executors) executor.close();
  fixture.platform.close();
}

test.serial("maintenance reboots each host once within the budget, and another member continues it", async (t) => {
  const fixture = await startFixture();
  const { platform, hosts: entryHosts } = fixture;
  const members = await entryHosts[0]!.client.getView("/fleet") as { members: [string, unknown][] };
  const actingMember = getFirstByRendezvous("december", members.members.map(([id]) => id))!;
  const first = entryHosts.find(({ name }) => actingMember.startsWith(`${name}-`))!;
  const others = entryHosts.filter((entryHost) => entryHost !== first);
  const { client, callerAddress } = others[0]!;
  let isDone = false;
  const calls = callUntil(callerAddress, () => isDone);

  const scope = { kind: "pool", name: "hotels" };
  const started = await publish(client, "maintenance-started", { maintenance: "december", scope });
  t.is(started, "accepted");
  await waitFor(() => Object.keys(platform.hosts.getRebootStatistics().reboots).length >= 2);
  await first.host.stop();
  await waitFor(async () => (await getProgress(client)).state === "completed");
  isDone = true;

  const { reboots, maximumUnavailableByPool } = platform.hosts
    .getRebootStatistics();
  t.deepEqual(Object.values(reboots), [1, 1, 1, 1, 1, 1]);
  t.true(maximumUnavailableByPool["hotels"]! <= BUDGET);
  const { "200": answered = 0, "not-run": _refused, ...unexpected } = Object.fromEntries(
    await calls,
  );
  t.true(answered > 0);
  t.deepEqual(unexpected, {});
  const states = [...(await getFleetHosts(client)).values()].map((host) => host.state);
  t.deepEqual(new Set(states), new Set(["serving"]));
  t.snapshot(await getProgress(client));
  await stopFixture({ ...fixture, hosts: others });
});

test.serial("no reboot starts or is lost during a platform outage; a missing host pauses the maintenance", async (t) => {
  const fixture = await startFixture();
  const { platform, hosts: entryHosts } = fixture;
  const { client } = entryHosts[0]!;
  platform.setFaults({ neverReturning: ["hotels-1"] });
  const scope = { kind: "pool", name: "hotels" };
  await publish(client, "maintenance-started", { maintenance: "december", scope });
  await waitFor(() => Object.keys(platform.hosts.getRebootStatistics().reboots).length >= 2);
  platform.setFaults({ isDown: true });
  await new Promise((resolve) => setTimeout(resolve, 100));
  const before = JSON.stringify(platform.hosts.getRebootStatistics());
  await new Promise((resolve) => setTimeout(resolve, 500));
  t.is(JSON.stringify(platform.hosts.getRebootStatistics()), before);
  platform.setFaults({ isDown: false });
  await waitFor(async () => (await getProgress(client)).state === "paused");
  t.regex((await getProgress(client)).reason, /hotels-1/);
  await publish(client, "maintenance-resumed", { maintenance: "december" });
  await waitFor(async () => (await getProgress(client)).done === 5);
  await publish(client, "host-dismissed", { host: "hotels-1" });
  await waitFor(async () => (await getProgress(client)).state === "completed");
  const { reboots, maximumUnavailableByPool } = platform.hosts
    .getRebootStatistics();
  t.deepEqual(Object.values(reboots), [1, 1, 1, 1, 1, 1]);
  t.true(maximumUnavailableByPool["hotels"]! <= BUDGET);
  await stopFixture(fixture);
});

test.serial("a drain with a destination moves the host and returns it", async (t) => {
  const fixture = await startFixture();
  const { client } = fixture.hosts[0]!;
  const body = { host: "hotels-2", pool: "hotels", destination: "pricing" };
  t.is(await publish(client, "host-drained", body), "accepted");
  await waitFor(async () => {
    const host = (await getFleetHosts(client)).get("hotels-2");
    return host?.pool === "pricing" && host.state === "serving";
  });
  t.is((await getFleetHosts(client)).size, 6);
  await stopFixture(fixture);
});

/** Runs an operator command and returns its exit code and its output. */
async function runOperatorCommand(address: string, ...parameters: string[]): Promise<string[]> {
  const output = new PassThrough();
  const keys = ["--operator-address", address, "--operator-key", OPERATOR_KEY];
  const context = { stdout: output, stderr: output };
  const code = await createCommandLine().run([...parameters, ...keys], context);
  const text = String(output.read() ?? "").replaceAll(/offset \d+/g, "offset N")
    .replaceAll(/127\.0\.0\.1:\d+/g, "IP");
  return [`${parameters.join(" ")} -> ${code}`, ...text.trimEnd().split("\n")];
}

test.serial("operators drain, move and return hosts, and each refusal states its reason", async (t) => {
  const fixture = await startFixture();
  const { operatorAddress } = fixture.hosts[0]!;
  const transcript: string[][] = [];
  const run = async (...parameters: string[]) =>
    void transcript.push(await runOperatorCommand(operatorAddress, ...parameters));
  await run("budget", "set", "pool", "hotels", "1");
  await run("budget", "set", "rack", "hotels", "1");
  await run("budget", "list");
  await run("host", "drain", "hotels-1", "--wait");
  await run("host", "drain", "hotels-2");
  await run("host", "drain", "hotels-9");
  await run("host", "return", "hotels-2");
  await run("host", "move", "hotels-2", "pricing");
  await run("host", "return", "hotels-1", "--wait");
  fixture.platform.hosts.remove("hotels-3");
  await run("host", "drain", "hotels-1");
  await run("host", "move", "hotels-3", "pricing", "--wait");
  await run("host", "dismiss", "hotels-3");
  await run("maintenance", "start", "december", "pool", "nothing");
  await run("maintenance", "start", "december", "all", "hotels");
  await run("maintenance", "start", "december", "pool", "pricing", "--wait");
  await run("maintenance", "pause", "december", "--reason", "high tide", "--wait");
  await run("maintenance", "pause", "december");
  await run("maintenance", "stop", "december", "--wait");
  await run("maintenance", "resume", "december");
  await run("maintenance", "status");
  fixture.platform.setFaults({ isDown: true });
  await run("host", "drain", "hotels-1");
  fixture.platform.setFaults({ isDown: false });
  t.snapshot(transcript);
  await stopFixture(fixture);
});

test.serial("spare hosts move to a pool whose demand and zone-loss target need them", async (t) => {
  const fixture = await startFixture();
  const { client } = fixture.hosts[0]!;
  const capacity = { moveCostHostSeconds: 0, isSparePool: true, zoneLossTarget: 0 };
  const spareProfile = { ...PROFILE, profile: "spares", capacity };
  await publish(client, "budget-set", { scope: "pool", name: "hotels", mostAway: 6 });
  await publish(client, "profile-published", spareProfile);
  await publish(client, "profile-picked", { service: "hotels", profile: "spares" });
  const receivingProfile = { ...PROFILE, capacity: { moveCostHostSeconds: 0 } };
  await publish(client, "profile-published", receivingProfile);
  await publish(client, "profile-picked", { service: "pricing", profile: "rooms" });
  for (const host of ["hotels-1", "hotels-2"]) {
    await publish(client, "host-drained", { host, pool: "hotels", destination: "pricing" });
  }
  const count = async (pool: string) =>
    [...(await getFleetHosts(client)).values()].filter((host) =>
      host.pool === pool && host.state === "serving"
    ).length;
  await waitFor(async () => await count("pricing") === 2);
  let isDone = false;
  const call = async (callerAddress: string) => {
    while (!isDone) {
      const url = `http://${callerAddress}/services/pricing/rooms?milliseconds=300`;
      await (await request(url)).body.dump();
    }
  };
  const callerAddresses = fixture.hosts.flatMap((entryHost) =>
    Array.from({ length: 6 }, () => entryHost.callerAddress)
  );
  const calls = Promise.all(callerAddresses.map(call));
  await waitFor(async () => await count("pricing") > 2);
  isDone = true;
  await calls;
  t.is((await getFleetHosts(client)).size, 6);
  await stopFixture(fixture);
});
