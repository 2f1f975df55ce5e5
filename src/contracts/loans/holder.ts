/** What one member holds of all resources, and what it tells their keepers. */

import type { RosterView } from "../roster_messages.ts";
import { DepartureTracker } from "./departure_tracker.ts";
import { Holding } from "./holding.ts";
import type { LoanLend, LoanStatement, LoanStatementRequest } from "./loan_messages.ts";
import { EMPTY_CATALOG, findKeeper, type LoanCatalog, type LoanResource } from "./loan_resource.ts";

/** When a statement that was not acknowledged is sent again. */
const RESEND_MILLISECONDS = 500;

/** How long what is not urgent waits for company. */
const ACKNOWLEDGE_MILLISECONDS = 150;

/** Options of a `Holder`. */
export interface HolderOptions {
  /** The identity of this member. */
  memberId: string;
}

/** A statement and its keeper. */
export interface AddressedStatement {
  /** The identity of the keeper. */
  to: string;
  /** The statement. */
  statement: LoanStatement;
}

interface CompleteStatement {
  batch: number;
  sentAt: number;
}

/** The holdings of one member. It has no clock and no socket: time comes as an argument. */
export class Holder {
  readonly #memberId: string;
  readonly #holdings = new Map<string, Holding>();
  readonly #pending = new Set<Holding>();
  readonly #departures = DepartureTracker.create();
  readonly #complete = new Map<string, CompleteStatement | undefined>();
  #catalog: LoanCatalog = EMPTY_CATALOG;
  #roster: RosterView = { offset: -1, members: [], departing: [] };
  #batch = 0;

  private constructor(options: HolderOptions) {
    this.#memberId = options.memberId;
  }

  /** Creates a holder of nothing. */
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

  /** Gets the offset of the adopted roster. */
  getRosterOffset(): number {
    return this.#roster.offset;
  }

  /** Gets the catalog of resources. */
  getCatalog(): LoanCatalog {
    return this.#catalog;
  }

  /** Follows the catalog; what is idle under a lowered limit is given up at once. */
  setCatalog(catalog: LoanCatalog): void {
    const before = this.#catalog;
    this.#catalog = catalog;
    for (const resource of catalog.resources.values()) {
      const holding = this.#holdings.get(resource.name) ?? this.#add(resource);
      this.#follow(holding, resource, before.resources.get(resource.name));
      this.#note(holding);
    }
    for (const holding of this.#holdings.values()) {
      if (catalog.resources.has(holding.resource)) continue;
      holding.releaseIdle();
      this.#note(holding);
    }
  }

