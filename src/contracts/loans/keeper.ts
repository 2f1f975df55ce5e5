/** All that one member keeps: the ledgers of the resources for which the roster names it. */

import type { RosterView } from "../roster_messages.ts";
import { DepartureTracker } from "./departure_tracker.ts";
import { Ledger, type LedgerPlanOptions } from "./ledger.ts";
import { LimitHistory } from "./limit_history.ts";
import type { LendEntry, LoanPeerMessage, LoanStatement, StatementEntry } from "./loan_messages.ts";
import { EMPTY_CATALOG, findKeeper, type LoanCatalog, type LoanResource } from "./loan_resource.ts";
import type { LoanRules } from "./loan_rules.ts";
import { StatementCollector } from "./statement_collector.ts";

/** How much longer than the longest run a lowered limit counts: freshness limit and clock rates. */
const LIMIT_WINDOW_MARGIN_MILLISECONDS = 5_000;

/** When a statement that is missing is asked for again. */
const ASK_MILLISECONDS = 500;

/** How long an acknowledgement waits for a lend to the same member. */
const ACKNOWLEDGE_MILLISECONDS = 150;

/** Options of a `Keeper`. */
export interface KeeperOptions {
  /** The identity of this member. */
  memberId: string;
  /** The rules. */
  rules: LoanRules;
}

/** A message of a keeper and its receiver. */
export interface KeeperMessage {
  /** The identity of the receiver. */
  to: string;
  /** The message. */
  message: LoanPeerMessage;
}

interface HeardBatches {
  since: number;
  batches: number[];
}

/** The ledgers of one member. It has no clock and no socket: time comes as an argument. */
export class Keeper {
  readonly #options: KeeperOptions;
  readonly #departures = DepartureTracker.create();
  readonly #ledgers = new Map<string, Ledger>();
  readonly #histories = new Map<string, LimitHistory>();
  readonly #dirty = new Set<Ledger>();
  readonly #early = new Map<string, LoanStatement>();
  readonly #heard = new Map<string, HeardBatches>();
  #kept = new Map<string, LoanResource>();
  #missing = new Set<string>();
  #book = StatementCollector.create();
  #catalog: LoanCatalog = EMPTY_CATALOG;
  #roster: RosterView = { offset: -1, members: [], departing: [] };
  #sequence = 0;
  #askedAt = -Infinity;

  private constructor(options: KeeperOptions) {
    this.#options = options;
  }

  /** Creates a keeper of nothing. */
  static create(options: KeeperOptions): Keeper {
    return new Keeper(options);
  }

  /** Follows the catalog. */
  setCatalog(catalog: LoanCatalog, now: number): void {
    const before = this.#catalog;
    this.#catalog = catalog;
    this.#departures.update({ roster: this.#roster, ...catalog, now });
    for (const resource of catalog.resources.values()) {
      this.#noteLimit(resource, now);
      const earlier = before.resources.get(resource.name);
      if (earlier === undefined || earlier.keeperKey === resource.keeperKey) continue;
      this.#ledgers.delete(resource.name);
    }
    this.#updateKept();
  }

