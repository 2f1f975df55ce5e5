/**
 * The keeper of a resource: the member that lends its permits to the members, which hold them. A
 * keeper has one ledger for each of its resources.
 */

import type { RosterView } from "../roster_messages.ts";
import { DepartureTracker } from "./departure_tracker.ts";
import { Ledger, type LedgerPlanOptions } from "./ledger.ts";
import { LimitHistory } from "./limit_history.ts";
import type { LendEntry, LoanPeerMessage, LoanStatement, StatementEntry } from "./loan_messages.ts";
import { EMPTY_CATALOG, findKeeper, type LoanCatalog, type LoanResource } from "./loan_resource.ts";
import type { LoanRules } from "./loan_rules.ts";
import { StatementCollector } from "./statement_collector.ts";

/**
 * How long a replaced higher limit is retained beyond the maximum run time: covers the freshness
 * limit and clocks of different rates.
 */
const LIMIT_RETENTION_MARGIN_MILLISECONDS = 5_000;

/** The time after which a missing statement is requested again. */
const REQUEST_INTERVAL_MILLISECONDS = 500;

/** How long an acknowledgement waits for a lend to the same member that can carry it. */
const ACKNOWLEDGEMENT_DELAY_MILLISECONDS = 150;

/** Options of a `Keeper`. */
export interface KeeperOptions {
  /** The id of this member. */
  memberId: string;
  rules: LoanRules;
}

/** A message of a keeper and the member to which it is sent. */
export interface KeeperMessage {
  /** The member id of the receiver. */
  to: string;
  message: LoanPeerMessage;
}

interface UnacknowledgedBatches {
  since: number;
  batches: number[];
}

/** The ledgers of one member. It owns no clock and no socket: callers pass the monotonic time. */
export class Keeper {
  readonly #options: KeeperOptions;
  readonly #departures = DepartureTracker.create();
  readonly #ledgers = new Map<string, Ledger>();
  readonly #histories = new Map<string, LimitHistory>();
  readonly #dirty = new Set<Ledger>();
  readonly #earlyStatements = new Map<string, LoanStatement>();
  readonly #unacknowledged = new Map<string, UnacknowledgedBatches>();
  #resources = new Map<string, LoanResource>();
  #missing = new Set<string>();
  #statements = StatementCollector.create();
  #catalog: LoanCatalog = EMPTY_CATALOG;
  #roster: RosterView = { offset: -1, members: [], departing: [] };
  #sequence = 0;
  #requestedAt = -Infinity;

  private constructor(options: KeeperOptions) {
    this.#options = options;
  }

  /** Creates a keeper without ledgers. */
  static create(options: KeeperOptions): Keeper {
    return new Keeper(options);
  }

  setCatalog(catalog: LoanCatalog, now: number): void {
    const previous = this.#catalog;
    this.#catalog = catalog;
    this.#departures.update({ roster: this.#roster, ...catalog, now });
    for (const resource of catalog.resources.values()) {
      this.#setLimit(resource, now);
      const previousResource = previous.resources.get(resource.name);
      if (previousResource === undefined || previousResource.keeperKey === resource.keeperKey) {
        continue;
      }
      this.#ledgers.delete(resource.name);
    }
    this.#updateResources();
  }

