/** The commands that run stand-ins: `stand-in platform|executor`. */

import { Command, Option } from "clipanion";
import { request } from "undici";
import { z } from "zod";
import { HostKind } from "../machines/host_data.ts";
import { ADDRESS_SETTING_SCHEMA } from "../entry/entry_settings.ts";
import { ExecutorStandIn } from "../stand_ins/executor_stand_in.ts";
import { PlatformStandIn } from "../stand_ins/platform_stand_in.ts";
import { waitForStopSignal } from "./entry_command.ts";
import { ExitCode } from "./exit_code.ts";
import { readSettingsOrReport } from "./process_settings.ts";
import { createProcessLog } from "./process_log.ts";

/** The maximum number of entries, of one record each, in the log of the platform's stand-in. */
const MAXIMUM_LOG_ENTRIES = 1_000_000;

const ADDRESS_SETTING = {
  flag: "--address",
  variable: "TANAGERPIN_ADDRESS",
  expected: "an IP address and a port, such as 127.0.0.1:7000",
  schema: ADDRESS_SETTING_SCHEMA,
};

/** Runs a stand-in of the platform's service. */
export class PlatformStandInCommand extends Command {
  static override paths = [["stand-in", "platform"]];
  static override usage = Command.Usage({ description: "Run a stand-in of the platform" });
  address = Option.String("--address");

  override async execute(): Promise<number> {
    const flags = { address: this.address };
    const settings = readSettingsOrReport(
      { address: ADDRESS_SETTING },
      flags,
      this.context.stderr,
    );
    if (settings === undefined) return ExitCode.InvalidUsage;
    const log = createProcessLog({ process: "platform" });
    const platform = PlatformStandIn.create({ ...settings, maximumEntries: MAXIMUM_LOG_ENTRIES });
    log("listening", { address: await platform.listen() });
    await waitForStopSignal();
    platform.close();
    return ExitCode.Done;
  }
}

/** The settings of the stand-ins for executors and workers. */
export const HOST_STAND_IN_SETTINGS = {
  address: ADDRESS_SETTING,
  name: {
    flag: "--name",
    variable: "TANAGERPIN_NAME",
    expected: "the name of the host",
    schema: z.string().min(1),
  },
  pool: {
    flag: "--pool",
    variable: "TANAGERPIN_POOL",
    expected: "the pool that the platform's list suggests",
    schema: z.string().min(1),
  },
  zone: {
    flag: "--zone",
    variable: "TANAGERPIN_ZONE",
    expected: "the availability zone",
    schema: z.string().min(1),
  },
  platformAddress: {
    flag: "--platform-address",
    variable: "TANAGERPIN_PLATFORM_ADDRESS",
    expected: "the IP address and port of the platform's stand-in",
    schema: z.string().min(1),
  },
} as const;

/** Runs a stand-in of an executor, which registers itself in the platform's list of hosts. */
export class ExecutorStandInCommand extends Command {
  static override paths = [["stand-in", "executor"]];
  static override usage = Command.Usage({ description: "Run a stand-in of an executor" });
  address = Option.String("--address");
  name = Option.String("--name");
  pool = Option.String("--pool");
  zone = Option.String("--zone");
  platformAddress = Option.String("--platform-address");

  override async execute(): Promise<number> {
    const flags = this as unknown as Record<string, string | undefined>;
    const settings = readSettingsOrReport(HOST_STAND_IN_SETTINGS, flags, this.context.stderr);
    if (settings === undefined) return ExitCode.InvalidUsage;
    const { name, address, pool, zone, platformAddress } = settings;
    const log = createProcessLog({ process: name });
    const executor = ExecutorStandIn.create({ name, address, serviceMilliseconds: 0 });
    const boundAddress = await executor.listen();
    const listed = createListedExecutor({ name, pool, zone, address: boundAddress });
    await request(`http://${platformAddress}/hosts`, {
      method: "POST",
      body: JSON.stringify(listed),
    }).then((response) => response.body.dump());
    log("listening", { address: boundAddress });
    await waitForStopSignal();
    executor.close();
    return ExitCode.Done;
  }
}

/** Options of `createListedExecutor`. */
export interface ListedExecutorOptions {
  /** The name of the executor. */
  name: string;
  /** The pool. */
  pool: string;
  /** The availability zone. */
  zone: string;
  /** The IP address and port. */
  address: string;
}

/** Creates the entry of an executor in the platform's list of hosts. */
export function createListedExecutor(options: ListedExecutorOptions) {
  const { name, pool, zone, address } = options;
  return {
    host: name,
    kind: HostKind.Executor,
    pool,
    zone,
    rack: `${zone}-1`,
    address,
    slots: 8,
    connections: 64,
    cores: 4,
    memoryGigabytes: 16,
    accelerators: 0,
  };
}
