/** Invariants of standing and roster, checked at every step of a roster simulation. */

import {
  FRESHNESS_LIMIT_MILLISECONDS,
  REPORT_VALIDITY_MILLISECONDS,
  widenDuration,
} from "../../contracts/freshness.ts";
import { getMajority } from "../../contracts/roster.ts";
import type { RosterView } from "../../contracts/roster_messages.ts";
import type { SimulatedProcess } from "./simulated_process.ts";

/** How long beyond the freshness limit a member may act without a restriction while the log is available. */
export const ISOLATION_BOUND_MILLISECONDS = 1_000;

/** Time within which a member must apply a restriction or be isolated. */
const RESTRICTION_LIMIT_MILLISECONDS =
  Math.max(widenDuration(FRESHNESS_LIMIT_MILLISECONDS), REPORT_VALIDITY_MILLISECONDS) +
  ISOLATION_BOUND_MILLISECONDS;

/** A restriction that was acknowledged to the operators. */
export interface Restriction {
  /** Offset of its record. */
  offset: number;
  /** When it was acknowledged, in simulated milliseconds. */
  acknowledgedAt: number;
}

/** Gets since when a process has been awake and able to read the log, in simulated milliseconds. */
export type GetReadingSince = (memberId: string) => number;

/** Checks the invariants and keeps the first violation. */
export class RosterInvariants {
  readonly #getReadingSince: GetReadingSince;
  readonly #inForce = new Map<string, string>();
  readonly #seenRosters = new WeakSet<RosterView>();
  readonly #restrictions: Restriction[] = [];
  #inForceOffset = -1;
  #violation: string | undefined;
  #checks = 0;

  private constructor(getReadingSince: GetReadingSince) {
    this.#getReadingSince = getReadingSince;
  }

  /** Creates the invariants of a simulation. */
  static create(options: { getReadingSince: GetReadingSince }): RosterInvariants {
    return new RosterInvariants(options.getReadingSince);
  }

  /** Adds an acknowledged restriction. */
  addRestriction(restriction: Restriction): void {
    this.#restrictions.push(restriction);
  }

  /** Checks all invariants at the given time. */
  check(processes: readonly SimulatedProcess[], now: number): void {
    this.#checks += 1;
    for (const process of processes) this.#addRemovalsInForce(process);
    for (const process of processes) {
      if (!process.isActing()) continue;
      this.#checkRemoval(process, now);
      this.#checkRestrictions(process, now);
    }
  }

  /** Adds a violation; only the first one is kept. */
  addViolation(text: string): void {
    this.#violation ??= text;
  }

  /** Gets the first violation. */
  getViolation(): string | undefined {
    return this.#violation;
  }

  /** Gets the number of removals in force, of checks and of restrictions. */
  getCounts(): { removals: number; checks: number; restrictions: number } {
    const restrictions = this.#restrictions.length;
    return { removals: this.#inForce.size, checks: this.#checks, restrictions };
  }

  #addRemovalsInForce(process: SimulatedProcess): void {
    const { roster } = process;
    if (roster === undefined || this.#seenRosters.has(roster)) return;
    this.#seenRosters.add(roster);
    this.#inForceOffset = Math.max(this.#inForceOffset, process.membership.getInForceOffset());
    for (const departure of roster.departing) {
      if (!departure.isInForce || this.#inForce.has(departure.memberId)) continue;
      this.#inForce.set(departure.memberId, process.memberId);
    }
  }

  #checkRemoval(process: SimulatedProcess, now: number): void {
    const witness = this.#inForce.get(process.memberId);
    if (witness !== undefined) {
      this.addViolation(
        `${now}: ${process.memberId} acts though ${witness} holds its removal in force`,
      );
    }
    if (process.getOffset() < this.#inForceOffset) {
      this.addViolation(
        `${now}: ${process.memberId} acts at offset ${process.getOffset()} though the change ` +
          `of the roster at ${this.#inForceOffset} is in force`,
      );
    }
  }

  #checkRestrictions(process: SimulatedProcess, now: number): void {
    for (let index = this.#restrictions.length - 1; index >= 0; index -= 1) {
      const { offset, acknowledgedAt } = this.#restrictions[index] as Restriction;
      if (process.getOffset() >= offset) return;
      if (now - acknowledgedAt <= RESTRICTION_LIMIT_MILLISECONDS) continue;
      if (!this.#isLogAvailableFor(process, acknowledgedAt)) continue;
      this.addViolation(
        `${now}: ${process.memberId} acts without the restriction ${offset} ` +
          `that was acknowledged at ${acknowledgedAt}`,
      );
    }
  }

  /** Gets whether enough members of its roster have read the log since then that the rest is no majority. */
  #isLogAvailableFor(process: SimulatedProcess, since: number): boolean {
    const members = process.roster?.members ?? [];
    const readers = members.filter((memberId) => this.#getReadingSince(memberId) <= since);
    return readers.length > members.length - getMajority(members.length);
  }
}
