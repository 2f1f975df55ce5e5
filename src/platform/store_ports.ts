/** Implements the journal, the ownership claims and the operator statuses on the platform's store. */

import { Decoder, Encoder } from "cbor-x";
import type { JournalEntry } from "../owner/owner_ports.ts";
import type {
  AppendClaim,
  Claim,
  ClaimAppendResult,
  EntryStore,
  JournalStore,
} from "../ownership/ownership_ports.ts";
import { RecordSplitter } from "./record_splitter.ts";
import { encodeKeyedRecord, type StoreClient } from "./store_client.ts";

/** The topic of ownership claims. */
export const CLAIMS_TOPIC = "keyed.claims";
/** The key of the claim on the whole fleet. */
export const FLEET_CLAIM_KEY = "fleet";
/** The topic of the owner's journal. */
const JOURNAL_TOPIC = "keyed.journal";
/** The producer of the journal; all owners share the name, because an epoch fences only its own producer. */
const JOURNAL_PRODUCER = "fleet-owner";
/** The topic of the statuses of maintenance waves, for operators. */
const STATUS_TOPIC = "keyed.status";
/** The producer of statuses; all owners share the name, as for the journal. */
const STATUS_PRODUCER = "fleet-owner";

/** The statuses by which the store refuses a request that it will never carry out. */
const PERMANENT_STATUSES: ReadonlySet<number> = new Set([400, 413]);

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** The limits of the store, in bytes. */
export interface StoreLimits {
  /** The maximum size of a record. */
  recordBytes: number;
  /** The maximum size of all records of a call. */
  callBytes: number;
}

/** Creates the journal of the fleet owner on the store. */
export function createJournalStore(store: StoreClient, limits: StoreLimits): JournalStore {
  const partition = { topic: JOURNAL_TOPIC, part: 0 };
  const splitter = RecordSplitter.create(limits.recordBytes);
  const append = createAppend(store, JOURNAL_TOPIC, JOURNAL_PRODUCER);
  return {
    append: async (entries, epoch, sequence) => {
      const split = splitter.split(entries);
      const bytes = split.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
      if (bytes > limits.callBytes) {
        return { outcome: "unstorable", reason: `${bytes} bytes are too many for a call` };
      }
      const result = await append(split, epoch, sequence);
      if (result.outcome === "done") splitter.recordStored(entries);
      return result;
    },
    readAll: async () => {
      const newest = await store.readNewest(partition);
      if (newest.outcome !== "done") return undefined;
      return splitter.join(newest.values.map(({ key, value }) => [key, value] as const));
    },
  };
}

/** Creates the function that appends ownership claims to the store. */
export function createClaimAppend(store: StoreClient): AppendClaim {
  return async (claim, at): Promise<ClaimAppendResult> => {
    const result = await store.append({
      topic: CLAIMS_TOPIC,
      part: 0,
      records: [encodeKeyedRecord(FLEET_CLAIM_KEY, encoder.encode(claim))],
      at,
    });
    if (result.outcome === "done") return { outcome: "done", end: result.end };
    return { outcome: result.outcome === "wrong-end" ? "lost" : "failed" };
  };
}

/** Decodes a claim, or gets undefined if the value is invalid. */
export function decodeClaim(value: Buffer): Claim | undefined {
  try {
    const claim = decoder.decode(value) as Claim;
    return typeof claim?.epoch === "number" && typeof claim.holder === "string" ? claim : undefined;
  } catch {
    return undefined;
  }
}

/** Creates the store of operator statuses; the first status of a later owner fences all earlier owners. */
export function createStatusStore(store: StoreClient): EntryStore {
  return { append: createAppend(store, STATUS_TOPIC, STATUS_PRODUCER) };
}

/** Creates the entry that reports the state of a maintenance wave to operators. */
export function createWaveStatusEntry(wave: number, isCompleted: boolean): JournalEntry {
  const state = isCompleted ? "completed" : "running";
  return { key: `wave/${wave}`, value: Buffer.from(JSON.stringify({ wave, state })) };
}

function createAppend(store: StoreClient, topic: string, producer: string): EntryStore["append"] {
  return async (entries, epoch, sequence) => {
    const result = await store.append({
      topic,
      part: 0,
      records: entries.map((entry) => encodeKeyedRecord(entry.key, entry.value)),
      producer: { name: producer, epoch, sequence },
    });
    if (result.outcome === "wrong-end") return { outcome: "refused", status: 412 };
    if (result.outcome === "refused" && PERMANENT_STATUSES.has(result.status)) {
      return { outcome: "unstorable", reason: `status ${result.status}` };
    }
    return result;
  };
}
