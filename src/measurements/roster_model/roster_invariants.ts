/** The invariants of standing and roster, asserted at every step of a modelled run. */

import {
  FRESHNESS_LIMIT_MILLISECONDS,
  REPORT_VALIDITY_MILLISECONDS,
  widenDuration,
} from "../../contracts/freshness.ts";
import { getMajority } from "../../contracts/roster.ts";
import type { RosterView } from "../../contracts/roster_messages.ts";
import type { SimulatedProcess } from "./simulated_process.ts";

/** How long a host may act on what it lacks, beyond the freshness limit, while the log is up. */
export const ISOLATION_BOUND_MILLISECONDS = 1_000;

/** The longest time after which a restriction is applied or the member is isolated. */
const RESTRICTION_MILLISECONDS =
  Math.max(widenDuration(FRESHNESS_LIMIT_MILLISECONDS), REPORT_VALIDITY_MILLISECONDS) +
  ISOLATION_BOUND_MILLISECONDS;

/** An acknowledged restriction. */
export interface Restriction {
  /** Its offset. */
  offset: number;
  /** When it was acknowledged, in milliseconds of the model. */
  acknowledgedAt: number;
}

/** Gets since when a process is awake and can read the log, in milliseconds of the model. */
export type GetReadingSince = (memberId: string) => number;

/** Keeps what the invariants need, and the first violation. */
export class RosterInvariants {
  readonly #getReadingSince: GetReadingSince;
  readonly #inForce = new Map<string, string>();
  readonly #seenRosters = new WeakSet<RosterView>();
  readonly #restrictions: Restriction[] = [];
  #settledOffset = -1;
  #violation: string | undefined;
  #checks = 0;

  private constructor(getReadingSince: GetReadingSince) {
    this.#getReadingSince = getReadingSince;
  }

  /** Creates the invariants of a run. */
  static create(options: { getReadingSince: GetReadingSince }): RosterInvariants {
    return new RosterInvariants(options.getReadingSince);
  }

  /** Notes an acknowledged restriction. */
  addRestriction(restriction: Restriction): void {
    this.#restrictions.push(restriction);
  }

  /** Checks every invariant at this time. */
  check(processes: readonly SimulatedProcess[], now: number): void {
    this.#checks += 1;
    for (const process of processes) this.#addInForce(process);
    for (const process of processes) {
      if (!process.isActing()) continue;
      this.#checkRemoval(process, now);
      this.#checkRestrictions(process, now);
    }
  }

  /** Notes a violation; the first one is kept. */
  addViolation(text: string): void {
    this.#violation ??= text;
  }

  /** Gets the first violation. */
  getViolation(): string | undefined {
    return this.#violation;
  }

  /** Gets how many removals were in force and how often the invariants were checked. */
  getCounts(): { removals: number; checks: number; restrictions: number } {
    const restrictions = this.#restrictions.length;
    return { removals: this.#inForce.size, checks: this.#checks, restrictions };
  }

  #addInForce(process: SimulatedProcess): void {
    const { roster } = process;
    if (roster === undefined || this.#seenRosters.has(roster)) return;
    this.#seenRosters.add(roster);
    this.#settledOffset = Math.max(this.#settledOffset, process.membership.getInForceOffset());
    for (const departure of roster.departing) {
      if (!departure.isInForce || this.#inForce.has(departure.memberId)) continue;
      this.#inForce.set(departure.memberId, process.memberId);
    }
  }

  #checkRemoval(process: SimulatedProcess, now: number): void {
    const by = this.#inForce.get(process.memberId);
    if (by !== undefined) {
      this.addViolation(`${now}: ${process.memberId} acts though ${by} holds its removal in force`);
    }
    if (process.getOffset() < this.#settledOffset) {
      this.addViolation(
        `${now}: ${process.memberId} acts at offset ${process.getOffset()} though the change ` +
          `of the roster at ${this.#settledOffset} is in force`,
      );
    }
  }

  #checkRestrictions(process: SimulatedProcess, now: number): void {
    for (let index = this.#restrictions.length - 1; index >= 0; index -= 1) {
      const { offset, acknowledgedAt } = this.#restrictions[index] as Restriction;
      if (process.getOffset() >= offset) return;
      if (now - acknowledgedAt <= RESTRICTION_MILLISECONDS) continue;
      if (!this.#isLogUpFor(process, acknowledgedAt)) continue;
      this.addViolation(
        `${now}: ${process.memberId} acts without the restriction ${offset} ` +
          `that was acknowledged at ${acknowledgedAt}`,
      );
    }
  }

  /** Gets whether so many of its roster read the log since then that no majority is blind. */
  #isLogUpFor(process: SimulatedProcess, since: number): boolean {
    const members = process.roster?.members ?? [];
    const readers = members.filter((memberId) => this.#getReadingSince(memberId) <= since);
    return readers.length > members.length - getMajority(members.length);
  }
}
