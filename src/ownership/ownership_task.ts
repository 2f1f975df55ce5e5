/** Claims the fleet when nobody holds it, renews the claim, and tells who holds it. */

import type { EventLog } from "../events/mod.ts";
import { type ElapsedClock, Task } from "../tasks/mod.ts";
import type { AppendClaim, Claim, ClaimAppendResult } from "./ownership_ports.ts";

/** How often the owner renews its claim, in milliseconds. */
export const RENEWAL_MILLISECONDS = 300;
/** How long a claim may go without renewal before another host takes over, in milliseconds: three renewals. */
export const TAKE_OVER_MILLISECONDS = 1_000;
/** How long after its last confirmation an owner still starts tasks, in milliseconds. */
export const AUTHORITY_MILLISECONDS = 2_000;
/** How often the task looks whether something is due, in milliseconds. */
const TICK_MILLISECONDS = 50;
/** How old the knowledge of the claims may be for a claim of one's own, in milliseconds. */
const FRESH_MILLISECONDS = 800;

/** What the claims' topic says now. */
export interface ClaimNews {
  /** The newest claim. */
  claim: Claim | undefined;
  /** The end of the claims, for the next append. */
  end: number;
  /** When this was the newest, on the elapsed clock; minus infinity where that is not known. */
  freshAt: number;
}

/** What others are told of the ownership. */
export interface OwnershipView {
  /** The newest claim. */
  claim: Claim | undefined;
  /** Whether it is this process's own, and not released. */
  isMine: boolean;
  /** Until when on the elapsed clock it is known that no other claim came before. */
  confirmedAt: number;
}

/** The messages that an `OwnershipTask` takes. */
export type OwnershipMessage =
  | { kind: "news"; news: ClaimNews }
  | { kind: "tick" }
  | { kind: "appended"; claim: Claim; sentAt: number; result: ClaimAppendResult }
  /** The host may hold the claim from now on. */
  | { kind: "enable" }
  /** The host gives its claim up, and makes no other. */
  | { kind: "release" }
  /** The holder's process is known to have ended. */
  | { kind: "holder-ended"; holder: string };

/** Options of an `OwnershipTask`. */
export interface OwnershipTaskOptions {
  /** The identity of this process, unique for each start. */
  holder: string;
  /** The name of this host. */
  hostName: string;
  /** The address for links of other entry hosts. */
  address: string;
  /** Gets how long this host holds back before it claims an epoch, in milliseconds. */
  getDelay: (epoch: number) => number;
  /** Appends a claim. */
  appendClaim: AppendClaim;
  /** Gets what has changed. */
  notify: (view: OwnershipView) => void;
  /** The clock of ages. */
  clock: ElapsedClock;
  /** The steady clock. */
  getSteady: () => number;
  /** Logs claims. */
  log: EventLog;
}

/** Owns what this process believes about the claim. */
export class OwnershipTask extends Task<OwnershipMessage> {
  readonly #options: OwnershipTaskOptions;
  readonly #timer: NodeJS.Timeout;
  #claim: Claim | undefined;
  #end: number | undefined;
  #seenAt: number;
  /** The last holder whose process is known to have ended. */
  #endedHolder: string | undefined;
  #freshAt = -Infinity;
  #confirmedAt = -Infinity;
  #renewedAt = -Infinity;
  #isAppending = false;
  #isEnabled = false;
  #isReleasing = false;

  private constructor(options: OwnershipTaskOptions) {
    super({ name: "ownership" });
    this.#options = options;
    this.#seenAt = options.getSteady();
    this.#timer = setInterval(() => this.post({ kind: "tick" }), TICK_MILLISECONDS);
  }

  /** Creates the task. */
  static create(options: OwnershipTaskOptions): OwnershipTask {
    return new OwnershipTask(options);
  }

  protected override receive(message: OwnershipMessage): void {
    switch (message.kind) {
      case "news":
        return this.#handleNews(message.news);
      case "tick":
        return this.#tick();
      case "appended":
        return this.#handleAppended(message.claim, message.sentAt, message.result);
      case "enable":
        this.#isEnabled = true;
        return;
      case "release":
        this.#isReleasing = true;
        return this.#tick();
      case "holder-ended":
        this.#endedHolder = message.holder;
        return this.#tick();
    }
  }

