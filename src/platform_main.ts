/** The entry point on the platform: runs one entry host with the platform's settings file. */

import { readFileSync, watchFile } from "node:fs";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { BoundedWriter, createEventLog } from "./events/mod.ts";
import { getErrorMessage } from "./errors/mod.ts";
import { HeapSaver } from "./platform/heap_saver.ts";
import { PlatformHost } from "./platform/platform_host.ts";
import { decodePlatformSettings } from "./platform/platform_settings.ts";

/** The path of the settings file, unless the environment sets another. */
const DEFAULT_SETTINGS_PATH = "/etc/tanagerpin/local.yaml";
/** The interval at which the settings file is checked for changes, in milliseconds. */
const SETTINGS_CHECK_INTERVAL_MILLISECONDS = 1_000;

const path = process.env["TANAGERPIN_BOOT"] ?? DEFAULT_SETTINGS_PATH;
const writer = BoundedWriter.create(process.stdout);
const log = createEventLog({ write: (line) => writer.add(line) });

function readSettings() {
  return decodePlatformSettings(readFileSync(path, "utf8"), path);
}

const settings = readSettings();
setFlagsFromString("--expose-gc");
HeapSaver.create({
  memoryMegabytes: settings.memoryMegabytes,
  getResidentBytes: () => process.memoryUsage.rss(),
  setFlag: setFlagsFromString,
  collectGarbage: runInNewContext("gc") as () => void,
  getTime: () => performance.now(),
  log,
}).start();
const metricsPort = Number(process.argv[2]) || undefined;
const host = PlatformHost.create({ settings, metricsPort, log });

function reload(cause: string): void {
  try {
    host.setSettings(readSettings());
    log("settings-reloaded", { cause, path });
  } catch (error) {
    log("settings-kept", { cause, step: "reload", peer: path, reason: getErrorMessage(error) });
  }
}

process.on("SIGHUP", () => reload("signal"));
watchFile(path, { interval: SETTINGS_CHECK_INTERVAL_MILLISECONDS }, () => reload("changed"));
process.on("SIGTERM", () => {
  void host.stop().then(() => {
    writer.flush();
    process.exit(0);
  });
});
process.on("uncaughtException", (error) => {
  log("process-failed", { step: "run", peer: "local", reason: error.stack });
  writer.flush();
  process.exit(1);
});
await host.start();
