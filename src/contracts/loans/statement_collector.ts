/** The statements that a keeper has heard under one roster, for resources that it does not lend yet. */

import type { LoanStatement } from "./loan_messages.ts";

/** What a member has stated of one resource. */
export interface StatedHolding {
  /** The most that it can be holding, as no keeper lends it more. */
  holding: number;
  /** The permits that it could use. */
  demand: number;
  /** The number of the batch that stated it. */
  batch: number;
}

interface MemberPage {
  completeAt: number | undefined;
  completeBatch: number;
  lines: Map<string, StatedHolding>;
}

/** Statements by member; a complete one speaks of every resource of the keeper, listed or not. */
export class StatementCollector {
  readonly #pages = new Map<string, MemberPage>();

  private constructor() {}

  /** Creates a book without statements. */
  static create(): StatementCollector {
    return new StatementCollector();
  }

  /** Adds a statement; what a later batch of the same member said stays. */
  add(from: string, statement: LoanStatement): void {
    const page = this.#pages.get(from) ??
      { completeAt: undefined, completeBatch: -1, lines: new Map() };
    this.#pages.set(from, page);
    const { batch, isComplete, fleet } = statement;
    if (isComplete) {
      page.completeAt = Math.max(page.completeAt ?? fleet, fleet);
      page.completeBatch = Math.max(page.completeBatch, batch);
    }
    for (const [resource, , holding, demand] of statement.entries) {
      if ((page.lines.get(resource)?.batch ?? -1) > batch) continue;
      page.lines.set(resource, { holding, demand, batch });
    }
  }

  /** Gets whether a member has made a complete statement between two offsets of the log. */
  hasStated(member: string, from: number, to: number): boolean {
    const completeAt = this.#pages.get(member)?.completeAt;
    return completeAt !== undefined && completeAt >= from && completeAt <= to;
  }

  /** Gets what a member has stated of a resource; not listed in the newest complete one is nothing. */
  getStated(member: string, resource: string): StatedHolding {
    const page = this.#pages.get(member);
    const batch = page?.completeBatch ?? 0;
    const line = page?.lines.get(resource);
    return line !== undefined && line.batch >= batch ? line : { holding: 0, demand: 0, batch };
  }

  /** Gets the members that have stated anything. */
  getMembers(): string[] {
    return [...this.#pages.keys()];
  }
}
