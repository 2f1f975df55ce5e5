/** The journal's records of the demand of services, which let a new owner foresee their bursts. */

import { Decoder, Encoder } from "cbor-x";
import type { ServiceRecord } from "./demand_history.ts";
import type { JournalEntry } from "./owner_ports.ts";

const DEMAND_PREFIX = "demand/";

const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false });

/** The record of a service. Its onset is a time of day, in milliseconds since 1970. */
export interface StoredDemand {
  service: string;
  record: ServiceRecord;
}

/** Creates the journal entry that stores the demand of a service. */
export function createDemandEntry({ service, record }: StoredDemand): JournalEntry {
  return { key: DEMAND_PREFIX + service, value: encoder.encode(record) };
}

/** Reads the demand of services from the newest value of each key. Unreadable records are skipped. */
export function readStoredDemand(
  entries: Iterable<readonly [string, Uint8Array]>,
): StoredDemand[] {
  const demands: StoredDemand[] = [];
  for (const [key, value] of entries) {
    if (!key.startsWith(DEMAND_PREFIX)) continue;
    const record = decode(value);
    if (record !== undefined) demands.push({ service: key.slice(DEMAND_PREFIX.length), record });
  }
  return demands;
}

function decode(value: Uint8Array): ServiceRecord | undefined {
  try {
    const { learned, onset, gaps, outcomes } = decoder.decode(value) as ServiceRecord;
    const numbers = [
      learned.height.cpu,
      learned.height.memory,
      learned.jobRate,
      learned.durationMilliseconds,
      onset,
      outcomes.hits,
      outcomes.misses,
      ...gaps.flatMap(({ milliseconds, score }) => [milliseconds, score]),
    ];
    if (!numbers.every(Number.isFinite)) return undefined;
    return { learned, onset, gaps, outcomes };
  } catch {
    return undefined;
  }
}
