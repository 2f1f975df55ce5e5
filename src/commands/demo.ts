/** The demo: three entry hosts, stand-ins and a small deployment, in one process on loopback. */

import { randomBytes } from "node:crypto";
import { request } from "undici";
import type { EntryHost } from "../entry/entry_host.ts";
import { createLoopbackHost } from "../entry/loopback_host.ts";
import { HostRecordKind } from "../machines/host_records.ts";
import { ProfileRecordKind } from "../profiles/profile_records.ts";
import { ExecutorStandIn } from "../stand_ins/executor_stand_in.ts";
import { PlatformStandIn } from "../stand_ins/platform_stand_in.ts";
import { KeyRecordKind } from "../teams/key_records.ts";
import { formatPresentedKey, hashSecret } from "../teams/key_secret.ts";
import { ZoneRecordKind } from "../zones/zone_records.ts";
import { OperatorClient } from "./operator_client.ts";
import { createListedExecutor } from "./stand_in_commands.ts";

/** Writes one line of the demo's output. */
export type WriteLine = (line: string) => void;

const LOOPBACK = { host: "127.0.0.1", port: 0 };
const OPERATOR_KEY = "demo-operator-key-of-the-demo";
const ZONES = ["gh-south-a", "gh-south-b", "gh-south-c"];

/** The number of executors of each service. */
const EXECUTORS_BY_SERVICE = { pricing: 6, hotels: 6, backoffice: 6, households: 8, clinics: 9 };

const TEAM = "clinic-korle-bu";

const PROFILE = {
  profile: "night-orders",
  teams: [{ team: TEAM, share: 3, upperLimit: 24 }, { team: "hotel-osu", share: 1, upperLimit: 9 }],
};

interface DemoFleet {
  platform: PlatformStandIn;
  executors: ExecutorStandIn[];
  hosts: EntryHost[];
  callers: string[];
  client: OperatorClient;
}

/** Runs the demo and returns whether every request got the expected status. */
export async function runDemo(writeLine: WriteLine): Promise<boolean> {
  const fleet = await startFleet(writeLine);
  try {
    const results = await runChecks(fleet, writeLine);
    return results.every(Boolean);
  } finally {
    await stopFleet(fleet);
  }
}

async function runChecks(fleet: DemoFleet, writeLine: WriteLine): Promise<boolean[]> {
  const { client } = fleet;
  await publish(client, ProfileRecordKind.Published, PROFILE);
  await publish(client, ProfileRecordKind.Picked, { service: "clinics", profile: PROFILE.profile });
  const { keyId, text } = await grantKey(client);
  writeLine(`published profile ${PROFILE.profile}, granted ${keyId}`);
  const withKey = await requestFromAll(fleet, text);
  writeLine(`with the key: ${withKey.join(" ")}`);
  await publish(client, ZoneRecordKind.TakenOut, { zone: "gh-south-a" });
  const withZoneOut = await requestFromAll(fleet, text);
  writeLine(`with zone gh-south-a out: ${withZoneOut.join(" ")}`);
  await publish(client, ZoneRecordKind.Returned, { zone: "gh-south-a" });
  await publish(client, KeyRecordKind.Withdrawn, { keyId });
  const withoutKey = await requestFromAll(fleet, text);
  writeLine(`with the key withdrawn: ${withoutKey.join(" ")}`);
  return [
    withKey.every((status) => status === 200),
    withZoneOut.every((status) => status === 200),
    withoutKey.every((status) => status === 401),
  ];
}

async function startFleet(writeLine: WriteLine): Promise<DemoFleet> {
  const platform = PlatformStandIn.create({ address: LOOPBACK, maximumEntries: 100_000 });
  const platformAddress = await platform.listen();
  const hosts: EntryHost[] = [];
  const addresses: { callers: string; operators: string }[] = [];
  for (const [index, zone] of ZONES.entries()) {
    const host = createEntryHost(`entry-${index + 1}`, zone, platformAddress);
    addresses.push(await host.start());
    hosts.push(host);
  }
  const client = OperatorClient.create({
    address: addresses[0]!.operators,
    operatorKey: OPERATOR_KEY,
  });
  const executors = await startExecutors(client);
  writeLine(`${hosts.length} entry hosts, ${executors.length} executors in ${ZONES.length} zones`);
  const callers = addresses.map((address) => address.callers);
  return { platform, executors, hosts, callers, client };
}

function createEntryHost(name: string, zone: string, platformAddress: string): EntryHost {
  const intervals = { readInterval: "100", heartbeatInterval: "100", balancerDelay: "0" };
  return createLoopbackHost({
    flags: { name, zone, platformAddress, operatorKey: OPERATOR_KEY, ...intervals },
  });
}

async function startExecutors(client: OperatorClient): Promise<ExecutorStandIn[]> {
  const executors: ExecutorStandIn[] = [];
  for (const [pool, count] of Object.entries(EXECUTORS_BY_SERVICE)) {
    for (let index = 0; index < count; index += 1) {
      const name = `${pool}-${index + 1}`;
      const executor = ExecutorStandIn.create({ name, address: LOOPBACK, serviceMilliseconds: 5 });
      const address = await executor.listen();
      const zone = ZONES[index % ZONES.length]!;
      const listed = createListedExecutor({ name, pool, zone, address });
      await publish(client, HostRecordKind.Enrolled, listed);
      executors.push(executor);
    }
  }
  return executors;
}

async function publish(client: OperatorClient, kind: string, body: unknown): Promise<void> {
  const response = await client.publish(kind, body);
  if (response.outcome !== "judged") throw new Error(response.reason);
  await client.waitForRollOut(response.offset, 5_000);
}

async function grantKey(client: OperatorClient): Promise<{ keyId: string; text: string }> {
  const keyId = `${TEAM}-1`;
  const secret = randomBytes(24).toString("base64url");
  const body = { keyId, team: TEAM, secretHash: hashSecret(secret) };
  await publish(client, KeyRecordKind.Granted, body);
  return { keyId, text: formatPresentedKey({ keyId, secret }) };
}

async function requestFromAll(fleet: DemoFleet, key: string): Promise<number[]> {
  return await Promise.all(fleet.callers.map(async (address) => {
    const response = await request(`http://${address}/services/clinics/orders`, {
      headers: { authorization: `Bearer ${key}` },
    });
    await response.body.dump();
    return response.statusCode;
  }));
}

async function stopFleet(fleet: DemoFleet): Promise<void> {
  await Promise.all(fleet.hosts.map((host) => host.stop()));
  for (const executor of fleet.executors) executor.close();
  fleet.platform.close();
}
