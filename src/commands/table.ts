/** Formatting of tables for the terminal. */

/** A row of a table: cells by column. */
export type Row = Readonly<Record<string, string | number | boolean | undefined>>;

/** Formats a table with aligned columns. */
export function formatTable(columns: readonly string[], rows: readonly Row[]): string {
  const lines = [
    columns,
    ...rows.map((row) => columns.map((column) => String(row[column] ?? "-"))),
  ];
  const widths = columns.map((_, index) => Math.max(...lines.map((line) => line[index]!.length)));
  const format = (line: readonly string[]) =>
    line.map((cell, index) => cell.padEnd(widths[index] as number)).join("  ").trimEnd();
  return lines.map(format).join("\n") + "\n";
}
