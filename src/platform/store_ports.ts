/** The project's journal, claims and followed topics on the platform's store. */

import { Decoder, Encoder } from "cbor-x";
import type { EventLog } from "../events/mod.ts";
import type {
  AppendClaim,
  Claim,
  ClaimAppendResult,
  JournalStore,
} from "../ownership/ownership_ports.ts";
import { encodeKeyedRecord, type StoreClient } from "./store_client.ts";

/** The topic of claims. */
export const CLAIMS_TOPIC = "keyed.claims";
/** The key of the claim on the whole fleet. */
export const FLEET_CLAIM_KEY = "fleet";
/** The topic of the owner's journal. */
const JOURNAL_TOPIC = "keyed.journal";
/** The producer of the journal: one name for all owners, since an epoch only fences its own producer. */
const JOURNAL_PRODUCER = "fleet-owner";

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Creates the journal on the store. */
export function createJournalStore(store: StoreClient): JournalStore {
  const partition = { topic: JOURNAL_TOPIC, part: 0 };
  return {
    append: async (entries, epoch, sequence) => {
      const result = await store.append({
        ...partition,
        records: entries.map((entry) => encodeKeyedRecord(entry.key, entry.value)),
        producer: { name: JOURNAL_PRODUCER, epoch, sequence },
      });
      if (result.outcome === "wrong-end") return { outcome: "refused", status: 412 };
      return result;
    },
    readAll: async () => {
      const newest = await store.readNewest(partition);
      if (newest.outcome !== "done") return undefined;
      return newest.values.map(({ key, value }) => [key, value]);
    },
  };
}

/** Creates the append of claims on the store. */
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

/** Decodes a claim, or gets undefined if the value is none. */
export function decodeClaim(value: Buffer): Claim | undefined {
  try {
    const claim = decoder.decode(value) as Claim;
    return typeof claim?.epoch === "number" && typeof claim.holder === "string" ? claim : undefined;
  } catch {
    return undefined;
  }
}

/** The topic of what the system tells operators. */
const STATUS_TOPIC = "keyed.status";
/** The pause before a status that was not stored is written again, in milliseconds. */
const STATUS_RETRY_MILLISECONDS = 250;
/** How often a status is written before it is given up; the next owner writes it again. */
const STATUS_ATTEMPTS = 40;

/** Tells operators how far a wave is, again until it is stored. */
export async function writeWaveStatus(
  store: StoreClient,
  wave: number,
  isCompleted: boolean,
  log: EventLog,
): Promise<void> {
  const state = isCompleted ? "completed" : "running";
  const record = encodeKeyedRecord(`wave/${wave}`, Buffer.from(JSON.stringify({ wave, state })));
  for (let attempt = 1; attempt <= STATUS_ATTEMPTS; attempt += 1) {
    const result = await store.append({ topic: STATUS_TOPIC, part: 0, records: [record] });
    if (result.outcome === "done") return log("wave-status-written", { wave, state, attempt });
    await new Promise((resolve) => setTimeout(resolve, STATUS_RETRY_MILLISECONDS));
  }
  log("wave-status-not-written", { step: "append", wave, state, attempts: STATUS_ATTEMPTS });
}
