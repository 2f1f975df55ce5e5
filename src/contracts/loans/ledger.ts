/** The ledger of one resource at its keeper: the accounts of the holders and the lends to them. */

import { LimitHistory } from "./limit_history.ts";
import type { LendEntry, StatementEntry } from "./loan_messages.ts";
import type { LoanResource } from "./loan_resource.ts";
import type { LoanAccount, LoanRules } from "./loan_rules.ts";
import type { StatedHolding } from "./statement_collector.ts";
import { hashMemberAndKey } from "./rendezvous.ts";

/** The time after which a lend without acknowledgement is sent again. */
const RESEND_MILLISECONDS = 500;

/** How long a turn lasts when members alternate. */
const TURN_MILLISECONDS = 1_000;

/** Former members whose holdings this keeper does not know. */
export interface UnknownHoldings {
  /** The former members that have made no statement and may still run something. */
  members: Set<string>;
  /** The total of the permits in the statements of all others when the keeper took over. */
  statedTotal: number;
}

/** Options of a `Ledger`. */
export interface LedgerOptions {
  resource: LoanResource;
  rules: LoanRules;
  /** The limits that may still be in use. */
  history: LimitHistory;
  /** The stated holding of each member and former member. */
  statedHoldings: ReadonlyMap<string, StatedHolding>;
  /** Former members whose holdings are not known. */
  unknownMembers: readonly string[];
}

/** Options of `Ledger.plan`. */
export interface LedgerPlanOptions {
  /** The members, sorted. */
  members: readonly string[];
  /** Gets the next sequence number. */
  nextSequence: () => number;
  /** Gets whether nothing that a former member started can still run. */
  hasNoRuns: (memberId: string) => boolean;
  /** The time of the keeper's clock, in monotonic milliseconds. */
  now: number;
}

/**
 * The ledger of one resource. A lend never raises the sum of lent and quarantined permits above the
 * limit; a permit is quarantined while a former member may hold it.
 */
export class Ledger {
  readonly #rules: LoanRules;
  readonly #history: LimitHistory;
  readonly #accounts = new Map<string, LoanAccount>();
  #resource: LoanResource;
  #unknown: UnknownHoldings | undefined;
  #isContended = false;

  private constructor(options: LedgerOptions) {
    this.#resource = options.resource;
    this.#rules = options.rules;
    this.#history = options.history;
    let total = 0;
    for (const [memberId, { holding, demand, batch }] of options.statedHoldings) {
      this.#accounts.set(memberId, { ...createAccount(holding), demand, batch });
      total += holding;
    }
    const members = new Set(options.unknownMembers);
    if (members.size > 0) this.#unknown = { members, statedTotal: total };
  }

  /** Creates the ledger of a keeper that takes over the resource. */
  static create(options: LedgerOptions): Ledger {
    return new Ledger(options);
  }

  getResource(): LoanResource {
    return this.#resource;
  }

  /** Sets the resource, whose limit may have changed. */
  setResource(resource: LoanResource): void {
    this.#resource = resource;
  }

  /**
   * Starts new sequence numbers after a change of the roster. Lends under the older roster may or may
   * not have been applied.
   */
  resetSequences(): void {
    for (const account of this.#accounts.values()) {
      account.statedBound = this.#rules.getBound(account);
      account.acknowledged = 0;
      account.mustResend ||= account.outstanding.length > 0;
      account.outstanding = [];
    }
  }

  /** Applies the stated holding of a member or a former member. */
  applyStatement(memberId: string, batch: number, entry: StatementEntry): void {
    const [, sequence, holding, demand] = entry;
    const account = this.#getAccount(memberId, holding);
    if (batch >= account.batch) account.demand = demand;
    account.batch = Math.max(account.batch, batch);
    this.#unknown?.members.delete(memberId);
    if (sequence < account.acknowledged) {
      if (batch >= account.batch) account.mustResend = true;
      return;
    }
    if (sequence === account.acknowledged) {
      account.statedBound = Math.min(account.statedBound, holding);
    } else {
      account.statedBound = holding;
      account.acknowledged = sequence;
      account.outstanding = account.outstanding.filter((lend) => lend.sequence > sequence);
    }
    if (account.outstanding.length === 0) account.total = Math.min(account.total, holding);
  }

  /** Gets the permits that former members may hold. */
  getQuarantined(options: LedgerPlanOptions): number {
    let quarantined = this.#getUnknown(options);
    for (const [memberId, account] of this.#accounts) {
      if (!options.members.includes(memberId)) quarantined += this.#rules.getBound(account);
    }
    return quarantined;
  }

