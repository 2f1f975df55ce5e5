/** Entry hosts on loopback with ephemeral ports, for the demo, tests and measurements. */

import type { EventLog } from "../events/mod.ts";
import { EntryHost } from "./entry_host.ts";
import { ENTRY_SETTINGS } from "./entry_settings.ts";
import { formatSettingIssue, readSettings } from "./setting.ts";

/** Options of `createLoopbackHost`. */
export interface LoopbackHostOptions {
  /** The settings that differ from the defaults, by name; the ports are ephemeral by default. */
  flags: Readonly<Record<string, string>>;
  /** The event log; discards the events by default. */
  log?: EventLog;
}

/** Creates an entry host in this process; `start` opens its sockets. */
export function createLoopbackHost(options: LoopbackHostOptions): EntryHost {
  const ephemeral = "127.0.0.1:0";
  const addresses = {
    callerAddress: ephemeral,
    operatorAddress: ephemeral,
    peerAddress: ephemeral,
  };
  const flags = { ...addresses, ...options.flags };
  const settings = readSettings({ table: ENTRY_SETTINGS, environment: {}, flags });
  if (settings.outcome === "valid") {
    return EntryHost.create({ settings: settings.values, log: options.log ?? (() => undefined) });
  }
  throw new Error(settings.issues.map(formatSettingIssue).join("; "));
}
