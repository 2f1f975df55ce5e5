/** The command that runs a stand-in of a worker: `stand-in worker`. */

import { Command, Option } from "clipanion";
import { request } from "undici";
import { HostKind } from "../machines/host_data.ts";
import { WorkerStandIn } from "../stand_ins/worker_stand_in.ts";
import { waitForStopSignal } from "./entry_command.ts";
import { ExitCode } from "./exit_code.ts";
import { readSettingsOrReport } from "./process_settings.ts";
import { createProcessLog } from "./process_log.ts";
import { HOST_STAND_IN_SETTINGS } from "./stand_in_commands.ts";

/** Runs a stand-in of a worker, which registers itself in the platform's list of hosts. */
export class WorkerStandInCommand extends Command {
  static override paths = [["stand-in", "worker"]];
  static override usage = Command.Usage({ description: "Run a stand-in of a worker" });
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
    const worker = WorkerStandIn.create({ name, address });
    const boundAddress = await worker.listen();
    const listed = createListedWorker(name, pool, zone, boundAddress);
    await request(`http://${platformAddress}/hosts`, {
      method: "POST",
      body: JSON.stringify(listed),
    }).then((response) => response.body.dump());
    log("listening", { address: boundAddress });
    await waitForStopSignal();
    worker.close();
    return ExitCode.Done;
  }
}

/** Creates the entry of a worker in the platform's list of hosts. */
export function createListedWorker(name: string, pool: string, zone: string, address: string) {
  return {
    host: name,
    kind: HostKind.Worker,
    pool,
    zone,
    rack: `${zone}-workers-1`,
    address,
    slots: 0,
    connections: 0,
    cores: 16,
    memoryGigabytes: 64,
    accelerators: 0,
  };
}
