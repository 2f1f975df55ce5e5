/**
 * The holder side of loans: the permits that the keepers of all resources have lent to one member,
 * and its statements to the keepers.
 */

import type { RosterView } from "../roster_messages.ts";
import { DepartureTracker } from "./departure_tracker.ts";
import { Holding } from "./holding.ts";
import type { LoanLend, LoanStatement, LoanStatementRequest } from "./loan_messages.ts";
import { EMPTY_CATALOG, findKeeper, type LoanCatalog, type LoanResource } from "./loan_resource.ts";

/** The time after which a statement without acknowledgement is sent again. */
const RESEND_MILLISECONDS = 500;

/** How long changes that are not urgent wait, so that one statement carries several. */
const STATEMENT_BATCH_DELAY_MILLISECONDS = 150;

/** Options of a `Holder`. */
export interface HolderOptions {
  /** The id of this member. */
  memberId: string;
}

/** A statement and the keeper to which it is sent. */
export interface AddressedStatement {
  /** The member id of the keeper. */
  to: string;
  statement: LoanStatement;
}

interface SentStatement {
  batch: number;
  sentAt: number;
}

/** The holdings of one member. It owns no clock and no socket: callers pass the time. */
export class Holder {
  readonly #memberId: string;
  readonly #holdings = new Map<string, Holding>();
  readonly #pending = new Set<Holding>();
  readonly #departures = DepartureTracker.create();
  readonly #completeStatements = new Map<string, SentStatement | undefined>();
  #catalog: LoanCatalog = EMPTY_CATALOG;
  #roster: RosterView = { offset: -1, members: [], departing: [] };
  #batch = 0;

  private constructor(options: HolderOptions) {
    this.#memberId = options.memberId;
  }

  /** Creates a holder without holdings. */
  static create(options: HolderOptions): Holder {
    return new Holder(options);
  }

  /** Gets the holding of a resource, if the catalog has or had it. */
  getHolding(resource: string): Holding | undefined {
    return this.#holdings.get(resource);
  }

  /** Gets all holdings. */
  getHoldings(): IterableIterator<Holding> {
    return this.#holdings.values();
  }

  /** Gets the offset of the roster in use. */
  getRosterOffset(): number {
    return this.#roster.offset;
  }

  /** Gets the catalog of resources. */
  getCatalog(): LoanCatalog {
    return this.#catalog;
  }

  /**
   * Sets the catalog; idle permits of a resource whose limit was lowered are given back at once.
   */
  setCatalog(catalog: LoanCatalog): void {
    const previous = this.#catalog;
    this.#catalog = catalog;
    for (const resource of catalog.resources.values()) {
      const holding = this.#holdings.get(resource.name) ?? this.#addHolding(resource);
      this.#updateLimit(holding, resource, previous.resources.get(resource.name));
      this.#addIfDirty(holding);
    }
    for (const holding of this.#holdings.values()) {
      if (catalog.resources.has(holding.resource)) continue;
      holding.releaseIdle();
      this.#addIfDirty(holding);
    }
  }

