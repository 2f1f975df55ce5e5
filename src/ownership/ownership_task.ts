/** Claims the fleet when no host owns it, renews the claim, and publishes who owns it. */

import { Task } from "../tasks/mod.ts";
import { ClaimBackoff } from "./claim_backoff.ts";
import { HandOverControl } from "./hand_over_control.ts";
import { getEarlierLeases } from "./lease_bounds.ts";
import type { ClaimUpdate, OwnershipMessage, OwnershipTaskOptions } from "./ownership_messages.ts";
import type { Claim, ClaimAppendResult } from "./ownership_ports.ts";
import {
  getPublishedTimeout,
  MINIMUM_RENEWAL_TIMEOUT_MILLISECONDS,
  RenewalTimeout,
} from "./renewal_timeout.ts";

/** The interval at which the owner renews its claim, in milliseconds. */
export const RENEWAL_INTERVAL_MILLISECONDS = 300;
/** The minimum time that a claim goes unrenewed before another host takes over, in milliseconds. */
export const TAKE_OVER_TIMEOUT_MILLISECONDS = MINIMUM_RENEWAL_TIMEOUT_MILLISECONDS;
/** How long an owner may start tasks after the last confirmation of its claim, in milliseconds. */
export const CLAIM_VALIDITY_MILLISECONDS = 2_000;
/** The interval at which the task checks whether to claim or renew, in milliseconds. */
const TICK_INTERVAL_MILLISECONDS = 50;
/**
 * A host claims the fleet only if it read the end of the claims topic within this time, in
 * milliseconds.
 */
const MAXIMUM_CLAIM_READ_AGE_MILLISECONDS = 800;

/**
 * How much longer a host waits if the claim was released for another one, in milliseconds: the cost
 * of a successor that is lost meanwhile.
 */
const SUCCESSOR_TIMEOUT_MILLISECONDS = 600;

/** Owns this process's view of the claim, and its own claim. */
export class OwnershipTask extends Task<OwnershipMessage> {
  readonly #options: OwnershipTaskOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #renewalTimeout: RenewalTimeout;
  readonly #backoff = ClaimBackoff.create();
  readonly #handOvers: HandOverControl;
  #claim: Claim | undefined;
  #end: number | undefined;
  #lastRenewalSeenAt: number;
  /** The last holder whose process is known to have ended, and since when this host knows it. */
  #endedHolder: { holder: string; since: number } | undefined;
  #claimReadAt = -Infinity;
  #confirmedAt = -Infinity;
  #renewedAt = -Infinity;
  /** When this process last claimed the fleet, on the monotonic clock. */
  #claimedAt = -Infinity;
  #isAppending = false;
  #isEnabled = false;
  /** Since when this host is enabled and has read the claims to their end; undefined before. */
  #mayClaimSince: number | undefined;
  #isReleasing = false;
  #releasedLeaseMilliseconds: number | undefined;

  private constructor(options: OwnershipTaskOptions) {
    super({ name: "ownership" });
    this.#options = options;
    this.#renewalTimeout = RenewalTimeout.create(options.cores);
    this.#handOvers = HandOverControl.create({ shortage: options.shortage, log: options.log });
    this.#lastRenewalSeenAt = options.getMonotonicTime();
    this.#timer = setInterval(() => this.post({ kind: "tick" }), TICK_INTERVAL_MILLISECONDS);
  }

  static create(options: OwnershipTaskOptions): OwnershipTask {
    return new OwnershipTask(options);
  }

  protected override receive(message: OwnershipMessage): void {
    switch (message.kind) {
      case "claim-update":
        return this.#handleUpdate(message.update);
      case "tick":
        return this.#tick();
      case "appended":
        return this.#handleAppended(message.claim, message.sentAt, message.result);
      case "enable":
        this.#isEnabled = true;
        return this.#updateMayClaim();
      case "release":
        this.#isReleasing = true;
        this.#releasedLeaseMilliseconds = message.leaseMilliseconds;
        return this.#tick();
      case "holder-ended":
        this.#setEndedHolder(message.holder);
        return this.#tick();
      case "candidate":
        return this.#handOvers.setCandidate(message.candidate);
      case "candidate-lost":
        return this.#handOvers.removeCandidate(message.holder, message.linkOpenedAt);
      case "hand-over":
        this.#handOvers.recordEnded(message.epoch, message.leaseMilliseconds);
        return this.#tick();
      case "hand-over-abandoned":
        return this.#handOvers.recordAbandoned(message.epoch, this.#options.getMonotonicTime());
    }
  }

