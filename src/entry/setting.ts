/** Settings from flags and environment variables, all validated before anything starts. */

import type { z } from "zod";

/** One setting. */
export interface Setting<Value> {
  /** The flag, such as `--zone`. */
  flag: string;
  /** The environment variable, such as `TANAGERPIN_ZONE`. */
  variable: string;
  /** What is expected, for operators. */
  expected: string;
  /** The schema of the value; a default makes the setting optional. */
  schema: z.ZodType<Value>;
}

/** Settings by name. */
export type SettingTable = Readonly<Record<string, Setting<unknown>>>;

/** The values of settings by name. */
export type SettingValues<Table extends SettingTable> = {
  [Name in keyof Table]: z.output<Table[Name]["schema"]>;
};

/** An invalid or missing setting. */
export interface SettingIssue {
  /** The flag and the environment variable. */
  name: string;
  /** The value that was given, or `(not set)`. */
  value: string;
  /** What is expected. */
  expected: string;
}

/** The result of reading settings. */
export type SettingsResult<Table extends SettingTable> =
  | { outcome: "valid"; values: SettingValues<Table> }
  | { outcome: "mistaken"; issues: SettingIssue[] };

/** Options of `readSettings`. */
export interface ReadSettingsOptions<Table extends SettingTable> {
  /** The settings. */
  table: Table;
  /** The flags by name of the setting; they take precedence over the environment variables. */
  flags: Readonly<Record<string, string | undefined>>;
  /** The environment variables. */
  environment: Readonly<Record<string, string | undefined>>;
}

/** Reads all settings and reports every invalid one. */
export function readSettings<Table extends SettingTable>(
  options: ReadSettingsOptions<Table>,
): SettingsResult<Table> {
  const values: Record<string, unknown> = {};
  const issues: SettingIssue[] = [];
  for (const [name, setting] of Object.entries(options.table)) {
    const text = options.flags[name] ?? options.environment[setting.variable];
    const parsed = setting.schema.safeParse(text);
    if (parsed.success) values[name] = parsed.data;
    else issues.push(createIssue(setting, text));
  }
  if (issues.length > 0) return { outcome: "mistaken", issues };
  return { outcome: "valid", values: values as SettingValues<Table> };
}

/** Formats an invalid setting as one line. */
export function formatSettingIssue(issue: SettingIssue): string {
  return `${issue.name}: got ${issue.value}, expected ${issue.expected}`;
}

function createIssue(setting: Setting<unknown>, text: string | undefined): SettingIssue {
  return {
    name: `${setting.flag} (${setting.variable})`,
    value: text === undefined ? "(not set)" : JSON.stringify(text),
    expected: setting.expected,
  };
}