  /** Switches to a roster: from now on the lends of keepers under an older one are ignored. */
  setRoster(roster: RosterView, now: number): void {
    if (roster.offset < this.#roster.offset) return;
    this.#departures.update({ roster, ...this.#catalog, now });
    const isNew = roster.offset > this.#roster.offset;
    this.#roster = roster;
    if (!isNew) return;
    this.#completeStatements.clear();
    for (const memberId of roster.members) this.#completeStatements.set(memberId, undefined);
    const isMember = roster.members.includes(this.#memberId);
    for (const holding of this.#holdings.values()) {
      holding.keeper = findKeeper(roster.members, holding.keeperKey);
      holding.sequence = 0;
      holding.sentBatch = undefined;
      if (!isMember) holding.releaseIdle();
    }
  }

  /** Applies the lends of a keeper that are newer and were made under the roster in use. */
  receiveLend(from: string, lend: LoanLend): void {
    if (lend.roster !== this.#roster.offset) return;
    this.#acknowledge(from, lend.heard);
    for (const [resource, sequence, total, limitOffset] of lend.entries) {
      const holding = this.#holdings.get(resource);
      if (holding === undefined || holding.keeper !== from) continue;
      if (sequence < holding.sequence || limitOffset < holding.minimumLimitOffset) continue;
      if (sequence > holding.sequence) holding.setTotal(total);
      holding.sequence = sequence;
      holding.newestLimitOffset = Math.max(holding.newestLimitOffset, limitOffset);
      holding.isDirty = true;
      this.#addIfDirty(holding);
    }
  }

  /** Schedules a complete statement for a keeper that requests it. */
  receiveStatementRequest(from: string, request: LoanStatementRequest): void {
    if (request.roster === this.#roster.offset) this.#completeStatements.set(from, undefined);
  }

  /** Sets the demand of a resource: the permits that could be used now. */
  setDemand(holding: Holding, demand: number): void {
    holding.setDemand(demand);
    this.#addIfDirty(holding);
  }

  /** Releases a permit that was taken. */
  release(holding: Holding): void {
    holding.release();
    this.#addIfDirty(holding);
  }

  /** Ends the demand window of every holding. */
  endWindow(): void {
    for (const holding of this.#holdings.values()) {
      holding.endWindow();
      this.#addIfDirty(holding);
    }
  }

  /** Gets the statements that are due. */
  takeStatements(now: number): AddressedStatement[] {
    const statements: AddressedStatement[] = [];
    for (const [to, sent] of this.#completeStatements) {
      if (sent !== undefined && now - sent.sentAt < RESEND_MILLISECONDS) continue;
      statements.push({ to, statement: this.#createCompleteStatement(to, now) });
    }
    for (const [to, holdings] of this.#groupDue(now)) {
      statements.push({ to, statement: this.#createStatement(holdings, false, now) });
    }
    return statements;
  }

  /** Gets whether a statement is to be sent without delay. */
  isUrgent(): boolean {
    for (const sent of this.#completeStatements.values()) if (sent === undefined) return true;
    for (const holding of this.#pending) if (holding.isUrgent) return true;
    return false;
  }

  /** Gets whether all statements are acknowledged and there is no demand. */
  isIdle(): boolean {
    if (this.#pending.size > 0 || this.#completeStatements.size > 0) return false;
    for (const holding of this.#holdings.values()) {
      if (holding.getReportedDemand() > 0) return false;
    }
    return true;
  }

  #groupDue(now: number): Map<string, Holding[]> {
    const groups = new Map<string, Holding[]>();
    const due = new Set<string>();
    for (const holding of this.#pending) {
      const { keeper } = holding;
      if (keeper === undefined || this.#completeStatements.has(keeper)) continue;
      const isResendDue = holding.sentBatch !== undefined &&
        now - holding.sentAt >= RESEND_MILLISECONDS;
      if (!holding.isDirty && !isResendDue) continue;
      holding.dirtySince ??= now;
      const hasWaited = now - holding.dirtySince >= STATEMENT_BATCH_DELAY_MILLISECONDS;
      if (holding.isUrgent || isResendDue || hasWaited) due.add(keeper);
      const group = groups.get(keeper) ?? [];
      group.push(holding);
      groups.set(keeper, group);
    }
    for (const keeper of groups.keys()) if (!due.has(keeper)) groups.delete(keeper);
    return groups;
  }

  #createCompleteStatement(keeper: string, now: number): LoanStatement {
    const ownHoldings = [...this.#holdings.values()].filter((holding) =>
      holding.keeper === keeper && !(holding.isEmpty() && holding.sequence === 0)
    );
    const statement = this.#createStatement(ownHoldings, true, now);
    this.#completeStatements.set(keeper, { batch: statement.batch, sentAt: now });
    return statement;
  }

  #createStatement(holdings: Holding[], isComplete: boolean, now: number): LoanStatement {
    this.#batch += 1;
    const batch = this.#batch;
    const entries = holdings.map((holding): LoanStatement["entries"][number] => {
      holding.isDirty = false;
      holding.isUrgent = false;
      holding.dirtySince = undefined;
      holding.sentBatch = batch;
      holding.sentAt = now;
      this.#pending.add(holding);
      const { resource, sequence } = holding;
      return [resource, sequence, holding.getHeld(), holding.getReportedDemand()];
    });
    const { offset: roster } = this.#roster;
    const { offset: fleet } = this.#catalog;
    const settled = isComplete ? this.#getMembersWithoutRuns(now) : [];
    return { kind: "loan-statement", roster, fleet, batch, isComplete, settled, entries };
  }

  /**
   * Gets the former members that can no longer run anything. This process is one of them when it
   * is no member and uses no permit.
   */
  #getMembersWithoutRuns(now: number): string[] {
    const withoutRuns = this.#departures.getWithoutRuns(now);
    if (this.#roster.members.includes(this.#memberId)) return withoutRuns;
    const isIdle = [...this.#holdings.values()].every((holding) => holding.getUsed() === 0);
    return isIdle ? [...withoutRuns, this.#memberId] : withoutRuns;
  }

  #acknowledge(from: string, batches: readonly number[]): void {
    if (batches.length === 0) return;
    const complete = this.#completeStatements.get(from);
    if (complete !== undefined && batches.includes(complete.batch)) {
      this.#completeStatements.delete(from);
    }
    for (const holding of this.#pending) {
      if (holding.sentBatch === undefined || !batches.includes(holding.sentBatch)) continue;
      holding.sentBatch = undefined;
      if (!holding.isDirty) this.#pending.delete(holding);
    }
  }

  #addIfDirty(holding: Holding): void {
    if (holding.isDirty) this.#pending.add(holding);
  }

  #addHolding(resource: LoanResource): Holding {
    const { name, keeperKey } = resource;
    const keeper = findKeeper(this.#roster.members, keeperKey);
    const holding = Holding.create({ resource: name, keeperKey, keeper });
    this.#holdings.set(name, holding);
    return holding;
  }

  #updateLimit(holding: Holding, resource: LoanResource, previous: LoanResource | undefined): void {
    if (holding.keeperKey !== resource.keeperKey) this.#changeKeeper(holding, resource);
    if (previous?.limitOffset === resource.limitOffset) return;
    holding.minimumLimitOffset = Math.min(holding.minimumLimitOffset, resource.limitOffset);
    const isKeeperKnown = previous?.keeperOffset === resource.keeperOffset;
    const isRaised = previous !== undefined && previous.limit <= resource.limit;
    const isLentUnderKnown = previous !== undefined &&
      holding.newestLimitOffset <= previous.limitOffset;
    if (!isRaised || !isLentUnderKnown) holding.releaseIdle();
    if (isRaised && isLentUnderKnown && isKeeperKnown) return;
    holding.minimumLimitOffset = resource.limitOffset;
  }

  #changeKeeper(holding: Holding, resource: LoanResource): void {
    holding.keeperKey = resource.keeperKey;
    holding.keeper = findKeeper(this.#roster.members, resource.keeperKey);
    holding.sequence = 0;
    holding.sentBatch = undefined;
    holding.releaseIdle();
    if (holding.keeper !== undefined) this.#completeStatements.set(holding.keeper, undefined);
  }
}
