/** Entry hosts and executors as processes of their own, for measurements of requests. */

import { request } from "undici";
import { OperatorClient } from "../commands/operator_client.ts";
import { HostRecordKind } from "../machines/host_records.ts";
import { ProfileRecordKind } from "../profiles/profile_records.ts";
import { Daemon, toFlags } from "../tests/daemon.ts";

const ANY = "127.0.0.1:0";
const OPERATOR_KEY = "operator-key-of-the-bench";

/** The service that is measured. */
export const MEASURED_SERVICE = "tugdesk";

/** Options of a `RequestRig`. */
export interface RequestRigOptions {
  /** The zones: one entry host in each. */
  zones: readonly string[];
  /** The executors of each zone. */
  executorsPerZone: number;
  /** The slots of each executor. */
  slots: number;
  /** How long each request runs. */
  serviceMilliseconds: number;
  /** The most requests that wait at one entry host. */
  queueLength: number;
}

/** Owns the processes. */
export class RequestRig {
  readonly entries: Daemon[] = [];
  readonly executors: { zone: string; daemon: Daemon }[] = [];
  readonly #options: RequestRigOptions;
  #platform!: Daemon;

  private constructor(options: RequestRigOptions) {
    this.#options = options;
  }

  /** Starts the processes, and waits until every entry host serves. */
  static async start(options: RequestRigOptions): Promise<RequestRig> {
    const rig = new RequestRig(options);
    rig.#platform = await Daemon.start(["stand-in", "platform", "--address", ANY]);
    for (const zone of options.zones) await rig.#startEntry(zone);
    await rig.#publishAll();
    await Promise.all(rig.entries.map((entry) => rig.#waitUntilReady(entry)));
    return rig;
  }

  /** Gets the addresses for callers. */
  getCallerAddresses(): string[] {
    return this.entries.map((entry) => entry.getAddress("callers"));
  }

  /** Gets the path of a request to the measured service. */
  getPath(): string {
    return `/services/${MEASURED_SERVICE}${this.getExecutorPath()}`;
  }

  /** Gets the path of a request at an executor. */
  getExecutorPath(): string {
    return `/work?milliseconds=${this.#options.serviceMilliseconds}`;
  }

  /** Kills the executors of a zone. */
  async killZone(zone: string): Promise<void> {
    const lost = this.executors.filter((executor) => executor.zone === zone);
    await Promise.all(lost.map((executor) => executor.daemon.kill()));
  }

  /** Ends every process. */
  async stop(): Promise<void> {
    const executors = this.executors.map((executor) => executor.daemon);
    const daemons = [...this.entries, ...executors, this.#platform];
    await Promise.all(daemons.map((daemon) => daemon.kill()));
  }

  async #startEntry(zone: string): Promise<void> {
    this.entries.push(
      await Daemon.start([
        "entry",
        ...toFlags({
          name: `entry-${zone}`,
          zone,
          "caller-address": ANY,
          "operator-address": ANY,
          "peer-address": ANY,
          "platform-address": this.#platform.getAddress("address"),
          "operator-key": OPERATOR_KEY,
        }),
      ]),
    );
  }

  async #publishAll(): Promise<void> {
    const { zones, executorsPerZone, slots, queueLength } = this.#options;
    const client = OperatorClient.create({
      address: this.entries[0]!.getAddress("operators"),
      operatorKey: OPERATOR_KEY,
    });
    for (const zone of zones) {
      for (let index = 0; index < executorsPerZone; index += 1) {
        const daemon = await this.#startExecutor(`${MEASURED_SERVICE}-${zone}-${index}`, zone);
        this.executors.push({ zone, daemon });
        await client.publish(HostRecordKind.Enrolled, {
          host: `${MEASURED_SERVICE}-${zone}-${index}`,
          kind: "executor",
          pool: MEASURED_SERVICE,
          zone,
          rack: "1",
          address: daemon.getAddress("address"),
          slots,
          connections: 256,
          cores: 4,
          memoryGigabytes: 16,
          accelerators: 0,
        });
      }
    }
    const upperLimit = 100_000;
    const teams = [{ team: "open", share: 1, upperLimit }];
    const profile = { profile: "quick", isOpenQueue: true, queueLength, teams };
    const body = { ...profile, deadlineMilliseconds: 2_000, longestRunMilliseconds: 5_000 };
    await client.publish(ProfileRecordKind.Published, body);
    const picked = { service: MEASURED_SERVICE, profile: profile.profile };
    const answer = await client.publish(ProfileRecordKind.Picked, picked);
    if (answer.outcome !== "judged") throw new Error(answer.reason);
    await client.waitForRollOut(answer.offset, 10_000);
  }

  async #startExecutor(name: string, zone: string): Promise<Daemon> {
    const flags = {
      name,
      address: ANY,
      pool: MEASURED_SERVICE,
      zone,
      "platform-address": this.#platform.getAddress("address"),
    };
    return await Daemon.start(["stand-in", "executor", ...toFlags(flags)]);
  }

  async #waitUntilReady(entry: Daemon): Promise<void> {
    for (let tries = 0; tries < 200; tries += 1) {
      const url = `http://${entry.getAddress("callers")}${this.getPath()}`;
      const response = await request(url);
      await response.body.dump();
      if (response.statusCode === 200) return;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    throw new Error("an entry host does not serve");
  }
}