  /** Gets the permits that members may hold. */
  getLent(members: readonly string[]): number {
    let lent = 0;
    for (const memberId of members) {
      const account = this.#accounts.get(memberId);
      if (account !== undefined) lent += this.#rules.getBound(account);
    }
    return lent;
  }

  /** Allots totals to the members, and gets the lends that are due, by member. */
  plan(options: LedgerPlanOptions): Map<string, LendEntry> {
    this.#removeWithoutRuns(options);
    const { members } = options;
    const accounts = members.map((memberId) => this.#getAccount(memberId));
    const quarantined = this.getQuarantined(options);
    const lent = this.getLent(members);
    if (quarantined === Infinity && lent <= this.#resource.limit) return new Map();
    let free = this.#resource.limit - quarantined - lent;
    const goals = this.#allot(accounts, quarantined, free, options.now);
    this.#isContended = accounts.some(({ demand }, index) => demand > 0 && goals[index] === 0);
    const lends = new Map<string, LendEntry>();
    for (const [index, account] of accounts.entries()) {
      const bound = this.#rules.getBound(account);
      const total = Math.min(goals[index]!, bound + Math.max(0, free));
      free -= Math.max(0, total - bound);
      const lend = this.#lend(account, total, options);
      if (lend !== undefined) lends.set(members[index]!, lend);
    }
    return lends;
  }

  /**
   * Allots the permits. While more may be held than the limit, all are recalled, to start nothing
   * new.
   */
  #allot(
    accounts: readonly LoanAccount[],
    quarantined: number,
    free: number,
    now: number,
  ): number[] {
    if (free < 0) return accounts.map(() => 0);
    return this.#rules.allot({
      capacity: Math.max(0, this.#resource.limit - quarantined),
      demands: accounts,
      turn: Math.floor(now / TURN_MILLISECONDS),
      rotation: hashMemberAndKey("", this.#resource.name) % Math.max(1, accounts.length),
    });
  }

  /** Gets whether it must be planned again after a time, without a new statement. */
  isPending(members: readonly string[]): boolean {
    if (this.#isContended || this.#unknown !== undefined) return true;
    for (const [memberId, account] of this.#accounts) {
      if (account.outstanding.length > 0 || !members.includes(memberId)) return true;
    }
    return false;
  }

  /** Gets the state for the state dump. */
  getState(options: LedgerPlanOptions): unknown {
    const { limit } = this.#resource;
    const { members } = options;
    const quarantined = this.getQuarantined(options);
    return { limit, lent: this.getLent(members), quarantined, isContended: this.#isContended };
  }

  #getUnknown(options: LedgerPlanOptions): number {
    if (this.#unknown === undefined) return 0;
    const highest = this.#history.getMaximum(options.now);
    return this.#rules.getUnknown(highest, this.#unknown.statedTotal);
  }

  #removeWithoutRuns(options: LedgerPlanOptions): void {
    for (const memberId of this.#accounts.keys()) {
      if (options.members.includes(memberId)) continue;
      if (options.hasNoRuns(memberId)) this.#accounts.delete(memberId);
    }
    for (const memberId of this.#unknown?.members ?? []) {
      if (options.hasNoRuns(memberId)) this.#unknown?.members.delete(memberId);
    }
    if (this.#unknown?.members.size === 0) this.#unknown = undefined;
  }

  #lend(account: LoanAccount, total: number, options: LedgerPlanOptions): LendEntry | undefined {
    const { name, limitOffset } = this.#resource;
    const last = account.outstanding.at(-1);
    const isCurrent = last === undefined || last.limitOffset === limitOffset;
    if (total === account.total && isCurrent && !account.mustResend) {
      if (last === undefined || options.now - account.sentAt < RESEND_MILLISECONDS) {
        return undefined;
      }
      account.sentAt = options.now;
      return [name, last.sequence, last.total, limitOffset];
    }
    const sequence = options.nextSequence();
    account.total = total;
    account.mustResend = false;
    account.sentAt = options.now;
    account.outstanding.push({ sequence, total, limitOffset });
    return [name, sequence, total, limitOffset];
  }

  #getAccount(memberId: string, holding = 0): LoanAccount {
    const known = this.#accounts.get(memberId);
    if (known !== undefined) return known;
    const account = createAccount(holding);
    this.#accounts.set(memberId, account);
    return account;
  }
}

function createAccount(holding: number): LoanAccount {
  return {
    statedBound: holding,
    acknowledged: 0,
    outstanding: [],
    total: holding,
    demand: 0,
    batch: 0,
    mustResend: false,
    sentAt: 0,
  };
}
