/** The whole system as separate processes on loopback, with connections that can be cut. */

import { randomBytes, randomUUID } from "node:crypto";
import { request } from "undici";
import { OperatorClient } from "../commands/operator_client.ts";
import type { LogRecord } from "../records/record.ts";
import type { ListedHost } from "../records/platform_messages.ts";
import type { ExecutorRun } from "../stand_ins/executor_stand_in.ts";
import { getFirstOutcome, VerdictOutcome } from "../records/verdict.ts";
import { formatPresentedKey, hashSecret } from "../teams/key_secret.ts";
import { Daemon, toFlags } from "./daemon.ts";
import { Forwarder } from "./forwarder.ts";

/** The operator key of the entry hosts. */
const OPERATOR_KEY = "operator-key-of-the-rig";

/** Options of a `Rig`. */
export interface RigOptions {
  /** The number of entry hosts. */
  entryHosts: number;
  /** The number of executors of the service `clinics`. */
  executors: number;
  /** The zones over which the entry hosts and the executors are distributed. */
  zones: readonly string[];
}

/** One entry host with the proxies of its connections. */
export interface RigEntry {
  name: string;
  daemon: Daemon;
  /** The proxy for connections from its peers. */
  peerLink: Forwarder;
  /** The address of the proxy. */
  peerLinkAddress: string;
  /** The proxy for its connections to the platform. */
  platformLink: Forwarder;
  /** The address of the proxy. */
  platformLinkAddress: string;
}

/** The ledger of one executor. */
export interface ExecutorLedger {
  name: string;
  ledger: ExecutorRun[];
}

/** Owns the processes and the proxies between them. */
export class Rig {
  readonly options: RigOptions;
  readonly entries = new Map<string, RigEntry>();
  readonly executors = new Map<string, Daemon>();
  #platform!: Daemon;

  private constructor(options: RigOptions) {
    this.options = options;
  }

