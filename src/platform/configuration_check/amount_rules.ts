/** The rules for amounts and limits in a configuration. */

import type { ConfigurationData, Customer, Queue } from "../../fleet/configuration.ts";
import {
  CUSTOMER_LIST,
  type EntryList,
  type Field,
  formatIndexedPlace,
  QUEUE_LIST,
  TOP_LEVEL_FIELDS,
  TOP_LEVEL_PLACE,
} from "./configuration_fields.ts";
import { type Finding, FindingCode, FindingSeverity } from "./finding.ts";

/**
 * The ceilings below which no usual task fits, in thousandths of a core, MB and accelerators.
 * A smaller number is likely in cores or GB.
 */
const SMALLEST_USUAL_CEILING = { cpu: 100, memory: 64, accelerators: 1 };
/** The size of the smallest job that a caller can submit, in bytes. */
const SMALLEST_JOB_BYTES = JSON.stringify({ taskSpec: "", steps: [{ count: 1 }] }).length;

const CEILING_RESOURCES = [
  { name: "ceiling.cpu", resource: "cpu" },
  { name: "ceiling.memMb", resource: "memory" },
  { name: "ceiling.gpu", resource: "accelerators" },
] as const;

/** Finds amounts that are invalid, and limits that contradict each other. */
export function findAmountFindings(data: ConfigurationData): Finding[] {
  // Fleets without accelerators leave that limit out.
  const limitsAccelerators = data.customers.some(({ ceiling }) => ceiling.accelerators > 0);
  return [
    ...findInvalidAmounts(data, TOP_LEVEL_FIELDS, TOP_LEVEL_PLACE),
    ...findBodyLimitFindings(data),
    ...findListFindings(data, QUEUE_LIST, findQueueLimitFindings),
    ...findListFindings(data, CUSTOMER_LIST, (customer, place) => [
      ...findWeightFindings(customer, place),
      ...findCeilingFindings(customer, place, limitsAccelerators),
    ]),
  ];
}

function findListFindings<Entry extends { name: string }>(
  data: ConfigurationData,
  list: EntryList<Entry>,
  findFindings: (entry: Entry, place: string) => Finding[],
): Finding[] {
  return list.getEntries(data).flatMap((entry, index) => {
    const place = formatIndexedPlace(list.name, index, entry.name);
    return [...findInvalidAmounts(entry, list.fields, place), ...findFindings(entry, place)];
  });
}

function findInvalidAmounts<Entry>(
  entry: Entry,
  fields: readonly Field<Entry>[],
  place: string,
): Finding[] {
  return fields.flatMap(({ name, getValue, mayBeFraction }) => {
    const value = getValue(entry);
    if (typeof value !== "number") return [];
    if (value >= 0 && (mayBeFraction || Number.isSafeInteger(value))) return [];
    const expected = mayBeFraction ? "a number that is" : "an integer that is";
    return [{
      code: FindingCode.InvalidAmount,
      severity: FindingSeverity.Error,
      place,
      field: name,
      message: `expected ${expected} not negative, found ${value}`,
    }];
  });
}

function findBodyLimitFindings({ largestBodyBytes }: ConfigurationData): Finding[] {
  if (largestBodyBytes < 0 || largestBodyBytes >= SMALLEST_JOB_BYTES) return [];
  return [{
    code: FindingCode.LowBodyLimit,
    severity: FindingSeverity.Error,
    place: TOP_LEVEL_PLACE,
    field: "limits.maxBodyBytes",
    message: `no job fits in ${largestBodyBytes} bytes; the smallest has ${SMALLEST_JOB_BYTES}`,
  }];
}

function findQueueLimitFindings(queue: Queue, place: string): Finding[] {
  const findings: Finding[] = [];
  if (queue.attemptLimit === 0) {
    findings.push({
      code: FindingCode.NoAttempts,
      severity: FindingSeverity.Warning,
      place,
      field: "maxAttempts",
      message: "0 has the same effect as 1: a job fails at the first failed run of a task",
    });
  }
  if (queue.stretch >= 0 && queue.stretch < 1) {
    findings.push({
      code: FindingCode.LowStretch,
      severity: FindingSeverity.Warning,
      place,
      field: "stretch",
      message:
        `${queue.stretch} is below 1: the objective is shorter than the critical path of a ` +
        `long job, whatever targetLatencyMs (${queue.objectiveMilliseconds}) adds`,
    });
  }
  return findings;
}

function findWeightFindings(customer: Customer, place: string): Finding[] {
  if (customer.weight !== 0) return [];
  return [{
    code: FindingCode.NoWeight,
    severity: FindingSeverity.Error,
    place,
    field: "weight",
    message: "a customer with weight 0 has no share under contention",
  }];
}

function findCeilingFindings(
  customer: Customer,
  place: string,
  limitsAccelerators: boolean,
): Finding[] {
  const { ceiling } = customer;
  const hasCeiling = Object.values(ceiling).some((amount) => amount > 0);
  return CEILING_RESOURCES.flatMap(({ name, resource }): Finding[] => {
    const amount = ceiling[resource];
    if (amount === 0 && hasCeiling && (resource !== "accelerators" || limitsAccelerators)) {
      return [{
        code: FindingCode.PartialCeiling,
        severity: FindingSeverity.Warning,
        place,
        field: name,
        message: "0 or absent means no limit, while another resource of this customer is limited",
      }];
    }
    if (amount <= 0 || amount >= SMALLEST_USUAL_CEILING[resource]) return [];
    return [{
      code: FindingCode.LowCeiling,
      severity: FindingSeverity.Warning,
      place,
      field: name,
      message:
        `${amount} is below the smallest usual task (${SMALLEST_USUAL_CEILING[resource]}); ` +
        "cpu is in thousandths of a core, memMb in MB",
    }];
  });
}