  /** Adopts a roster: ledgers that it keeps on keeping go on, others end or wait for statements. */
  adoptRoster(roster: RosterView, now: number): void {
    if (roster.offset < this.#roster.offset) return;
    const isNew = roster.offset > this.#roster.offset;
    this.#roster = roster;
    this.#departures.update({ roster, ...this.#catalog, now });
    for (const ledger of this.#ledgers.values()) this.#dirty.add(ledger);
    if (!isNew) return;
    this.#book = StatementCollector.create();
    this.#heard.clear();
    this.#askedAt = -Infinity;
    this.#updateKept();
    for (const ledger of this.#ledgers.values()) ledger.adoptRoster();
    const early = [...this.#early];
    this.#early.clear();
    for (const [from, statement] of early) this.receiveStatement(from, statement, now);
  }

  /** Hears a statement; one that was made under another roster says nothing. */
  receiveStatement(from: string, statement: LoanStatement, now: number): void {
    if (statement.roster > this.#roster.offset && statement.isComplete) {
      this.#early.set(from, statement);
    }
    if (statement.roster !== this.#roster.offset) return;
    this.#book.add(from, statement);
    for (const memberId of statement.settled) this.#departures.setSettled(memberId);
    if (!this.#hearEntries(from, statement)) return;
    const heard = this.#heard.get(from) ?? { since: now, batches: [] };
    heard.batches.push(statement.batch);
    this.#heard.set(from, heard);
  }

  /** Gets the messages that are due; acknowledgements alone wait a while for company. */
  takeMessages(now: number): KeeperMessage[] {
    this.#openLedgers(now);
    const lends = this.#planDirty(now);
    const messages: KeeperMessage[] = this.#ask(now);
    for (const memberId of new Set([...lends.keys(), ...this.#heard.keys()])) {
      const heard = this.#heard.get(memberId);
      const entries = lends.get(memberId) ?? [];
      const isDue = heard !== undefined && now - heard.since >= ACKNOWLEDGE_MILLISECONDS;
      if (entries.length === 0 && !isDue) continue;
      const { offset: roster } = this.#roster;
      const batches = heard?.batches ?? [];
      messages.push({
        to: memberId,
        message: { kind: "loan-lend", roster, heard: batches, entries },
      });
      this.#heard.delete(memberId);
    }
    return messages;
  }

  /** Gets whether time alone may bring about messages. */
  isPending(): boolean {
    return this.#dirty.size > 0 || this.#heard.size > 0 || this.#missing.size > 0;
  }

  /** Gets the ledger of a resource, if this member keeps it and may lend of it. */
  getLedger(resource: string): Ledger | undefined {
    return this.#ledgers.get(resource);
  }

  /** Gets what the state dump shows. */
  getState(now: number): unknown {
    const options = this.#createPlanOptions(now);
    return {
      roster: this.#roster.offset,
      kept: this.#kept.size,
      waitsFor: [...this.#missing],
      unsettled: this.#departures.getUnsettled(now),
      ledgers: Object.fromEntries(
        [...this.#ledgers].map(([name, ledger]) => [name, ledger.getState(options)]),
      ),
    };
  }

  /** Gets whether everything in the statement was understood; otherwise it must come again. */
  #hearEntries(from: string, statement: LoanStatement): boolean {
    let isUnderstood = true;
    for (const entry of statement.entries) {
      isUnderstood = this.#hearEntry(from, statement, entry) && isUnderstood;
    }
    if (!statement.isComplete) return isUnderstood;
    if (statement.fleet > this.#catalog.offset) return false;
    const listed = new Set(statement.entries.map(([resource]) => resource));
    for (const name of this.#ledgers.keys()) {
      if (listed.has(name)) continue;
      isUnderstood = this.#hearEntry(from, statement, [name, 0, 0, 0]) && isUnderstood;
    }
    return isUnderstood;
  }

  /** A statement made before the keeper of the resource may have changed speaks of other lends. */
  #hearEntry(from: string, statement: LoanStatement, entry: StatementEntry): boolean {
    const ledger = this.#ledgers.get(entry[0]);
    if (ledger === undefined) return true;
    if (statement.fleet < ledger.getResource().keeperOffset) return false;
    ledger.applyStatement(from, statement.batch, entry);
    this.#dirty.add(ledger);
    return true;
  }

  #noteLimit(resource: LoanResource, now: number): void {
    this.#getHistory(resource.name).setLimit(resource, this.#getWindow(), now);
  }

  #updateKept(): void {
    const gone = [...this.#ledgers.values()].map((ledger) => ledger.getResource())
      .filter((resource) => !this.#catalog.resources.has(resource.name))
      .map((resource) => ({ ...resource, limit: 0, limitOffset: this.#catalog.offset }));
    const kept = [...this.#catalog.resources.values(), ...gone].filter((resource) =>
      findKeeper(this.#roster.members, resource.keeperKey) === this.#options.memberId
    );
    this.#kept = new Map(kept.map((resource) => [resource.name, resource]));
    for (const [name, ledger] of this.#ledgers) {
      const resource = this.#kept.get(name);
      if (resource === undefined) this.#ledgers.delete(name);
      else ledger.setResource(resource);
      this.#dirty.add(ledger);
    }
  }

  #openLedgers(now: number): void {
    this.#missing.clear();
    if (this.#ledgers.size === this.#kept.size) return;
    for (const resource of this.#kept.values()) {
      if (!this.#ledgers.has(resource.name)) this.#openLedger(resource, now);
    }
  }

  #openLedger(resource: LoanResource, now: number): void {
    const hasStated = (member: string) => this.#hasStated(member, resource);
    const missing = this.#roster.members.filter((member) => !hasStated(member));
    for (const member of missing) this.#missing.add(member);
    if (!this.#options.rules.mayLend(missing.length)) return;
    const unsettled = this.#departures.getUnsettled(now);
    const stated = this.#book.getMembers().filter(hasStated)
      .map((member) => [member, this.#book.getStated(member, resource.name)] as const);
    const ledger = Ledger.create({
      resource,
      rules: this.#options.rules,
      history: this.#getHistory(resource.name),
      stated: new Map(stated),
      unknownMembers: unsettled.filter((member) => !hasStated(member)),
    });
    this.#ledgers.set(resource.name, ledger);
    this.#dirty.add(ledger);
  }

  /** A statement counts if its holder and this keeper agree on who keeps the resource. */
  #hasStated(member: string, resource: LoanResource): boolean {
    return this.#book.hasStated(member, resource.keeperOffset, this.#catalog.offset);
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
    const due = [...this.#dirty];
    this.#dirty.clear();
    for (const ledger of due) {
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

  #ask(now: number): KeeperMessage[] {
    if (this.#missing.size === 0 || now - this.#askedAt < ASK_MILLISECONDS) return [];
    this.#askedAt = now;
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
      isSettled: (memberId) => this.#departures.isSettled(memberId, now),
      now,
    };
  }

  #getWindow(): number {
    return this.#catalog.longestRunMilliseconds * 1.05 + LIMIT_WINDOW_MARGIN_MILLISECONDS;
  }
}
