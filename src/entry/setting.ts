/** Settings: flags and environment variables, checked as a whole before anything starts. */

import type { z } from "zod";

/** One setting. */
export interface Setting<Value> {
  /** The flag, such as `--zone`. */
  flag: string;
  /** The environment variable, such as `TANAGERPIN_ZONE`. */
  variable: string;
  /** What is expected, for operators. */
  expected: string;
  /** The shape of the value; a default makes the setting optional. */
  schema: z.ZodType<Value>;
}

/** Settings by name. */
export type SettingTable = Readonly<Record<string, Setting<unknown>>>;

/** The values of settings by name. */
export type SettingValues<Table extends SettingTable> = {
  [Name in keyof Table]: z.output<Table[Name]["schema"]>;
};

/** One mistake in the settings. */
export interface SettingIssue {
  /** The flag and the environment variable. */
  name: string;
  /** The value that was given, or `(not set)`. */
  value: string;
  /** What is expected. */
  expected: string;
}

/** Settings that were read. */
export type SettingsResult<Table extends SettingTable> =
  | { outcome: "valid"; values: SettingValues<Table> }
  | { outcome: "mistaken"; issues: SettingIssue[] };

/** Options of `readSettings`. */
export interface ReadSettingsOptions<Table extends SettingTable> {
  /** The settings. */
  table: Table;
  /** The flags that were given, by the setting's name; they go before the variables. */
  flags: Readonly<Record<string, string | undefined>>;
  /** The environment variables. */
  environment: Readonly<Record<string, string | undefined>>;
}

/** Reads all settings, and lists every mistake. */
export function readSettings<Table extends SettingTable>(
  options: ReadSettingsOptions<Table>,
): SettingsResult<Table> {
  const values: Record<string, unknown> = {};
  const mistakes: SettingIssue[] = [];
  for (const [name, setting] of Object.entries(options.table)) {
    const text = options.flags[name] ?? options.environment[setting.variable];
    const parsed = setting.schema.safeParse(text);
    if (parsed.success) values[name] = parsed.data;
    else mistakes.push(createMistake(setting, text));
  }
  if (mistakes.length > 0) return { outcome: "mistaken", issues: mistakes };
  return { outcome: "valid", values: values as SettingValues<Table> };
}

/** Gets the line that tells of a mistake. */
export function formatSettingIssue(mistake: SettingIssue): string {
  return `${mistake.name}: got ${mistake.value}, expected ${mistake.expected}`;
}

function createMistake(setting: Setting<unknown>, text: string | undefined): SettingIssue {
  return {
    name: `${setting.flag} (${setting.variable})`,
    value: text === undefined ? "(not set)" : JSON.stringify(text),
    expected: setting.expected,
  };
}
