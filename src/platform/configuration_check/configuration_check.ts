/** Checks a configuration in the platform's format before it is published. */

import { decodeConfigurationData } from "../published_records.ts";
import { findAmountFindings } from "./amount_rules.ts";
import { findDifferences } from "./configuration_differences.ts";
import { TOP_LEVEL_PLACE } from "./configuration_fields.ts";
import { findEntryFindings } from "./entry_rules.ts";
import { countFindings, type Finding, FindingCode, FindingSeverity } from "./finding.ts";
import { findJsonError } from "./json_position.ts";

const SEVERITY_ORDER = [FindingSeverity.Error, FindingSeverity.Warning, FindingSeverity.Change];

/**
 * Checks the bytes of a configuration, and compares it with the version in force if that is given.
 * Gets the findings: errors first, then warnings, then differences.
 */
export function checkConfiguration(value: Buffer, inForce?: Buffer): Finding[] {
  const data = decodeConfigurationData(value);
  const earlier = inForce === undefined ? undefined : decodeConfigurationData(inForce);
  const findings = [
    ..."issues" in data
      ? describeIssues(value, data.issues)
      : [...findEntryFindings(data), ...findAmountFindings(data)],
    ...earlier !== undefined && "issues" in earlier
      ? describeIssues(inForce!, earlier.issues).map(markAsComparison)
      : [],
    ...earlier === undefined || "issues" in earlier || "issues" in data
      ? []
      : findDifferences(data, earlier),
  ];
  return SEVERITY_ORDER.flatMap((severity) =>
    findings.filter((finding) => finding.severity === severity)
  );
}

/** Gets whether findings contain an error. */
export function hasErrors(findings: readonly Finding[]): boolean {
  return countFindings(findings, FindingSeverity.Error) > 0;
}

/** Formats findings as text, one line each, with their numbers in the last line. */
export function formatFindingsAsText(findings: readonly Finding[]): string {
  const lines = findings.map(({ code, severity, place, field, message }) =>
    `${severity} ${code}: ${place}${field === undefined ? "" : ` ${field}`}: ${message}\n`
  );
  const counts = Object.entries(countBySeverity(findings)).map(([name, count]) =>
    `${count} ${name}`
  );
  return lines.join("") + counts.join(", ") + "\n";
}

/** Formats findings as JSON, with their numbers. */
export function formatFindingsAsJson(findings: readonly Finding[]): string {
  return JSON.stringify({ ...countBySeverity(findings), findings }, null, 2) + "\n";
}

function countBySeverity(findings: readonly Finding[]) {
  return {
    errors: countFindings(findings, FindingSeverity.Error),
    warnings: countFindings(findings, FindingSeverity.Warning),
    changes: countFindings(findings, FindingSeverity.Change),
  };
}

function describeIssues(
  value: Buffer,
  issues: readonly { path: readonly PropertyKey[]; message: string }[],
): Finding[] {
  const position = findJsonError(value.toString());
  if (position !== undefined) {
    return [{
      code: FindingCode.InvalidJson,
      severity: FindingSeverity.Error,
      place: `line ${position.line}, column ${position.column}`,
      message: "the text is not JSON from here on",
    }];
  }
  return issues.map(({ path, message }) => ({
    code: FindingCode.InvalidField,
    severity: FindingSeverity.Error,
    ...splitPath(path),
    message,
  }));
}

/** Splits the path of a field into its entry, for example `routes[2]`, and the field in it. */
function splitPath(path: readonly PropertyKey[]): Pick<Finding, "place" | "field"> {
  const isEntry = typeof path[1] === "number";
  const place = isEntry ? `${String(path[0])}[${path[1] as number}]` : TOP_LEVEL_PLACE;
  const field = path.slice(isEntry ? 2 : 0).reduce<string>(
    (text, part) =>
      typeof part === "number" ? `${text}[${part}]` : `${text}${text && "."}${String(part)}`,
    "",
  );
  return { place, field: field || undefined };
}

function markAsComparison(finding: Finding): Finding {
  return {
    ...finding,
    code: FindingCode.InvalidComparison,
    place: `version in force, ${finding.place}`,
  };
}
