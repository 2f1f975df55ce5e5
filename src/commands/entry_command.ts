/** The command that runs an entry host: `entry`. */

import { Command, Option } from "clipanion";
import { EntrySupervisor } from "../entry/entry_supervisor.ts";
import { ENTRY_SETTINGS } from "../entry/entry_settings.ts";
import { createProcessLog } from "./process_log.ts";
import { ExitCode } from "./exit_code.ts";
import { readSettingsOrReport } from "./process_settings.ts";

/** Runs an entry host until SIGTERM or SIGINT; a second signal aborts the open requests. */
export class EntryCommand extends Command {
  static override paths = [["entry"]];
  static override usage = Command.Usage({ description: "Run an entry host" });
  name = Option.String("--name");
  zone = Option.String("--zone");
  callerAddress = Option.String("--caller-address");
  operatorAddress = Option.String("--operator-address");
  peerAddress = Option.String("--peer-address");
  advertisedPeerAddress = Option.String("--advertised-peer-address");
  platformAddress = Option.String("--platform-address");
  operatorKey = Option.String("--operator-key");
  readInterval = Option.String("--read-interval-milliseconds");
  heartbeatInterval = Option.String("--heartbeat-interval-milliseconds");
  appendInterval = Option.String("--append-interval-milliseconds");
  snapshotIntervalRecords = Option.String("--snapshot-interval-records");
  snapshotInterval = Option.String("--snapshot-interval-milliseconds");
  platformTimeout = Option.String("--platform-timeout-milliseconds");
  publicationTimeout = Option.String("--publication-timeout-milliseconds");
  balancerDelay = Option.String("--balancer-delay-milliseconds");
  drainLimit = Option.String("--drain-limit-milliseconds");
  callerCertificate = Option.String("--caller-certificate-file");
  callerCertificateKey = Option.String("--caller-certificate-key-file");
  operatorCertificate = Option.String("--operator-certificate-file");
  operatorCertificateKey = Option.String("--operator-certificate-key-file");
  maintenanceInterval = Option.String("--maintenance-interval-milliseconds");
  capacityInterval = Option.String("--capacity-interval-milliseconds");
  longestReboot = Option.String("--longest-reboot-milliseconds");

  override async execute(): Promise<number> {
    const flags = this as unknown as Record<string, string | undefined>;
    const settings = readSettingsOrReport(ENTRY_SETTINGS, flags, this.context.stderr);
    if (settings === undefined) return ExitCode.InvalidUsage;
    const log = createProcessLog({ process: settings.name });
    const supervisor = EntrySupervisor.create({ settings, log });
    process.on("SIGUSR2", () => process.stderr.write(JSON.stringify(supervisor.getState()) + "\n"));
    const stopRequested = waitForStopSignal();
    const secondSignal = new AbortController();
    void stopRequested.then(waitForStopSignal).then(() => secondSignal.abort());
    await supervisor.runUntil(stopRequested, secondSignal.signal);
    return ExitCode.Done;
  }
}

/** Waits for SIGTERM or SIGINT. */
export function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once("SIGTERM", () => resolve());
    process.once("SIGINT", () => resolve());
  });
}
