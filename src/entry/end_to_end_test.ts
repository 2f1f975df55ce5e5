import { execFile } from "node:child_process";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import test from "ava";
import { request } from "undici";
import { Daemon, MAIN_PATH, toFlags } from "../tests/daemon.ts";

const OPERATOR_KEY = "operator-key-of-the-test";
const PROFILE = { profile: "orders", teams: [{ team: "hotel-osu", share: 1, upperLimit: 4 }] };

async function startEntry(name: string, platform: Daemon): Promise<Daemon> {
  const ephemeral = "127.0.0.1:0";
  const flags = {
    name,
    zone: "gh-south-a",
    "caller-address": ephemeral,
    "operator-address": ephemeral,
    "peer-address": ephemeral,
    "platform-address": platform.getAddress("address"),
    "operator-key": OPERATOR_KEY,
    "balancer-delay-milliseconds": "0",
  };
  return await Daemon.start(["entry", ...toFlags(flags)]);
}

async function startExecutor(name: string, platform: Daemon): Promise<Daemon> {
  const flags = {
    name,
    address: "127.0.0.1:0",
    pool: "hotels",
    zone: "gh-south-a",
    "platform-address": platform.getAddress("address"),
  };
  return await Daemon.start(["stand-in", "executor", ...toFlags(flags)]);
}

async function runOperatorCommand(entry: Daemon, ...parameters: string[]): Promise<string> {
  const flags = toFlags({
    "operator-address": entry.getAddress("operators"),
    "operator-key": OPERATOR_KEY,
  });
  const { stdout } = await promisify(execFile)(process.execPath, [
    MAIN_PATH,
    ...parameters,
    ...flags,
  ]);
  return stdout;
}

async function call(entry: Daemon, key: string | undefined, path: string) {
  const headers = key === undefined ? {} : { authorization: `Bearer ${key}` };
  const address = entry.getAddress("callers");
  const response = await request(`http://${address}${path}`, { headers });
  const { executor: _executor, ...answer } = await response.body.json() as Record<string, unknown>;
  return { status: response.statusCode, answer };
}

test("a request through separate processes is served with a key and refused without one", async (t) => {
  const platform = await Daemon.start(["stand-in", "platform", "--address", "127.0.0.1:0"]);
  const entries = [await startEntry("entry-1", platform), await startEntry("entry-2", platform)];
  const executors = [
    await startExecutor("hotels-1", platform),
    await startExecutor("hotels-2", platform),
  ];
  const [first, second] = entries as [Daemon, Daemon];
  const file = join(await mkdtemp(join(tmpdir(), "tanagerpin-")), "profile.json");
  await writeFile(file, JSON.stringify(PROFILE));

  const enrolled = await runOperatorCommand(first, "host", "enrol", "--wait");
  t.is(enrolled.match(/accepted/g)?.length, 2);
  await runOperatorCommand(first, "profile", "publish", file);
  await runOperatorCommand(first, "service", "pick", "hotels", "orders");
  const granted = await runOperatorCommand(first, "key", "grant", "hotel-osu", "--wait");
  const key = /^key (\S+)$/m.exec(granted)?.[1];
  const transcript: unknown[] = [
    await runOperatorCommand(second, "host", "list").then((text) =>
      text.replaceAll(/\d+\.\d+\.\S+/g, "IP")
    ),
    await runOperatorCommand(second, "profile", "list"),
    await runOperatorCommand(second, "zone", "list"),
    (await runOperatorCommand(second, "status")).replaceAll(/\d+$/gm, "N").replaceAll(
      /  +\d+/g,
      "  N",
    ),
    await call(first, key, "/services/hotels/rooms?floor=1"),
    await call(second, key, "/services/hotels/rooms"),
    await call(second, undefined, "/services/hotels/rooms"),
    await call(second, `${key}x`, "/services/hotels/rooms"),
    await call(second, key, "/services/nothing/rooms"),
    await call(second, key, "/elsewhere"),
  ];
  await runOperatorCommand(first, "key", "withdraw", key!, "--wait");
  transcript.push(await call(first, key, "/services/hotels/rooms"));
  transcript.push(await call(second, key, "/services/hotels/rooms"));
  t.snapshot(transcript);

  const codes = await Promise.all([...entries, ...executors].map((daemon) => daemon.stop()));
  t.deepEqual([...codes, await platform.stop()], [0, 0, 0, 0, 0]);
});
