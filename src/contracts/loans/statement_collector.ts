/**
 * The statements that a keeper has received under one roster, for resources that it can't lend yet.
 */

import type { LoanStatement } from "./loan_messages.ts";

/** The state of one resource in a member's statement. */
export interface StatedHolding {
  /** The maximum that it can hold, because no keeper lends to it until the ledger is open. */
  holding: number;
  /** The permits that it could use. */
  demand: number;
  /** The number of the statement's batch. */
  batch: number;
}

interface MemberStatements {
  completeAt: number | undefined;
  completeBatch: number;
  holdings: Map<string, StatedHolding>;
}

/**
 * Collects statements by member. A complete statement covers every resource of the keeper:
 * nothing is held of those that it does not list.
 */
export class StatementCollector {
  readonly #byMember = new Map<string, MemberStatements>();

  private constructor() {}

  /** Creates a collector without statements. */
  static create(): StatementCollector {
    return new StatementCollector();
  }

  /** Adds a statement; entries from a later batch of the same member are kept. */
  add(from: string, statement: LoanStatement): void {
    const stated = this.#byMember.get(from) ??
      { completeAt: undefined, completeBatch: -1, holdings: new Map() };
    this.#byMember.set(from, stated);
    const { batch, isComplete, fleet } = statement;
    if (isComplete) {
      stated.completeAt = Math.max(stated.completeAt ?? fleet, fleet);
      stated.completeBatch = Math.max(stated.completeBatch, batch);
    }
    for (const [resource, , holding, demand] of statement.entries) {
      if ((stated.holdings.get(resource)?.batch ?? -1) > batch) continue;
      stated.holdings.set(resource, { holding, demand, batch });
    }
  }

  /** Gets whether a member's complete statement was made between two offsets of the log. */
  hasStated(member: string, from: number, to: number): boolean {
    const completeAt = this.#byMember.get(member)?.completeAt;
    return completeAt !== undefined && completeAt >= from && completeAt <= to;
  }

  /**
   * Gets the stated holding of a resource, which is zero if the newest complete statement lacks it.
   */
  getStated(member: string, resource: string): StatedHolding {
    const stated = this.#byMember.get(member);
    const batch = stated?.completeBatch ?? 0;
    const entry = stated?.holdings.get(resource);
    return entry !== undefined && entry.batch >= batch ? entry : { holding: 0, demand: 0, batch };
  }

  /** Gets the members that have made a statement. */
  getMembers(): string[] {
    return [...this.#byMember.keys()];
  }
}
