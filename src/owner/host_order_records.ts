/** The journal's records of orders for hosts, which tell a later owner how long ago each was given. */

import { Decoder, Encoder } from "cbor-x";
import type { Executor } from "../fleet/executor.ts";
import type { Claim } from "../ownership/ownership_ports.ts";
import { AUTHORITY_MILLISECONDS, RENEWAL_MILLISECONDS } from "../ownership/ownership_task.ts";
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
/** How many executors' clocks an order's record names, so that one of them is likely to be left. */
const CLOCKS = 3;

const ORDER_PREFIX = "host-order/";

const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false });

/** What the clock of an executor showed. */
type ClockReading = readonly [executorId: string, born: number, time: number];

/** The moment of an order, by what no clock of an entry host can step. */
export interface HostOrderMoment {
  /** The epoch of the claim. */
  epoch: number;
  /** The renewals of the claim that its holder knew of. */
  renewal: number;
  /** What clocks of executors showed, at most. */
  clocks: readonly ClockReading[];
}

/** Options of `createHostOrderEntry`. */
export interface HostOrderEntryOptions extends Omit<HostOrderMoment, "clocks"> {
  /** The name of the host. */
  host: string;
  /** The executors whose clocks may be read. */
  executors: Iterable<Executor>;
  /** The time on the steady clock. */
  now: number;
}

/** Gets the entry that must be stored right before each order for a host. */
export function createHostOrderEntry(options: HostOrderEntryOptions): JournalEntry {
  const { host, epoch, renewal, executors, now } = options;
  const clocks: ClockReading[] = [];
  for (const executor of executors) {
    const time = executor.getTime(now);
    // The executor of the host itself ends with the order.
    if (time === undefined || executor.entry.host === host) continue;
    clocks.push([executor.id, executor.entry.born, time]);
    if (clocks.length === CLOCKS) break;
  }
  const moment: HostOrderMoment = { epoch, renewal, clocks };
  return { key: ORDER_PREFIX + host, value: encoder.encode(moment) };
}

/** Options of `EarlierHostOrders.create`. */
export interface EarlierHostOrdersOptions {
  /** What earlier owners stored, by key; they can't store more. */
  stored: Iterable<readonly [string, Uint8Array]>;
  /** The claim before this owner's own, as it was last renewed. */
  previousClaim: Claim | undefined;
  /** How long holders of orders for one host must be apart, in milliseconds. */
  leaseMilliseconds: number;
  /** When this owner took over, on the steady clock. */
  startedAt: number;
}

/**
 * The orders for hosts that earlier owners gave, and for how long each binds this one.
 *
 * An order may have been sent for as long as its record may take, and may take effect within the
 * provider's time-out; the lease is counted from there. How long ago that was at least is told by
 * the renewals of the claim since, which are never closer than their interval, or by the clock of
 * an executor that was read then and is read again now.
 */
export class EarlierHostOrders {
  readonly #options: EarlierHostOrdersOptions;
  readonly #moments = new Map<string, HostOrderMoment>();

  private constructor(options: EarlierHostOrdersOptions) {
    this.#options = options;
    if (options.previousClaim === undefined) return;
    for (const [key, value] of options.stored) {
      if (!key.startsWith(ORDER_PREFIX)) continue;
      this.#moments.set(
        key.slice(ORDER_PREFIX.length),
        decoder.decode(value) as HostOrderMoment,
      );
    }
  }

  /** Creates them from what earlier owners stored. */
  static create(options: EarlierHostOrdersOptions): EarlierHostOrders {
    return new EarlierHostOrders(options);
  }

  /** Gets whether an earlier order for a host still binds; once it does not, it is forgotten. */
  isBinding(host: string, now: number, executors: ReadonlyMap<string, Executor>): boolean {
    const moment = this.#moments.get(host);
    if (moment === undefined) return false;
    const { previousClaim, leaseMilliseconds, startedAt } = this.#options;
    const here = now - startedAt;
    // A holder that released its claim had nothing on its way any more.
    const isOverByRelease = previousClaim!.isReleased && here >= leaseMilliseconds;
    const longest = ORDER_RECORD_MILLISECONDS + PROVIDER_TIMEOUT_MILLISECONDS + leaseMilliseconds;
    const age = Math.max(
      getAgeByRenewals(moment, previousClaim!) + here,
      getAgeByClocks(moment, executors, now),
    );
    if (!isOverByRelease && age < longest) return true;
    this.#moments.delete(host);
    return false;
  }
}

/** Gets how long before the last renewal of the previous claim an order was given, at least. */
function getAgeByRenewals(moment: HostOrderMoment, previous: Claim): number {
  const isOfPrevious = moment.epoch === previous.epoch;
  const renewals = previous.renewal - (isOfPrevious ? moment.renewal : 0) - UNKNOWN_RENEWALS;
  // An owner before the previous one may have gone on after that one's claim, until it was fenced.
  const overlap = isOfPrevious ? 0 : AUTHORITY_MILLISECONDS;
  return Math.max(0, renewals * RENEWAL_MILLISECONDS - overlap);
}

/** Gets how long ago an order was given by the clocks of executors, at least. */
function getAgeByClocks(
  moment: HostOrderMoment,
  executors: ReadonlyMap<string, Executor>,
  now: number,
): number {
  let age = 0;
  for (const [id, born, time] of moment.clocks) {
    const executor = executors.get(id);
    if (executor === undefined || executor.entry.born !== born || !executor.isFenced) continue;
    age = Math.max(age, (executor.getTime(now) ?? 0) - time);
  }
  return age;
}
