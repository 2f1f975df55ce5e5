/** The differences between two versions of a configuration. */

import type { ConfigurationData, Customer } from "../../fleet/configuration.ts";
import {
  CUSTOMER_LIST,
  type EntryList,
  type Field,
  type FieldValue,
  formatNamedPlace,
  KEYS_FIELD,
  QUEUE_LIST,
  SERVICE_LIST,
  TOP_LEVEL_FIELDS,
  TOP_LEVEL_PLACE,
} from "./configuration_fields.ts";
import { type Finding, FindingCode, FindingSeverity } from "./finding.ts";
import { getKeyFingerprint } from "./key_fingerprint.ts";

/** The maximum number of fingerprints in one message. */
const MAXIMUM_FINGERPRINTS = 8;

/** Finds the differences of a new version from the version in force. */
export function findDifferences(next: ConfigurationData, inForce: ConfigurationData): Finding[] {
  return [
    ...findVersionFindings(next, inForce),
    ...compareFields(next, inForce, TOP_LEVEL_FIELDS, TOP_LEVEL_PLACE),
    ...compareLists(next, inForce, QUEUE_LIST),
    ...compareLists(next, inForce, SERVICE_LIST),
    ...compareLists(next, inForce, CUSTOMER_LIST),
    ...compareKeys(next, inForce),
  ];
}

function findVersionFindings(next: ConfigurationData, inForce: ConfigurationData): Finding[] {
  if (next.version > inForce.version) return [];
  return [{
    code: FindingCode.VersionNotHigher,
    severity: FindingSeverity.Error,
    place: TOP_LEVEL_PLACE,
    field: "version",
    message: `hosts ignore version ${next.version}: version ${inForce.version} is in force`,
  }];
}

function compareLists<Entry extends { name: string }>(
  next: ConfigurationData,
  inForce: ConfigurationData,
  list: EntryList<Entry>,
): Finding[] {
  const nextEntries = indexByName(list.getEntries(next));
  const earlierEntries = indexByName(list.getEntries(inForce));
  return listNames(nextEntries, earlierEntries).flatMap((name) => {
    const place = formatNamedPlace(list.name, name);
    const entry = nextEntries.get(name);
    const earlier = earlierEntries.get(name);
    if (entry === undefined) return [createChange(FindingCode.Removed, place, "the entry is gone")];
    if (earlier === undefined) {
      return [createChange(FindingCode.Added, place, "the entry is new")];
    }
    return compareFields(entry, earlier, list.fields, place);
  });
}

function compareFields<Entry>(
  next: Entry,
  earlier: Entry,
  fields: readonly Field<Entry>[],
  place: string,
): Finding[] {
  return fields.flatMap(({ name, getValue }) => {
    const [from, to] = [getValue(earlier), getValue(next)];
    if (from === to) return [];
    const message = `${formatValue(from)} -> ${formatValue(to)}`;
    return [createChange(FindingCode.Changed, place, message, name)];
  });
}

function compareKeys(next: ConfigurationData, inForce: ConfigurationData): Finding[] {
  const nextCustomers = indexByName(next.customers);
  const earlierCustomers = indexByName(inForce.customers);
  return listNames(nextCustomers, earlierCustomers).flatMap((name) => {
    const place = formatNamedPlace(CUSTOMER_LIST.name, name);
    const keys = getKeys(nextCustomers.get(name));
    const earlierKeys = getKeys(earlierCustomers.get(name));
    const createFinding = (code: FindingCode, changed: string[], kept: number) =>
      changed.length === 0
        ? []
        : [createChange(code, place, formatKeys(changed, kept), KEYS_FIELD)];
    const added = [...keys].filter((key) => !earlierKeys.has(key));
    const removed = [...earlierKeys].filter((key) => !keys.has(key));
    const kept = keys.size - added.length;
    return [
      ...createFinding(FindingCode.Added, added, kept),
      ...createFinding(FindingCode.Removed, removed, kept),
    ];
  });
}

function getKeys(customer: Customer | undefined): Set<string> {
  return new Set(customer?.keys);
}

function formatKeys(keys: readonly string[], kept: number): string {
  const fingerprints = keys.slice(0, MAXIMUM_FINGERPRINTS).map(getKeyFingerprint).join(", ");
  const more = keys.length > MAXIMUM_FINGERPRINTS ? ", ..." : "";
  return `${keys.length} of ${keys.length + kept} keys: ${fingerprints}${more}`;
}

/** Indexes entries by name; of those with the same name, the last counts, as at the hosts. */
function indexByName<Entry extends { name: string }>(
  entries: readonly Entry[],
): Map<string, Entry> {
  return new Map(entries.map((entry) => [entry.name, entry]));
}

function listNames(...indexes: readonly ReadonlyMap<string, unknown>[]): string[] {
  return [...new Set(indexes.flatMap((index) => [...index.keys()]))];
}

function formatValue(value: FieldValue): string {
  return value === undefined ? "absent" : JSON.stringify(value);
}

function createChange(
  code: FindingCode,
  place: string,
  message: string,
  field?: string,
): Finding {
  return { code, severity: FindingSeverity.Change, place, field, message };
}
