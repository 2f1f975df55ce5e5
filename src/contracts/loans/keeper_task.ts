/** The task that lends the permits of the resources for which this member is the keeper. */

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

/** How long statements are batched before they are answered. */
const REPLY_BATCH_DELAY_MILLISECONDS = 5;

/** The interval at which pending work is checked for messages that have become due. */
const CHECK_INTERVAL_MILLISECONDS = 100;

/** Options of a `KeeperTask`. */
export interface KeeperTaskOptions {
  /** The member id of this process. */
  memberId: string;
  /** A monotonic clock: one that follows the wall clock would shorten a quarantine when it jumps. */
  clock: ElapsedClock;
  rules: LoanRules;
  /** Sends a message to a member, possibly this one. */
  send: (to: string, message: LoanPeerMessage | SharePeerMessage) => void;
}

/** The messages that a `KeeperTask` handles. */
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
        return this.#schedule(REPLY_BATCH_DELAY_MILLISECONDS, now);
      case "roster-changed":
        this.#members = message.roster.members;
        this.#keeper.setRoster(message.roster, now);
        return this.#schedule(REPLY_BATCH_DELAY_MILLISECONDS, now);
      case "log-read":
        return;
      case "peer":
        this.#receivePeerMessage(message.from, message.message, now);
        return this.#schedule(REPLY_BATCH_DELAY_MILLISECONDS, now);
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

  #receivePeerMessage(from: string, message: LoanStatement | ShareDemand, now: number): void {
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
      this.#schedule(CHECK_INTERVAL_MILLISECONDS, now);
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
