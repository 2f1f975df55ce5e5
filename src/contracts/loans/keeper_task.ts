/** Lends the permits of the resources for which the roster names this member. */

import type { RecordEvent } from "../../records/record_messages.ts";
import { type ElapsedClock, Task } from "../../tasks/mod.ts";
import type { RosterChanged } from "../roster_messages.ts";
import { Keeper } from "./keeper.ts";
import type { LoanPeerMessage, LoanStatement } from "./loan_messages.ts";
import type { Fleet } from "../../records/fleet.ts";
import { ShareAllocator } from "../../teams/share_allocator.ts";
import type { ShareDemand, SharePeerMessage } from "../../teams/share_messages.ts";
import { divideMaxMin } from "../../teams/weighted_max_min.ts";
import { createLoanCatalog } from "./loan_resource.ts";
import type { LoanRules } from "./loan_rules.ts";

/** How long statements are gathered before they are answered. */
const GATHER_MILLISECONDS = 5;

/** The time between two looks at what waits for time to pass. */
const PENDING_MILLISECONDS = 100;

/** Options of a `KeeperTask`. */
export interface KeeperTaskOptions {
  /** The identity of this process. */
  memberId: string;
  /** The clock of waits: a wall clock set forward must not cut a quarantine short. */
  clock: ElapsedClock;
  /** The rules by which it lends. */
  rules: LoanRules;
  /** Sends a message to a member, which may be this one. */
  send: (to: string, message: LoanPeerMessage | SharePeerMessage) => void;
}

/** The messages that a `KeeperTask` takes. */
export type KeeperTaskMessage =
  | RecordEvent
  | RosterChanged
  | { kind: "peer"; from: string; message: LoanStatement | ShareDemand }
  | { kind: "flush" };

/** Owns the ledgers of this member. */
export class KeeperTask extends Task<KeeperTaskMessage> {
  readonly #options: KeeperTaskOptions;
  readonly #keeper: Keeper;
  readonly #shares = ShareAllocator.create({ divide: divideMaxMin });
  #fleet: Fleet | undefined;
  #members: readonly string[] = [];
  #timer: NodeJS.Timeout | undefined;
  #flushAt = Infinity;

  private constructor(options: KeeperTaskOptions) {
    super({ name: "keeper" });
    this.#options = options;
    this.#keeper = Keeper.create(options);
  }

  /** Creates the task. */
  static create(options: KeeperTaskOptions): KeeperTask {
    return new KeeperTask(options);
  }

  protected override receive(message: KeeperTaskMessage): void {
    const now = this.#options.clock.getElapsed();
    switch (message.kind) {
      case "fleet-changed":
        this.#fleet = message.fleet;
        this.#keeper.setCatalog(createLoanCatalog(message.fleet), now);
        return this.#schedule(GATHER_MILLISECONDS, now);
      case "roster-changed":
        this.#members = message.roster.members;
        this.#keeper.adoptRoster(message.roster, now);
        return this.#schedule(GATHER_MILLISECONDS, now);
      case "log-read":
        return;
      case "peer":
        this.#hear(message.from, message.message, now);
        return this.#schedule(GATHER_MILLISECONDS, now);
      case "flush":
        return this.#flush(now);
    }
  }

  override getState(): unknown {
    return this.#keeper.getState(this.#options.clock.getElapsed());
  }

  override stop(): void {
    super.stop();
    clearTimeout(this.#timer);
  }

  #hear(from: string, message: LoanStatement | ShareDemand, now: number): void {
    if (message.kind === "loan-statement") this.#keeper.receiveStatement(from, message, now);
    else this.#shares.setDemand(from, message, now);
  }

  #flush(now: number): void {
    this.#flushAt = Infinity;
    for (const { to, message } of this.#keeper.takeMessages(now)) {
      this.#options.send(to, message);
    }
    if (this.#fleet !== undefined) {
      const allotments = this.#shares.takeAllotments(this.#fleet, this.#members, now);
      for (const { to, message } of allotments) this.#options.send(to, message);
    }
    if (this.#keeper.isPending() || this.#shares.hasDemand()) {
      this.#schedule(PENDING_MILLISECONDS, now);
    }
  }

  #schedule(milliseconds: number, now: number): void {
    const at = now + milliseconds;
    if (at >= this.#flushAt) return;
    this.#flushAt = at;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.post({ kind: "flush" }), milliseconds);
  }
}
