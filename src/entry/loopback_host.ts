/** Entry hosts on loopback with ports that the system chooses: for the demo, tests and measurements. */

import type { EventLog } from "../events/mod.ts";
import { EntryHost } from "./entry_host.ts";
import { ENTRY_SETTINGS } from "./entry_settings.ts";
import { formatSettingIssue, readSettings } from "./setting.ts";

/** Options of `createLoopbackHost`. */
export interface LoopbackHostOptions {
  /** The settings that differ, by name; addresses are chosen by the system. */
  flags: Readonly<Record<string, string>>;
  /** The log of events; silent when left out. */
  log?: EventLog;
}

/** Creates an entry host in this process; `start` opens its sockets. */
export function createLoopbackHost(options: LoopbackHostOptions): EntryHost {
  const any = "127.0.0.1:0";
  const addresses = { callerAddress: any, operatorAddress: any, peerAddress: any };
  const flags = { ...addresses, ...options.flags };
  const settings = readSettings({ table: ENTRY_SETTINGS, environment: {}, flags });
  if (settings.outcome === "valid") {
    return EntryHost.create({ settings: settings.values, log: options.log ?? (() => undefined) });
  }
  throw new Error(settings.issues.map(formatSettingIssue).join("; "));
}
