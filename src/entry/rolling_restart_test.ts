import test from "ava";
import { setTimeout as pause } from "node:timers/promises";
import { Agent, request } from "undici";
import { OperatorClient } from "../commands/operator_client.ts";
import { createListedExecutor } from "../commands/stand_in_commands.ts";
import { HostRecordKind } from "../machines/host_records.ts";
import { ProfileRecordKind } from "../profiles/profile_records.ts";
import { ExecutorStandIn } from "../stand_ins/executor_stand_in.ts";
import { PlatformStandIn } from "../stand_ins/platform_stand_in.ts";
import type { EntryAddresses } from "./entry_addresses.ts";
import type { EntryHost } from "./entry_host.ts";
import { createLoopbackHost } from "./loopback_host.ts";

const LOOPBACK = { host: "127.0.0.1", port: 0 };
const OPERATOR_KEY = "operator-key-of-the-test";
const ZONES = ["gh-south-a", "gh-south-b", "gh-south-c"];
const CALLERS = 12;

interface RunningEntry {
  host: EntryHost;
  addresses: EntryAddresses;
}

async function startEntry(name: string, zone: string, platformAddress: string) {
  const host = createLoopbackHost({
    flags: {
      name,
      zone,
      platformAddress,
      operatorKey: OPERATOR_KEY,
      readInterval: "50",
      heartbeatInterval: "50",
      balancerDelay: "1500",
      drainLimit: "20000",
    },
  });
  const addresses = await host.start();
  while (!host.isReady()) await pause(10);
  return { host, addresses };
}

/** Sends requests to the hosts that report that they are ready, as a load generator does. */
class LoadGenerator {
  readonly outcomes = new Map<string, number>();
  readonly #agent = new Agent({ connections: 4, pipelining: 1 });
  readonly #addresses = new Set<string>();
  #ready: string[] = [];
  #isStopping = false;
  #nextIndex = 0;

  add(address: string): void {
    this.#addresses.add(address);
  }

  async run(): Promise<void> {
    const watching = this.#watch();
    while (this.#ready.length === 0) await pause(5);
    await Promise.all(Array.from({ length: CALLERS }, () => this.#call()));
    await watching;
    await this.#agent.close();
  }

  stop(): void {
    this.#isStopping = true;
  }

  async #watch(): Promise<void> {
    while (!this.#isStopping) {
      const states = await Promise.all(
        [...this.#addresses].map((address) => this.#isReady(address)),
      );
      this.#ready = [...this.#addresses].filter((_, index) => states[index]);
      await pause(20);
    }
  }

  async #isReady(address: string): Promise<boolean> {
    try {
      const response = await request(`http://${address}/ready`, { headersTimeout: 1_000 });
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      this.#addresses.delete(address);
      return false;
    }
  }

  async #call(): Promise<void> {
    while (!this.#isStopping) {
      const address = this.#ready[this.#nextIndex % this.#ready.length]!;
      this.#nextIndex += 1;
      const outcome = await this.#send(address);
      this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
    }
  }

  async #send(address: string): Promise<string> {
    try {
      const response = await request(`http://${address}/services/clinics/orders`, {
        method: "POST",
        body: "order",
        dispatcher: this.#agent,
      });
      await response.body.dump();
      const outcome = response.headers["tanagerpin-outcome"];
      if (outcome !== undefined) await pause(5);
      return response.statusCode === 200 ? "answered" : String(outcome ?? response.statusCode);
    } catch (error) {
      return `cut: ${(error as NodeJS.ErrnoException).code}`;
    }
  }
}

async function sendWithKey(entry: RunningEntry, key: string, body = "order") {
  const response = await request(`http://${entry.addresses.callers}/services/clinics/orders`, {
    method: "POST",
    headers: { "idempotency-key": key },
    body,
  });
  return { status: response.statusCode, text: await response.body.text() };
}

test("a rolling restart of every entry host under load aborts no request", async (t) => {
  const platform = PlatformStandIn.create({ address: LOOPBACK, maximumEntries: 10_000 });
  const platformAddress = await platform.listen();
  const entries: RunningEntry[] = [];
  for (const [index, zone] of ZONES.entries()) {
    entries.push(await startEntry(`entry-${index}`, zone, platformAddress));
  }
  const client = OperatorClient.create({
    address: entries[0]!.addresses.operators,
    operatorKey: OPERATOR_KEY,
  });
  const publish = async (kind: string, body: unknown) => {
    const response = await client.publish(kind, body);
    if (response.outcome === "judged") await client.waitForRollOut(response.offset, 10_000);
  };
  const executors: ExecutorStandIn[] = [];
  for (const [index, zone] of ZONES.entries()) {
    const name = `clinics-${index}`;
    const executor = ExecutorStandIn.create({ name, address: LOOPBACK, serviceMilliseconds: 10 });
    const address = await executor.listen();
    executors.push(executor);
    const listed = createListedExecutor({ name, pool: "clinics", zone, address });
    await publish(HostRecordKind.Enrolled, listed);
  }
  const teams = [{ team: "open", share: 1, upperLimit: 24 }];
  await publish(ProfileRecordKind.Published, { profile: "orders", isOpenQueue: true, teams });
  await publish(ProfileRecordKind.Picked, { service: "clinics", profile: "orders" });

  const first = await sendWithKey(entries[1]!, "delivery-1");
  const generator = new LoadGenerator();
  for (const entry of entries) generator.add(entry.addresses.callers);
  const load = generator.run();
  await pause(200);
  for (const [index, old] of entries.entries()) {
    const replacement = await startEntry(`entry-${index}`, ZONES[index]!, platformAddress);
    generator.add(replacement.addresses.callers);
    await old.host.stop();
    entries[index] = replacement;
  }
  await pause(200);
  generator.stop();
  await load;
  const repeated = await sendWithKey(entries[2]!, "delivery-1");
  const other = await sendWithKey(entries[0]!, "delivery-1", "another body");
  t.deepEqual([first.status, repeated, other.status], [200, first, 422]);

  const answered = generator.outcomes.get("answered") ?? 0;
  const runs = executors.flatMap((executor) => [...executor.getRunCounts().values()]);
  t.log(Object.fromEntries(generator.outcomes));
  t.deepEqual([...generator.outcomes.keys()].filter((key) => /cut|unknown/.test(key)), []);
  t.true(answered > 50);
  t.is(runs.length, answered + 1);
  t.true(runs.every((count) => count === 1));

  await Promise.all(entries.map((entry) => entry.host.stop()));
  for (const executor of executors) executor.close();
  platform.close();
});