  /**
   * Switches to a roster. The ledgers of resources that this member still keeps stay open, the
   * others are closed. A ledger that is new here opens when the statements have come.
   */
  setRoster(roster: RosterView, now: number): void {
    if (roster.offset < this.#roster.offset) return;
    const isNew = roster.offset > this.#roster.offset;
    this.#roster = roster;
    this.#departures.update({ roster, ...this.#catalog, now });
    for (const ledger of this.#ledgers.values()) this.#dirty.add(ledger);
    if (!isNew) return;
    this.#statements = StatementCollector.create();
    this.#unacknowledged.clear();
    this.#requestedAt = -Infinity;
    this.#updateResources();
    for (const ledger of this.#ledgers.values()) ledger.resetSequences();
    const earlyStatements = [...this.#earlyStatements];
    this.#earlyStatements.clear();
    for (const [from, statement] of earlyStatements) this.receiveStatement(from, statement, now);
  }

  /**
   * Adds a statement. One that was made under another roster is ignored, except that a complete
   * one of a newer roster is kept until this keeper switches to it.
   */
  receiveStatement(from: string, statement: LoanStatement, now: number): void {
    if (statement.roster > this.#roster.offset && statement.isComplete) {
      this.#earlyStatements.set(from, statement);
    }
    if (statement.roster !== this.#roster.offset) return;
    this.#statements.add(from, statement);
    for (const memberId of statement.settled) this.#departures.markWithoutRuns(memberId);
    if (!this.#applyEntries(from, statement)) return;
    const unacknowledged = this.#unacknowledged.get(from) ?? { since: now, batches: [] };
    unacknowledged.batches.push(statement.batch);
    this.#unacknowledged.set(from, unacknowledged);
  }

  /** Gets the messages that are due; acknowledgements without a lend are delayed. */
  takeMessages(now: number): KeeperMessage[] {
    this.#openLedgers(now);
    const lends = this.#planDirty(now);
    const messages: KeeperMessage[] = this.#requestStatements(now);
    for (const memberId of new Set([...lends.keys(), ...this.#unacknowledged.keys()])) {
      const unacknowledged = this.#unacknowledged.get(memberId);
      const entries = lends.get(memberId) ?? [];
      const isDue = unacknowledged !== undefined &&
        now - unacknowledged.since >= ACKNOWLEDGEMENT_DELAY_MILLISECONDS;
      if (entries.length === 0 && !isDue) continue;
      const { offset: roster } = this.#roster;
      const batches = unacknowledged?.batches ?? [];
      messages.push({
        to: memberId,
        message: { kind: "loan-lend", roster, heard: batches, entries },
      });
      this.#unacknowledged.delete(memberId);
    }
    return messages;
  }

  /** Gets whether messages may become due by the passing of time alone. */
  isPending(): boolean {
    return this.#dirty.size > 0 || this.#unacknowledged.size > 0 || this.#missing.size > 0;
  }

  /** Gets the ledger of a resource, if this member is its keeper and the ledger is open. */
  getLedger(resource: string): Ledger | undefined {
    return this.#ledgers.get(resource);
  }

  /** Gets the state for the state dump. */
  getState(now: number): unknown {
    const options = this.#createPlanOptions(now);
    return {
      roster: this.#roster.offset,
      kept: this.#resources.size,
      waitsFor: [...this.#missing],
      unsettled: this.#departures.getWithRuns(now),
      ledgers: Object.fromEntries(
        [...this.#ledgers].map(([name, ledger]) => [name, ledger.getState(options)]),
      ),
    };
  }

  /** Applies the entries; returns false if the holder must send the statement again. */
  #applyEntries(from: string, statement: LoanStatement): boolean {
    let isApplied = true;
    for (const entry of statement.entries) {
      isApplied = this.#applyEntry(from, statement, entry) && isApplied;
    }
    if (!statement.isComplete) return isApplied;
    if (statement.fleet > this.#catalog.offset) return false;
    const listed = new Set(statement.entries.map(([resource]) => resource));
    for (const name of this.#ledgers.keys()) {
      if (listed.has(name)) continue;
      isApplied = this.#applyEntry(from, statement, [name, 0, 0, 0]) && isApplied;
    }
    return isApplied;
  }

  /**
   * Applies an entry. A statement from before the last possible change of the resource's keeper is
   * refused, because it may be about the lends of another keeper.
   */
  #applyEntry(from: string, statement: LoanStatement, entry: StatementEntry): boolean {
    const ledger = this.#ledgers.get(entry[0]);
    if (ledger === undefined) return true;
    if (statement.fleet < ledger.getResource().keeperOffset) return false;
    ledger.applyStatement(from, statement.batch, entry);
    this.#dirty.add(ledger);
    return true;
  }

  #setLimit(resource: LoanResource, now: number): void {
    this.#getHistory(resource.name).setLimit(resource, this.#getLimitRetention(), now);
  }

  #updateResources(): void {
    const removed = [...this.#ledgers.values()].map((ledger) => ledger.getResource())
      .filter((resource) => !this.#catalog.resources.has(resource.name))
      .map((resource) => ({ ...resource, limit: 0, limitOffset: this.#catalog.offset }));
    const resources = [...this.#catalog.resources.values(), ...removed].filter((resource) =>
      findKeeper(this.#roster.members, resource.keeperKey) === this.#options.memberId
    );
    this.#resources = new Map(resources.map((resource) => [resource.name, resource]));
    for (const [name, ledger] of this.#ledgers) {
      const resource = this.#resources.get(name);
      if (resource === undefined) this.#ledgers.delete(name);
      else ledger.setResource(resource);
      this.#dirty.add(ledger);
    }
  }

  #openLedgers(now: number): void {
    this.#missing.clear();
    if (this.#ledgers.size === this.#resources.size) return;
    for (const resource of this.#resources.values()) {
      if (!this.#ledgers.has(resource.name)) this.#openLedger(resource, now);
    }
  }

  #openLedger(resource: LoanResource, now: number): void {
    const hasStatement = (member: string) => this.#hasStatement(member, resource);
    const missing = this.#roster.members.filter((member) => !hasStatement(member));
    for (const member of missing) this.#missing.add(member);
    if (!this.#options.rules.mayLend(missing.length)) return;
    const withRuns = this.#departures.getWithRuns(now);
    const stated = this.#statements.getMembers().filter(hasStatement)
      .map((member) => [member, this.#statements.getStated(member, resource.name)] as const);
    const ledger = Ledger.create({
      resource,
      rules: this.#options.rules,
      history: this.#getHistory(resource.name),
      statedHoldings: new Map(stated),
      unknownMembers: withRuns.filter((member) => !hasStatement(member)),
    });
    this.#ledgers.set(resource.name, ledger);
    this.#dirty.add(ledger);
  }

  /** A statement counts if its holder and this keeper agree on the keeper of the resource. */
  #hasStatement(member: string, resource: LoanResource): boolean {
    return this.#statements.hasStated(member, resource.keeperOffset, this.#catalog.offset);
  }

  #getHistory(resource: string): LimitHistory {
    const history = this.#histories.get(resource) ??
      LimitHistory.create();
    this.#histories.set(resource, history);
    return history;
  }

  #planDirty(now: number): Map<string, LendEntry[]> {
    const lends = new Map<string, LendEntry[]>();
    const options = this.#createPlanOptions(now);
    const dirty = [...this.#dirty];
    this.#dirty.clear();
    for (const ledger of dirty) {
      if (this.#ledgers.get(ledger.getResource().name) !== ledger) continue;
      for (const [memberId, entry] of ledger.plan(options)) {
        const entries = lends.get(memberId) ?? [];
        entries.push(entry);
        lends.set(memberId, entries);
      }
      if (ledger.isPending(options.members)) this.#dirty.add(ledger);
    }
    return lends;
  }

  #requestStatements(now: number): KeeperMessage[] {
    if (this.#missing.size === 0 || now - this.#requestedAt < REQUEST_INTERVAL_MILLISECONDS) {
      return [];
    }
    this.#requestedAt = now;
    const { offset: roster } = this.#roster;
    return [...this.#missing].map((to) => ({
      to,
      message: { kind: "loan-statement-wanted", roster },
    }));
  }

  #createPlanOptions(now: number): LedgerPlanOptions {
    return {
      members: this.#roster.members,
      nextSequence: () => this.#sequence += 1,
      hasNoRuns: (memberId) => this.#departures.hasNoRuns(memberId, now),
      now,
    };
  }

  /** Gets how long a replaced higher limit is retained; 1.05 allows for clocks of different rates. */
  #getLimitRetention(): number {
    return this.#catalog.longestRunMilliseconds * 1.05 + LIMIT_RETENTION_MARGIN_MILLISECONDS;
  }
}