  /** Gets whether this host may be named as the owner's successor. */
  mayOwn(): boolean {
    return this.#canClaim() && this.#backoff.hasRecovered(this.#options.getMonotonicTime());
  }

  /** Gets the number of claims that this process has released for a successor. */
  getHandOverCount(): number {
    return this.#handOvers.getCount();
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

  #handleUpdate(update: ClaimUpdate): void {
    if (this.#end !== undefined && update.end < this.#end) return;
    this.#end = update.end;
    this.#claimReadAt = Math.max(this.#claimReadAt, update.asOf);
    this.#updateMayClaim();
    this.#setClaim(update.claim, update.asOf);
    if (this.#isSuccessor()) this.#tick();
  }

  /** Gets whether the claim was released for this process. */
  #isSuccessor(): boolean {
    return this.#claim?.isReleased === true && this.#claim.successor === this.#options.holder;
  }

  #updateMayClaim(): void {
    if (!this.#isEnabled || this.#claimReadAt === -Infinity) return;
    this.#mayClaimSince ??= this.#options.getMonotonicTime();
  }

  #setClaim(claim: Claim | undefined, confirmedAt: number): void {
    const { log, getMonotonicTime: getNow, onOwnership } = this.#options;
    const isOtherClaim = claim?.epoch !== this.#claim?.epoch ||
      claim?.holder !== this.#claim?.holder;
    const hasChanged = isOtherClaim || claim?.isReleased !== this.#claim?.isReleased;
    const isRenewed = hasChanged || claim?.renewal !== this.#claim?.renewal;
    if (isRenewed && !hasChanged && this.#isMine()) {
      this.#renewalTimeout.recordInterval(getNow() - this.#lastRenewalSeenAt, getNow());
    }
    if (isRenewed) this.#lastRenewalSeenAt = getNow();
    if (hasChanged) {
      log("claim-seen", {
        epoch: claim?.epoch,
        holder: claim?.holder,
        host: claim?.hostName,
        released: claim?.isReleased,
        end: this.#end,
      });
    }
    const isFromEarlierProcess = claim?.hostName === this.#options.hostName &&
      claim.holder !== this.#options.holder;
    if (isFromEarlierProcess) this.#setEndedHolder(claim.holder);
    if (isOtherClaim) this.#confirmedAt = -Infinity;
    this.#claim = claim;
    if (isOtherClaim && this.#isMine()) this.#claimedAt = getNow();
    this.#updateBackoff();
    this.#handOvers.recordClaim(claim, getNow());
    if (this.#isMine()) this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
    onOwnership({ claim, isMine: this.#isMine(), confirmedAt: this.#confirmedAt });
  }

  #setEndedHolder(holder: string): void {
    if (this.#endedHolder?.holder === holder) return;
    this.#endedHolder = { holder, since: this.#options.getMonotonicTime() };
  }

  #updateBackoff(): void {
    const now = this.#options.getMonotonicTime();
    if (this.#isMine()) this.#backoff.recordHeld(now);
    else if (this.#claim?.holder === this.#options.holder) this.#backoff.recordReleased();
    else this.#backoff.recordTakenOver(now);
  }

  #tick(): void {
    if (this.#isAppending || this.#end === undefined) return;
    if (this.#isMine()) return this.#keepClaim(this.#claim!);
    if (this.#shouldClaim()) this.#claimFleet();
  }

  /** Renews or releases the claim when it is time, and decides whether to hand it over. */
  #keepClaim(claim: Claim): void {
    const { getMonotonicTime: getNow, onHandOverDecided } = this.#options;
    if (this.#isReleasing) {
      const leaseMilliseconds = this.#releasedLeaseMilliseconds;
      return this.#appendNext(claim, {
        isReleased: true,
        ...(leaseMilliseconds === undefined ? {} : { leaseMilliseconds }),
      });
    }
    const release = this.#handOvers.takeRelease();
    if (release !== undefined) return this.#appendNext(claim, { ...release, isReleased: true });
    if (getNow() - this.#renewedAt >= RENEWAL_INTERVAL_MILLISECONDS) this.#appendNext(claim);
    const handOver = this.#handOvers.decide(claim.epoch, this.#claimedAt, getNow());
    if (handOver !== undefined) onHandOverDecided(handOver);
  }

  #appendNext(claim: Claim, changes: Partial<Claim> = {}): void {
    this.#append({
      ...claim,
      renewal: claim.renewal + 1,
      timeoutMilliseconds: this.#renewalTimeout.getMilliseconds(),
      ...changes,
    });
  }

  /** Gets whether this host may claim, and has read the claims recently. */
  #canClaim(): boolean {
    if (this.#mayClaimSince === undefined || this.#isReleasing) return false;
    const readAge = this.#options.clock.getElapsed() - this.#claimReadAt;
    return readAge <= MAXIMUM_CLAIM_READ_AGE_MILLISECONDS;
  }

  #shouldClaim(): boolean {
    const { getMonotonicTime: getNow, getDelay } = this.#options;
    if (!this.#canClaim()) return false;
    if (this.#isSuccessor()) return true;
    const isHeld = this.#claim !== undefined && !this.#claim.isReleased;
    const epoch = (this.#claim?.epoch ?? 0) + 1;
    const successorTimeout = this.#claim?.isReleased && this.#claim.successor !== undefined
      ? SUCCESSOR_TIMEOUT_MILLISECONDS
      : 0;
    const delay = getDelay(epoch) + this.#backoff.getDelay() + successorTimeout;
    // A holder whose process has ended can't renew: renewals that are read after this were appended
    // before it ended. Hosts still claim in the order of their delays, whichever notices it first.
    if (isHeld && this.#claim!.holder === this.#endedHolder?.holder) {
      return getNow() - Math.max(this.#endedHolder!.since, this.#mayClaimSince!) >= delay;
    }
    const timeout = isHeld ? getPublishedTimeout(this.#claim!.timeoutMilliseconds) : 0;
    const isFreeSince = this.#lastRenewalSeenAt + timeout;
    // Counted from the process's start alone, the delays of all hosts have passed before their first
    // read of the claims, and the host that reads first claims, however weak it is.
    return getNow() - Math.max(isFreeSince, this.#mayClaimSince!) >= delay;
  }

  #claimFleet(): void {
    const { holder, hostName, address, longestLeaseMilliseconds, log, getMonotonicTime: getNow } =
      this.#options;
    const epoch = (this.#claim?.epoch ?? 0) + 1;
    log("claim-made", {
      epoch,
      previous: this.#claim?.hostName,
      released: this.#claim?.isReleased,
      successor: this.#claim?.successor,
      silent: Math.round(getNow() - this.#lastRenewalSeenAt),
      timeout: this.#claim?.timeoutMilliseconds,
      backoff: this.#backoff.getDelay(),
      end: this.#end,
    });
    this.#append({
      epoch,
      holder,
      hostName,
      address,
      isReleased: false,
      renewal: 0,
      timeoutMilliseconds: this.#renewalTimeout.getMilliseconds(),
      leaseMilliseconds: getEarlierLeases(this.#claim, longestLeaseMilliseconds)
        .longestMilliseconds,
    });
  }

  #append(claim: Claim): void {
    const { appendClaim, clock, getMonotonicTime: getNow } = this.#options;
    const sentAt = clock.getElapsed();
    this.#isAppending = true;
    this.#renewedAt = getNow();
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
    const isRenewed = this.#isMine() &&
      this.#handOvers.recordRenewed(this.#options.getMonotonicTime());
    if (isRenewed) this.#options.onReleaseFailed(claim.epoch);
  }
}