  /** Starts all processes and enrols the executors. */
  static async start(options: RigOptions): Promise<Rig> {
    const rig = new Rig(options);
    rig.#platform = await Daemon.start(["stand-in", "platform", "--address", "127.0.0.1:0"]);
    const names = Array.from({ length: options.entryHosts }, (_, index) => `entry-${index + 1}`);
    await Promise.all(names.map((name) => rig.startEntry(name)));
    const indexes = Array.from({ length: options.executors }, (_, index) => index);
    await Promise.all(indexes.map((index) => rig.#startExecutor(index)));
    sortByName(rig.entries);
    sortByName(rig.executors);
    try {
      await rig.#enrolExecutors();
    } catch (error) {
      await rig.stop();
      throw error;
    }
    return rig;
  }

  /** Starts an entry host, or restarts one that was killed as a new process with the same name. */
  async startEntry(name: string): Promise<void> {
    const links = this.entries.get(name) ?? await this.#startProxies();
    const { peerLink, platformLink, peerLinkAddress, platformLinkAddress } = links;
    const daemon = await Daemon.start([
      "entry",
      ...toFlags({
        name,
        zone: this.#getZone(getNameIndex(name)),
        "caller-address": "127.0.0.1:0",
        "operator-address": "127.0.0.1:0",
        "peer-address": "127.0.0.1:0",
        "advertised-peer-address": peerLinkAddress,
        "platform-address": platformLinkAddress,
        "operator-key": OPERATOR_KEY,
      }),
    ]);
    peerLink.setTarget(daemon.getAddress("peers"));
    const own = { name, daemon };
    this.entries.set(name, {
      peerLink,
      platformLink,
      peerLinkAddress,
      platformLinkAddress,
      ...own,
    });
  }

  async #startProxies(): Promise<Omit<RigEntry, "name" | "daemon">> {
    const peerLink = Forwarder.create({ isPeerLink: true });
    const platformLink = Forwarder.create({ isPeerLink: false });
    platformLink.setTarget(this.#platform.getAddress("address"));
    const peerLinkAddress = await peerLink.listen();
    const platformLinkAddress = await platformLink.listen();
    return { peerLink, platformLink, peerLinkAddress, platformLinkAddress };
  }

  /** Gets an operator client of an entry host. */
  getClient(name: string): OperatorClient {
    const address = this.getEntry(name).daemon.getAddress("operators");
    return OperatorClient.create({ address, operatorKey: OPERATOR_KEY });
  }

  getEntry(name: string): RigEntry {
    const entry = this.entries.get(name);
    if (entry === undefined) throw new Error(`no entry host ${name}`);
    return entry;
  }

  /** Publishes a record through the first entry host that gets a verdict, and gets its outcome. */
  async publish(
    kind: string,
    body: unknown,
    id: string = randomUUID(),
  ): Promise<VerdictOutcome | undefined> {
    for (const name of this.entries.keys()) {
      const answer = await this.getClient(name).publish(kind, body, id).catch(() => undefined);
      if (answer?.outcome === "judged") return getFirstOutcome(answer.verdict);
    }
    return undefined;
  }

  /** Grants a key to a team, and gets the text that the team presents. */
  async grantKey(team: string, keyId: string): Promise<string> {
    const secret = randomBytes(24).toString("base64url");
    await this.publish("key-granted", { keyId, team, secretHash: hashSecret(secret) });
    return formatPresentedKey({ keyId, secret });
  }

  /** Sets faults of the platform. */
  async setPlatformFaults(faults: Record<string, unknown>): Promise<void> {
    await this.#setFaults(this.#platform.getAddress("address"), faults);
  }

  /** Sets a fault of an executor. */
  async setExecutorFaults(name: string, order: Record<string, unknown>): Promise<void> {
    const executor = this.executors.get(name);
    if (executor !== undefined) await this.#setFaults(executor.getAddress("address"), order);
  }

  /** Gets the records about zones and keys, to explain a violated invariant. */
  async listRestrictions(): Promise<string[]> {
    const name = [...this.entries.keys()][0]!;
    const records = await this.getClient(name).getView("/records?from=0") as LogRecord[];
    return records.filter((record) => /^(zone|key)-/.test(record.kind))
      .map((record) =>
        `${record.offset} ${record.id} ${record.kind} ${JSON.stringify(record.body)}`
      );
  }

  getExecutorsOfZone(zone: string): string[] {
    return [...this.executors.keys()].filter((name) => this.#getZone(getNameIndex(name)) === zone);
  }

  /** Gets the ledgers of all executors. */
  async getLedgers(): Promise<ExecutorLedger[]> {
    return await Promise.all([...this.executors.values()].map(async (executor) => {
      const response = await request(`http://${executor.getAddress("address")}/ledger`);
      return await response.body.json() as ExecutorLedger;
    }));
  }

  /** Kills all processes. */
  async stop(): Promise<void> {
    const daemons = [...this.entries.values()].map((entry) => entry.daemon);
    await Promise.all([...daemons, ...this.executors.values()].map((daemon) => daemon.kill()));
    await this.#platform.kill();
    for (const { peerLink, platformLink } of this.entries.values()) {
      peerLink.close();
      platformLink.close();
    }
  }

  async #setFaults(address: string, body: Record<string, unknown>): Promise<void> {
    const text = JSON.stringify(body);
    const response = await request(`http://${address}/faults`, { method: "POST", body: text });
    if (response.statusCode !== 200) throw new Error(await response.body.text());
    await response.body.dump();
  }

  async #startExecutor(index: number): Promise<void> {
    const name = `clinics-${index + 1}`;
    const daemon = await Daemon.start([
      "stand-in",
      "executor",
      ...toFlags({
        name,
        address: "127.0.0.1:0",
        pool: "clinics",
        zone: this.#getZone(index),
        "platform-address": this.#platform.getAddress("address"),
      }),
    ]);
    this.executors.set(name, daemon);
  }

  async #enrolExecutors(): Promise<void> {
    const listed = await this.getClient("entry-1").getView("/listed-hosts") as ListedHost[];
    const outcomes: (VerdictOutcome | undefined)[] = [];
    for (const { state: _state, ...host } of listed) {
      outcomes.push(await this.publish("host-enrolled", host));
    }
    const enrolled = outcomes.filter((outcome) => outcome === VerdictOutcome.Accepted).length;
    if (enrolled === this.executors.size) return;
    throw new Error(`enrolled ${enrolled} of ${this.executors.size} executors`);
  }

  #getZone(index: number): string {
    return this.options.zones[index % this.options.zones.length] ?? "zone";
  }
}

/** Gets the index of a numbered name, from 0. */
function getNameIndex(name: string): number {
  return Number(name.split("-")[1]) - 1;
}

/** Sorts a map by the numbers of its names, as the processes become ready in any order. */
function sortByName<Value>(table: Map<string, Value>): void {
  const sorted = [...table].sort(([first], [second]) => getNameIndex(first) - getNameIndex(second));
  table.clear();
  for (const [name, value] of sorted) table.set(name, value);
}
