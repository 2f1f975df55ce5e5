/** The journal's records of orders for hosts, which tell a later owner how long ago each was given. */

import { Decoder, Encoder } from "cbor-x";
import type { Claim } from "../ownership/ownership_ports.ts";
import { RENEWAL_MILLISECONDS } from "../ownership/ownership_task.ts";
import type { JournalEntry } from "./owner_ports.ts";

/** How long the record of an order may take to be stored before the order is dropped, in milliseconds. */
export const ORDER_RECORD_MILLISECONDS = 800;
/** How long the provider may take for an order, in milliseconds; it answers in a few. */
export const PROVIDER_TIMEOUT_MILLISECONDS = 1_000;
/**
 * How many renewals of a claim may have been sent that its holder does not know of when it writes:
 * one whose answer is on its way, and the one after it.
 */
const UNKNOWN_RENEWALS = 2;

const ORDER_PREFIX = "host-order/";

const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false });

/** The moment of an order, by the claim of the owner that gave it: no clock of a host can step it. */
export interface HostOrderMoment {
  /** The epoch of the claim. */
  epoch: number;
  /** The renewals of the claim that its holder knew of. */
  renewal: number;
}

/** Gets the entry that must be stored right before each order for a host. */
export function createHostOrderEntry(host: string, moment: HostOrderMoment): JournalEntry {
  const { epoch, renewal } = moment;
  return { key: ORDER_PREFIX + host, value: encoder.encode({ epoch, renewal }) };
}

/** Options of `getHostOrderWaits`. */
export interface HostOrderWaitOptions {
  /** What earlier owners stored, by key; they can't store more. */
  stored: Iterable<readonly [string, Uint8Array]>;
  /** The claim before this owner's own, as it was last renewed. */
  previous: Claim | undefined;
  /** How long holders of orders for one host must be apart, in milliseconds. */
  leaseMilliseconds: number;
}

/**
 * Gets for how long a new owner must leave hosts alone, in milliseconds, by their names.
 *
 * An earlier order may have been sent for as long as its record may take, and may take effect
 * within the provider's time-out; the lease is counted from there. How long ago that was at least
 * is told by the renewals of the claim, which are never closer than their interval.
 */
export function getHostOrderWaits(options: HostOrderWaitOptions): Map<string, number> {
  const { stored, previous, leaseMilliseconds } = options;
  const waits = new Map<string, number>();
  if (previous === undefined) return waits;
  for (const [key, value] of stored) {
    if (!key.startsWith(ORDER_PREFIX)) continue;
    const moment = decoder.decode(value) as HostOrderMoment;
    const longest = ORDER_RECORD_MILLISECONDS + PROVIDER_TIMEOUT_MILLISECONDS + leaseMilliseconds;
    const wait = longest - getLeastAge(moment, previous);
    // A holder that released its claim had nothing on its way any more.
    const most = previous.isReleased ? leaseMilliseconds : longest;
    if (wait > 0) waits.set(key.slice(ORDER_PREFIX.length), Math.min(wait, most));
  }
  return waits;
}

/** Gets how long before the last renewal of the previous claim an order was given, at least. */
function getLeastAge(moment: HostOrderMoment, previous: Claim): number {
  const before = moment.epoch === previous.epoch ? moment.renewal : 0;
  return Math.max(0, previous.renewal - before - UNKNOWN_RENEWALS) * RENEWAL_MILLISECONDS;
}
