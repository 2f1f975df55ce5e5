/** Member of the loan model: a real `Holder` and `Keeper` on a simulated clock. */

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

/** How long a permit is held for a run whose end is unknown, as a multiple of the maximum run time. */
const HOLD_TIME_FACTOR = 1.05;

/** Length of a demand window. */
const WINDOW_MILLISECONDS = 300;

/** Options for `ModelMember`. */
export interface ModelMemberOptions {
  /** The identity. */
  memberId: string;
  /** Rate of its clock; 1 is real time. */
  clockRate: number;
  /** The log. */
  log: ModelLog;
  /** Loan rules of its keeper. */
  rules: LoanRules;
  /** How long it holds the permit of a run that timed out. */
  timeOutHoldMilliseconds: number | undefined;
  /** Simulated time in milliseconds. */
  now: number;
}

/** A run that holds a permit of a member. */
export interface ModelRun {
  /** The resource. */
  resource: string;
  /** When it ends, in simulated time. */
  endsAt: number;
  /** Whether the member never receives the response. */
  isResponseLost: boolean;
  /** When it started, on the member's clock. */
  startedAt: number;
}

/** Simulated process with a holder, a keeper and its runs. */
export class ModelMember {
  /** The identity. */
  readonly memberId: string;
  /** Until when the process is paused. */
  pausedUntil = 0;
  /** Whether it has crashed. */
  hasCrashed = false;
  /** Until when it cannot reach the log. */
  logCutUntil = 0;
  /** When it next reads the log. */
  readsAt = 0;
  /** Wanted permits by resource. */
  readonly demand = new Map<string, number>(MODEL_RESOURCES.map((name) => [name, 0]));
  readonly #options: ModelMemberOptions;
  readonly #holder: Holder;
  readonly #keeper: Keeper;
  readonly #inForce = new Set<string>();
  #runs: ModelRun[] = [];
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

  /** Creates a member and reads the log. */
  static create(options: ModelMemberOptions): ModelMember {
    const member = new ModelMember(options);
    member.read(options.now);
    return member;
  }

  /** Gets the offset that was last applied. */
  getOffset(): number {
    return this.#offset;
  }

  /** Gets the number of permits that it holds of a resource. */
  getHeldPermits(resource: string): number {
    return this.#holder.getHolding(resource)?.getHeld() ?? 0;
  }

  /** Reads the log to its end. */
  read(now: number): void {
    this.#readAt = this.#getElapsed(now);
    const { roster, catalog } = this.#options.log.getHead();
    this.#offset = catalog.offset;
    this.#holder.setCatalog(catalog);
    this.#keeper.setCatalog(catalog, this.#getElapsed(now));
    if (roster.offset !== this.#roster?.offset) this.#adopt(roster, now);
  }

  /** Marks the removal of a former member as in force. */
  confirmRemoval(memberId: string, now: number): void {
    this.#inForce.add(memberId);
    if (this.#roster !== undefined) this.#adopt(this.#roster, now);
  }

  /** Handles a message from another member. */
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

  /** Ends runs, starts runs for which permits are held, and gets the messages to send and the started runs. */
  act(now: number, createRun: () => Omit<ModelRun, "resource" | "startedAt">): {
    messages: KeeperMessage[];
    started: ModelRun[];
  } {
    const elapsed = this.#getElapsed(now);
    this.#endRuns(now);
    const started = this.#canStart(now) ? this.#start(elapsed, createRun) : [];
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
    this.#holder.setRoster(this.#roster, this.#getElapsed(now));
    this.#keeper.setRoster(this.#roster, this.#getElapsed(now));
  }

  #canStart(now: number): boolean {
    const age = this.#getElapsed(now) - this.#readAt;
    const isMember = this.#roster?.members.includes(this.memberId) ?? false;
    return isMember && age < FRESHNESS_LIMIT_MILLISECONDS;
  }

  #start(
    elapsed: number,
    createRun: () => Omit<ModelRun, "resource" | "startedAt">,
  ): ModelRun[] {
    const started: ModelRun[] = [];
    for (const [resource, demand] of this.demand) {
      const holding = this.#holder.getHolding(resource);
      if (holding === undefined) continue;
      this.#holder.setDemand(holding, demand);
      while (holding.getUsed() < demand && holding.take()) {
        started.push({ resource, startedAt: elapsed, ...createRun() });
      }
    }
    this.#runs.push(...started);
    return started;
  }

  #endRuns(now: number): void {
    const elapsed = this.#getElapsed(now);
    const holdMilliseconds = this.#options.timeOutHoldMilliseconds ??
      MODEL_MAXIMUM_RUN_MILLISECONDS * HOLD_TIME_FACTOR;
    const isEnded = (run: ModelRun) =>
      run.isResponseLost ? elapsed - run.startedAt >= holdMilliseconds : now >= run.endsAt;
    for (const run of this.#runs.filter(isEnded)) {
      this.#holder.release(this.#holder.getHolding(run.resource)!);
    }
    this.#runs = this.#runs.filter((run) => !isEnded(run));
  }

  #getElapsed(now: number): number {
    return now * this.#options.clockRate;
  }
}