  override getState(): unknown {
    return { claim: this.#claim, end: this.#end, isMine: this.#isMine() };
  }

  override stop(): void {
    super.stop();
    clearInterval(this.#timer);
  }

  #isMine(): boolean {
    return this.#claim?.holder === this.#options.holder && !this.#claim.isReleased;
  }

  #handleNews(news: ClaimNews): void {
    if (this.#end !== undefined && news.end < this.#end) return;
    this.#end = news.end;
    this.#freshAt = Math.max(this.#freshAt, news.freshAt);
    this.#setClaim(news.claim, news.freshAt);
  }

  #setClaim(claim: Claim | undefined, confirmedAt: number): void {
    const { log, getSteady, notify } = this.#options;
    const isOther = claim?.epoch !== this.#claim?.epoch || claim?.holder !== this.#claim?.holder;
    const hasChanged = isOther || claim?.isReleased !== this.#claim?.isReleased;
    if (hasChanged || claim?.renewal !== this.#claim?.renewal) this.#seenAt = getSteady();
    if (hasChanged) {
      log("claim-seen", {
        epoch: claim?.epoch,
        holder: claim?.holder,
        host: claim?.hostName,
        released: claim?.isReleased,
        end: this.#end,
      });
    }
    const isFromEarlierLife = claim?.hostName === this.#options.hostName &&
      claim.holder !== this.#options.holder;
    if (isFromEarlierLife) this.#endedHolder = claim.holder;
    if (isOther) this.#confirmedAt = -Infinity;
    this.#claim = claim;
    if (this.#isMine()) this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
    notify({ claim, isMine: this.#isMine(), confirmedAt: this.#confirmedAt });
  }

  #tick(): void {
    const { getSteady } = this.#options;
    if (this.#isAppending || this.#end === undefined) return;
    if (this.#isMine()) {
      if (!this.#isReleasing && getSteady() - this.#renewedAt < RENEWAL_MILLISECONDS) return;
      const renewal = this.#claim!.renewal + 1;
      return this.#append({ ...this.#claim!, renewal, isReleased: this.#isReleasing });
    }
    if (this.#isClaimDue()) this.#claimIt();
  }

  #isClaimDue(): boolean {
    const { clock, getSteady, getDelay } = this.#options;
    if (!this.#isEnabled || this.#isReleasing) return false;
    if (clock.getElapsed() - this.#freshAt > FRESH_MILLISECONDS) return false;
    const isHeld = this.#claim !== undefined && !this.#claim.isReleased;
    const silence = isHeld ? TAKE_OVER_MILLISECONDS : 0;
    const epoch = (this.#claim?.epoch ?? 0) + 1;
    // A holder that has ended renews nothing, whatever of it is still read.
    if (isHeld && this.#claim!.holder === this.#endedHolder) return true;
    return getSteady() - this.#seenAt >= silence + getDelay(epoch);
  }

  #claimIt(): void {
    const { holder, hostName, address, log, getSteady } = this.#options;
    const epoch = (this.#claim?.epoch ?? 0) + 1;
    log("claim-made", {
      epoch,
      previous: this.#claim?.hostName,
      released: this.#claim?.isReleased,
      silent: Math.round(getSteady() - this.#seenAt),
      end: this.#end,
    });
    this.#append({ epoch, holder, hostName, address, isReleased: false, renewal: 0 });
  }

  #append(claim: Claim): void {
    const { appendClaim, clock, getSteady } = this.#options;
    const sentAt = clock.getElapsed();
    this.#isAppending = true;
    this.#renewedAt = getSteady();
    void appendClaim(claim, this.#end!)
      .catch((): ClaimAppendResult => ({ outcome: "failed" }))
      .then((result) => this.post({ kind: "appended", claim, sentAt, result }));
  }

  #handleAppended(claim: Claim, sentAt: number, result: ClaimAppendResult): void {
    this.#isAppending = false;
    if (result.outcome !== "done") {
      this.#options.log("claim-not-stored", { epoch: claim.epoch, outcome: result.outcome });
      return;
    }
    if (this.#end !== undefined && result.end < this.#end) return;
    this.#end = result.end;
    this.#setClaim(claim, sentAt);
  }
}