  /** Adopts a roster: from now on the keepers of an older one are ignored. */
  adoptRoster(roster: RosterView, now: number): void {
    if (roster.offset < this.#roster.offset) return;
    this.#departures.update({ roster, ...this.#catalog, now });
    const isNew = roster.offset > this.#roster.offset;
    this.#roster = roster;
    if (!isNew) return;
    this.#complete.clear();
    for (const memberId of roster.members) this.#complete.set(memberId, undefined);
    const isMember = roster.members.includes(this.#memberId);
    for (const holding of this.#holdings.values()) {
      holding.keeper = findKeeper(roster.members, holding.keeperKey);
      holding.sequence = 0;
      holding.sentBatch = undefined;
      if (!isMember) holding.releaseIdle();
    }
  }

  /** Follows the lends of a keeper: only newer ones, and only under the adopted roster. */
  receiveLend(from: string, lend: LoanLend): void {
    if (lend.roster !== this.#roster.offset) return;
    this.#hearAcknowledged(from, lend.heard);
    for (const [resource, sequence, total, limitOffset] of lend.entries) {
      const holding = this.#holdings.get(resource);
      if (holding === undefined || holding.keeper !== from) continue;
      if (sequence < holding.sequence || limitOffset < holding.minimumLimitOffset) continue;
      if (sequence > holding.sequence) holding.setTotal(total);
      holding.sequence = sequence;
      holding.newestLimitOffset = Math.max(holding.newestLimitOffset, limitOffset);
      holding.isDirty = true;
      this.#note(holding);
    }
  }

  /** Prepares a complete statement for a keeper that asks for it. */
  receiveStatementRequest(from: string, wanted: LoanStatementRequest): void {
    if (wanted.roster === this.#roster.offset) this.#complete.set(from, undefined);
  }

  /** Sets the permits of a resource that could be used now. */
  setDemand(holding: Holding, wanted: number): void {
    holding.setDemand(wanted);
    this.#note(holding);
  }

  /** Gives back a permit. */
  release(holding: Holding): void {
    holding.release();
    this.#note(holding);
  }

  /** Ends a window of demand for every holding. */
  endWindow(): void {
    for (const holding of this.#holdings.values()) {
      holding.endWindow();
      this.#note(holding);
    }
  }

  /** Gets the statements that are due. */
  takeStatements(now: number): AddressedStatement[] {
    const statements: AddressedStatement[] = [];
    for (const [to, sent] of this.#complete) {
      if (sent !== undefined && now - sent.sentAt < RESEND_MILLISECONDS) continue;
      statements.push({ to, statement: this.#createComplete(to, now) });
    }
    for (const [to, holdings] of this.#groupDue(now)) {
      statements.push({ to, statement: this.#createStatement(holdings, false, now) });
    }
    return statements;
  }

  /** Gets whether something is to be said now. */
  isUrgent(): boolean {
    for (const sent of this.#complete.values()) if (sent === undefined) return true;
    for (const holding of this.#pending) if (holding.isUrgent) return true;
    return false;
  }

  /** Gets whether everything was said and acknowledged, and nothing is wanted. */
  isIdle(): boolean {
    if (this.#pending.size > 0 || this.#complete.size > 0) return false;
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
      if (keeper === undefined || this.#complete.has(keeper)) continue;
      const isLate = holding.sentBatch !== undefined && now - holding.sentAt >= RESEND_MILLISECONDS;
      if (!holding.isDirty && !isLate) continue;
      holding.dirtySince ??= now;
      const hasWaited = now - holding.dirtySince >= ACKNOWLEDGE_MILLISECONDS;
      if (holding.isUrgent || isLate || hasWaited) due.add(keeper);
      const group = groups.get(keeper) ?? [];
      group.push(holding);
      groups.set(keeper, group);
    }
    for (const keeper of groups.keys()) if (!due.has(keeper)) groups.delete(keeper);
    return groups;
  }

  #createComplete(keeper: string, now: number): LoanStatement {
    const kept = [...this.#holdings.values()].filter((holding) =>
      holding.keeper === keeper && !(holding.isEmpty() && holding.sequence === 0)
    );
    const statement = this.#createStatement(kept, true, now);
    this.#complete.set(keeper, { batch: statement.batch, sentAt: now });
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
    const settled = isComplete ? this.#getSettled(now) : [];
    return { kind: "loan-statement", roster, fleet, batch, isComplete, settled, entries };
  }

  /** Gets the former members that can run nothing any more; this one is, once it has left idle. */
  #getSettled(now: number): string[] {
    const settled = this.#departures.getSettled(now);
    if (this.#roster.members.includes(this.#memberId)) return settled;
    const isIdle = [...this.#holdings.values()].every((holding) => holding.getUsed() === 0);
    return isIdle ? [...settled, this.#memberId] : settled;
  }

  #hearAcknowledged(from: string, heard: readonly number[]): void {
    if (heard.length === 0) return;
    const complete = this.#complete.get(from);
    if (complete !== undefined && heard.includes(complete.batch)) this.#complete.delete(from);
    for (const holding of this.#pending) {
      if (holding.sentBatch === undefined || !heard.includes(holding.sentBatch)) continue;
      holding.sentBatch = undefined;
      if (!holding.isDirty) this.#pending.delete(holding);
    }
  }

  #note(holding: Holding): void {
    if (holding.isDirty) this.#pending.add(holding);
  }

  #add(resource: LoanResource): Holding {
    const { name, keeperKey } = resource;
    const keeper = findKeeper(this.#roster.members, keeperKey);
    const holding = Holding.create({ resource: name, keeperKey, keeper });
    this.#holdings.set(name, holding);
    return holding;
  }

  #follow(holding: Holding, resource: LoanResource, before: LoanResource | undefined): void {
    if (holding.keeperKey !== resource.keeperKey) this.#changeKeeper(holding, resource);
    if (before?.limitOffset === resource.limitOffset) return;
    holding.minimumLimitOffset = Math.min(holding.minimumLimitOffset, resource.limitOffset);
    const isKeeperKnown = before?.keeperOffset === resource.keeperOffset;
    const isRaised = before !== undefined && before.limit <= resource.limit;
    const isLentUnderKnown = before !== undefined &&
      holding.newestLimitOffset <= before.limitOffset;
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
    if (holding.keeper !== undefined) this.#complete.set(holding.keeper, undefined);
  }
}
