/** Reads the settings of a process and reports every invalid one to the operator. */

import {
  formatSettingIssue,
  readSettings,
  type SettingTable,
  type SettingValues,
} from "../entry/setting.ts";

/** Reads the settings, or writes one line for each invalid setting and returns undefined. */
export function readSettingsOrReport<Table extends SettingTable>(
  table: Table,
  flags: Readonly<Record<string, string | undefined>>,
  stream: { write(text: string): unknown },
): SettingValues<Table> | undefined {
  const result = readSettings({ table, flags, environment: process.env });
  if (result.outcome === "valid") return result.values;
  for (const issue of result.issues) stream.write(formatSettingIssue(issue) + "\n");
  return undefined;
}
