/** One member of the loan model: the product's holder and keeper on a clock of its own. */

import { Holder } from "../contracts/loans/holder.ts";
import { Keeper, type KeeperMessage } from "../contracts/loans/keeper.ts";
import type { LoanPeerMessage } from "../contracts/loans/loan_messages.ts";
import type { LoanRules } from "../contracts/loans/loan_rules.ts";
import { FRESHNESS_LIMIT_MILLISECONDS } from "../contracts/freshness.ts";
import type { RosterView } from "../contracts/roster_messages.ts";
import {
  MODEL_MAXIMUM_RUN_MILLISECONDS,
  MODEL_RESOURCES,
  type ModelLog,
} from "./loan_model_log.ts";

/** How much longer than the longest run a permit is held for work whose end is not known. */
const RUN_MARGIN = 1.05;

/** The time between two windows of demand. */
const WINDOW_MILLISECONDS = 300;

/** Options of a `ModelMember`. */
export interface ModelMemberOptions {
  /** The identity. */
  memberId: string;
  /** How fast its clock runs. */
  clockRate: number;
  /** The log. */
  log: ModelLog;
  /** The rules of its keeper. */
  rules: LoanRules;
  /** How long it holds the permit of work that timed out. */
  timeOutHoldMilliseconds: number | undefined;
  /** The time, in real milliseconds. */
  now: number;
}

/** Work that a member believes to be running. */
export interface ModelRun {
  /** The resource. */
  resource: string;
  /** When it really ends. */
  endsAt: number;
  /** Whether the member never hears of the end. */
  isResponseLost: boolean;
  /** When it started, by the member's clock. */
  startedAt: number;
}

/** A process with a holder, a keeper and work. */
export class ModelMember {
  /** The identity. */
  readonly memberId: string;
  /** Until when it does nothing. */
  pausedUntil = 0;
  /** Whether it has crashed. */
  hasCrashed = false;
  /** Until when it cannot read the log. */
  logCutUntil = 0;
  /** When it reads the log next. */
  readsAt = 0;
  /** The demand by resource. */
  readonly demand = new Map<string, number>(MODEL_RESOURCES.map((name) => [name, 0]));
  readonly #options: ModelMemberOptions;
  readonly #holder: Holder;
  readonly #keeper: Keeper;
  readonly #inForce = new Set<string>();
  #works: ModelRun[] = [];
  #offset = -1;
  #roster: RosterView | undefined;
  #readAt = -Infinity;
  #windowAt = 0;

  private constructor(options: ModelMemberOptions) {
    this.memberId = options.memberId;
    this.#options = options;
    this.#holder = Holder.create(options);
    this.#keeper = Keeper.create(options);
  }

  /** Creates a member that has read the log. */
  static create(options: ModelMemberOptions): ModelMember {
    const member = new ModelMember(options);
    member.read(options.now);
    return member;
  }

  /** Gets the offset that it has applied. */
  getOffset(): number {
    return this.#offset;
  }

  /** Gets the permits of a resource that it holds. */
  getHeldPermits(resource: string): number {
    return this.#holder.getHolding(resource)?.getHeld() ?? 0;
  }

  /** Reads the log to its head. */
  read(now: number): void {
    this.#readAt = this.#getElapsed(now);
    const { roster, catalog } = this.#options.log.getHead();
    this.#offset = catalog.offset;
    this.#holder.setCatalog(catalog);
    this.#keeper.setCatalog(catalog, this.#getElapsed(now));
    if (roster.offset !== this.#roster?.offset) this.#adopt(roster, now);
  }

  /** Learns that the removal of a former member is in force. */
  confirmRemoval(memberId: string, now: number): void {
    this.#inForce.add(memberId);
    if (this.#roster !== undefined) this.#adopt(this.#roster, now);
  }

  /** Hears a message. */
  receive(from: string, message: LoanPeerMessage, now: number): void {
    switch (message.kind) {
      case "loan-statement":
        return this.#keeper.receiveStatement(from, message, this.#getElapsed(now));
      case "loan-lend":
        return this.#holder.receiveLend(from, message);
      case "loan-statement-wanted":
        return this.#holder.receiveStatementRequest(from, message);
    }
  }

  /** Ends work, starts what it may, and gets the messages that are due and the work that started. */
  act(now: number, createWork: () => Omit<ModelRun, "resource" | "startedAt">): {
    messages: KeeperMessage[];
    started: ModelRun[];
  } {
    const elapsed = this.#getElapsed(now);
    this.#endWorks(now);
    const started = this.#canStart(now) ? this.#start(elapsed, createWork) : [];
    if (elapsed - this.#windowAt >= WINDOW_MILLISECONDS) {
      this.#windowAt = elapsed;
      this.#holder.endWindow();
    }
    const statements = this.#holder.takeStatements(elapsed);
    return {
      messages: [
        ...statements.map(({ to, statement }) => ({ to, message: statement })),
        ...this.#keeper.takeMessages(elapsed),
      ],
      started,
    };
  }

  #adopt(roster: RosterView, now: number): void {
    const departing = roster.departing.map((member) => ({
      ...member,
      isInForce: this.#inForce.has(member.memberId),
    }));
    this.#roster = { ...roster, departing };
    this.#holder.adoptRoster(this.#roster, this.#getElapsed(now));
    this.#keeper.adoptRoster(this.#roster, this.#getElapsed(now));
  }

  #canStart(now: number): boolean {
    const age = this.#getElapsed(now) - this.#readAt;
    const isMember = this.#roster?.members.includes(this.memberId) ?? false;
    return isMember && age < FRESHNESS_LIMIT_MILLISECONDS;
  }

  #start(
    elapsed: number,
    createWork: () => Omit<ModelRun, "resource" | "startedAt">,
  ): ModelRun[] {
    const started: ModelRun[] = [];
    for (const [resource, demand] of this.demand) {
      const holding = this.#holder.getHolding(resource);
      if (holding === undefined) continue;
      this.#holder.setDemand(holding, demand);
      while (holding.getUsed() < demand && holding.take()) {
        started.push({ resource, startedAt: elapsed, ...createWork() });
      }
    }
    this.#works.push(...started);
    return started;
  }

  #endWorks(now: number): void {
    const elapsed = this.#getElapsed(now);
    const held = this.#options.timeOutHoldMilliseconds ??
      MODEL_MAXIMUM_RUN_MILLISECONDS * RUN_MARGIN;
    const isEnded = (work: ModelRun) =>
      work.isResponseLost ? elapsed - work.startedAt >= held : now >= work.endsAt;
    for (const work of this.#works.filter(isEnded)) {
      this.#holder.release(this.#holder.getHolding(work.resource)!);
    }
    this.#works = this.#works.filter((work) => !isEnded(work));
  }

  #getElapsed(now: number): number {
    return now * this.#options.clockRate;
  }
}
