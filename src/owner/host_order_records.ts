/** The journal's records of orders for hosts, which tell a new owner how old each order is. */

import { Decoder, Encoder } from "cbor-x";
import type { Executor } from "../fleet/executor.ts";
import type { Claim } from "../ownership/ownership_ports.ts";
import {
  CLAIM_VALIDITY_MILLISECONDS,
  RENEWAL_INTERVAL_MILLISECONDS,
} from "../ownership/ownership_task.ts";
import type { JournalEntry } from "./owner_ports.ts";

/** How long storing an order's record may take before the order is dropped, in milliseconds. */
export const ORDER_RECORD_TIMEOUT_MILLISECONDS = 800;
/** How long the provider may take for an order, in milliseconds. Usually it takes a few. */
export const PROVIDER_TIMEOUT_MILLISECONDS = 1_000;
/**
 * How many renewals of a claim may be missing from a record, since its writer had not counted them:
 * one whose response was pending, and the next one.
 */
const MAXIMUM_UNCOUNTED_RENEWALS = 2;
/** How many executors' clocks a record has, so that at least one of them is likely to survive. */
const MAXIMUM_CLOCK_READINGS = 3;

const ORDER_PREFIX = "host-order/";

const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false });

type ClockReading = readonly [executorId: string, born: number, time: number];

/** When an order was sent, independently of the clocks of entry hosts, which may step. */
export interface HostOrderRecord {
  /** The epoch of the claim. */
  epoch: number;
  /** The number of renewals of the claim that its holder knew of. */
  renewal: number;
  /** Upper bounds of what the clocks of some executors showed. */
  clocks: readonly ClockReading[];
}

export interface HostOrderEntryOptions extends Omit<HostOrderRecord, "clocks"> {
  host: string;
  /** The executors whose clocks may be recorded. */
  executors: Iterable<Executor>;
  /** The time on the monotonic clock. */
  now: number;
}

/** Creates the journal entry that must be stored immediately before each order for a host. */
export function createHostOrderEntry(options: HostOrderEntryOptions): JournalEntry {
  const { host, epoch, renewal, executors, now } = options;
  const clocks: ClockReading[] = [];
  for (const executor of executors) {
    const time = executor.getExecutorTime(now);
    // The host's own executor is skipped because the order ends it.
    if (time === undefined || executor.entry.host === host) continue;
    clocks.push([executor.id, executor.entry.born, time]);
    if (clocks.length === MAXIMUM_CLOCK_READINGS) break;
  }
  const record: HostOrderRecord = { epoch, renewal, clocks };
  return { key: ORDER_PREFIX + host, value: encoder.encode(record) };
}

export interface EarlierHostOrdersOptions {
  /** The journal's entries by key. It is fenced, so earlier owners can't add any. */
  stored: Iterable<readonly [string, Uint8Array]>;
  /** The previous owner's claim as of its last renewal. */
  previousClaim: Claim | undefined;
  /** How far apart orders of different owners for one host must be, in milliseconds. */
  leaseMilliseconds: number;
  /** When this owner took over, on the monotonic clock. */
  startedAt: number;
}

/**
 * The orders for hosts that earlier owners sent, each of which blocks its host for a while.
 *
 * An order is sent within the time-out of its record, and takes effect within the provider's
 * time-out. The lease starts then. Two sources give a lower bound of an order's age: the renewals
 * of the claim since, which are at least one interval apart, and the clock of an executor that was
 * read then and has been read again.
 */
export class EarlierHostOrders {
  readonly #options: EarlierHostOrdersOptions;
  readonly #records = new Map<string, HostOrderRecord>();

  private constructor(options: EarlierHostOrdersOptions) {
    this.#options = options;
    if (options.previousClaim === undefined) return;
    for (const [key, value] of options.stored) {
      if (!key.startsWith(ORDER_PREFIX)) continue;
      this.#records.set(
        key.slice(ORDER_PREFIX.length),
        decoder.decode(value) as HostOrderRecord,
      );
    }
  }

  static create(options: EarlierHostOrdersOptions): EarlierHostOrders {
    return new EarlierHostOrders(options);
  }

  /** Gets whether an earlier order still blocks a host. Removes the order once it has expired. */
  isBlocked(host: string, now: number, executors: ReadonlyMap<string, Executor>): boolean {
    const record = this.#records.get(host);
    if (record === undefined) return false;
    const { previousClaim, leaseMilliseconds, startedAt } = this.#options;
    const ownTenure = now - startedAt;
    // An owner releases its claim only when none of its orders is pending.
    const hasExpiredByRelease = previousClaim!.isReleased && ownTenure >= leaseMilliseconds;
    const blockMilliseconds = ORDER_RECORD_TIMEOUT_MILLISECONDS + PROVIDER_TIMEOUT_MILLISECONDS +
      leaseMilliseconds;
    const age = Math.max(
      getMinimumAgeByRenewals(record, previousClaim!) + ownTenure,
      getMinimumAgeByClocks(record, executors, now),
    );
    if (!hasExpiredByRelease && age < blockMilliseconds) return true;
    this.#records.delete(host);
    return false;
  }
}

/** Gets a lower bound of the time from an order to the last renewal of the previous claim. */
function getMinimumAgeByRenewals(record: HostOrderRecord, previous: Claim): number {
  const isOfPrevious = record.epoch === previous.epoch;
  const renewals = previous.renewal - (isOfPrevious ? record.renewal : 0) -
    MAXIMUM_UNCOUNTED_RENEWALS;
  // An owner before the previous one may have stayed active after it lost its claim, until it was
  // fenced.
  const overlap = isOfPrevious ? 0 : CLAIM_VALIDITY_MILLISECONDS;
  return Math.max(0, renewals * RENEWAL_INTERVAL_MILLISECONDS - overlap);
}

/** Gets a lower bound of an order's age from the clocks of executors. */
function getMinimumAgeByClocks(
  record: HostOrderRecord,
  executors: ReadonlyMap<string, Executor>,
  now: number,
): number {
  let age = 0;
  for (const [id, born, time] of record.clocks) {
    const executor = executors.get(id);
    if (executor === undefined || executor.entry.born !== born || !executor.hasAcceptedFence) {
      continue;
    }
    age = Math.max(age, (executor.getExecutorTime(now) ?? 0) - time);
  }
  return age;
}
