/** Reads a process's settings, and explains every mistake to the operator. */

import {
  formatSettingIssue,
  readSettings,
  type SettingTable,
  type SettingValues,
} from "../entry/setting.ts";

/** Reads the settings, or writes every mistake and gets undefined. */
export function readSettingsOrReport<Table extends SettingTable>(
  table: Table,
  flags: Readonly<Record<string, string | undefined>>,
  stream: { write(text: string): unknown },
): SettingValues<Table> | undefined {
  const result = readSettings({ table, flags, environment: process.env });
  if (result.outcome === "valid") return result.values;
  for (const mistake of result.issues) stream.write(formatSettingIssue(mistake) + "\n");
  return undefined;
}
