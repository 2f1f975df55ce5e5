import test from "ava";
import { request } from "undici";
import { OperatorClient } from "../commands/operator_client.ts";
import { createListedExecutor } from "../commands/stand_in_commands.ts";
import { ExecutorStandIn } from "../stand_ins/executor_stand_in.ts";
import { PlatformStandIn } from "../stand_ins/platform_stand_in.ts";
import { formatPresentedKey, hashSecret } from "../teams/key_secret.ts";
import type { EntryHost } from "./entry_host.ts";
import { createLoopbackHost } from "./loopback_host.ts";

const OPERATOR_KEY = "operator-key-of-the-test";
const SECRET = "a-secret-of-enough-characters";
const LOOPBACK = { host: "127.0.0.1", port: 0 };
const UPPER_LIMIT = 3;
const BURST = 24;

function createHost(name: string, platformAddress: string): EntryHost {
  return createLoopbackHost({
    flags: {
      name,
      zone: "zululand-a",
      platformAddress,
      operatorKey: OPERATOR_KEY,
      readInterval: "50",
      heartbeatInterval: "50",
    },
  });
}

/** Counts the requests that run at the same time on all executors. */
function createConcurrencyCounter() {
  const count = { running: 0, maximum: 0 };
  const onRunning = (change: number) => {
    count.running += change;
    count.maximum = Math.max(count.maximum, count.running);
  };
  return { count, onRunning };
}

test("a burst at one entry host uses the team's whole limit and does not exceed it", async (t) => {
  const platform = PlatformStandIn.create({ address: LOOPBACK, maximumEntries: 10_000 });
  const platformAddress = await platform.listen();
  const hosts = ["entry-1", "entry-2", "entry-3"].map((name) => createHost(name, platformAddress));
  const addresses = await Promise.all(hosts.map((host) => host.start()));
  const client = OperatorClient.create({
    address: addresses[0]!.operators,
    operatorKey: OPERATOR_KEY,
  });
  const publish = async (kind: string, body: unknown) => {
    const response = await client.publish(kind, body);
    if (response.outcome !== "judged") throw new Error(response.reason);
    await client.waitForRollOut(response.offset, 5_000);
  };
  const { count, onRunning } = createConcurrencyCounter();
  const executors: ExecutorStandIn[] = [];
  for (const name of ["tugdesk-1", "tugdesk-2"]) {
    const options = { name, address: LOOPBACK, serviceMilliseconds: 40, onRunning };
    const executor = ExecutorStandIn.create(options);
    executors.push(executor);
    const address = await executor.listen();
    const listed = createListedExecutor({ name, pool: "tugdesk", zone: "zululand-a", address });
    await publish("host-enrolled", listed);
  }
  const teams = [{ team: "mine-desk", share: 1, upperLimit: UPPER_LIMIT }];
  await publish("profile-published", { profile: "tides", teams });
  await publish("profile-picked", { service: "tugdesk", profile: "tides" });
  const grant = { keyId: "k1", team: "mine-desk", secretHash: hashSecret(SECRET) };
  await publish("key-granted", grant);
  const authorization = `Bearer ${formatPresentedKey({ keyId: "k1", secret: SECRET })}`;
  const call = async (address: string) => {
    const response = await request(`http://${address}/services/tugdesk/tugs`, {
      headers: { authorization },
    });
    await response.body.dump();
    return response.statusCode;
  };
  try {
    const burst = Array.from({ length: BURST }, () => call(addresses[0]!.callers));
    const others = addresses.slice(1).map(({ callers }) => call(callers));
    const statuses = await Promise.all([...burst, ...others]);
    t.true(statuses.every((status) => status === 200), statuses.join(" "));
    t.is(count.maximum, UPPER_LIMIT);
  } finally {
    await Promise.all(hosts.map((host) => host.stop()));
    for (const executor of executors) executor.close();
    platform.close();
  }
});
