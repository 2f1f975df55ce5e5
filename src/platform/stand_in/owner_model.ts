/** An owner's process in virtual time: it may pause, hand over, and learn late that it is replaced. */

import type { FleetOwner } from "../../owner/fleet_owner.ts";
import { getGrantedLeaseMilliseconds } from "../../ownership/lease_bounds.ts";
import {
  CLAIM_VALIDITY_MILLISECONDS,
  RENEWAL_INTERVAL_MILLISECONDS,
} from "../../ownership/ownership_task.ts";

/** Options of an `OwnerModel`. */
export interface OwnerModelOptions {
  /** The fence of the owner's orders. */
  fence: number;
  /** When it took over, in virtual time, in milliseconds. */
  ownedSince: number;
  /** Gets the virtual time, in milliseconds. */
  getNow: () => number;
  /** Gets the time of day as the owner's host knows it, in milliseconds. */
  getTimeOfDay: () => number;
}

/** Holds an owner's decisions, and what its process has not handled yet. */
export class OwnerModel {
  readonly #options: OwnerModelOptions;
  #owner: FleetOwner | undefined;
  /** What reached the process while it is paused. */
  readonly #deferred: ((owner: FleetOwner) => void)[] = [];
  /** Since when its claim has not been renewed; undefined while it is. */
  #unrenewedSince: number | undefined;
  #pausedUntil = -Infinity;
  #isPaused = false;
  #isHandingOver = false;
  #heldUntil = -Infinity;
  #hasEnded = false;

  private constructor(options: OwnerModelOptions) {
    this.#options = options;
  }

  /** Creates a process that has not taken over yet. */
  static create(options: OwnerModelOptions): OwnerModel {
    return new OwnerModel(options);
  }

  /** The fence of the owner's orders. */
  get fence(): number {
    return this.#options.fence;
  }

  /** Whether the process makes no more decisions. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Gets the number of the claim's last renewal. */
  getRenewal(): number {
    const until = this.#unrenewedSince ?? this.#options.getNow();
    return Math.floor((until - this.#options.ownedSince) / RENEWAL_INTERVAL_MILLISECONDS);
  }

  /** Gets when its claim was last renewed, if it is not renewed any more. */
  getUnrenewedSince(): number | undefined {
    return this.#unrenewedSince;
  }

  /** Gets how long what the process has decided to send is held up, in milliseconds. */
  getPauseMilliseconds(): number {
    return Math.max(0, this.#pausedUntil - this.#options.getNow());
  }

  /** Sets the owner, once the take-over is complete. */
  setOwner(owner: FleetOwner): void {
    this.#owner = owner;
  }

  /** Calls the owner with the present context and lets it flush, after a pause if there is one. */
  act(act: (owner: FleetOwner) => void): void {
    if (this.#hasEnded) return;
    if (this.#isPaused) this.#deferred.push(act);
    else this.#act(act);
  }

  /** Pauses the process until a time. */
  pause(until: number): void {
    this.#unrenewedSince ??= this.#options.getNow();
    this.#pausedUntil = until;
    this.#isPaused = true;
  }

  /** Handles what reached the process while it was paused. */
  resume(): void {
    this.#isPaused = false;
    for (const act of this.#deferred.splice(0)) {
      if (!this.#hasEnded) this.#act(act);
    }
  }

  /** Records that the claim of the process, unless it has ended, is renewed again. */
  confirmClaim(): void {
    if (!this.#hasEnded) this.#unrenewedSince = undefined;
  }

  /** Stops starting tasks and extending leases. */
  startHandOver(): void {
    this.#isHandingOver = true;
  }

  /** Starts no tasks until a time; jobs are accepted and leases are extended. */
  holdStarts(until: number): void {
    this.#heldUntil = until;
  }

  /** Ends the process. */
  end(): void {
    this.#unrenewedSince ??= this.#options.getNow();
    this.#hasEnded = true;
  }

  #act(act: (owner: FleetOwner) => void): void {
    const { getNow, getTimeOfDay } = this.#options;
    const owner = this.#owner!;
    const claimAge = this.#unrenewedSince === undefined ? 0 : getNow() - this.#unrenewedSince;
    const leaseMilliseconds = getGrantedLeaseMilliseconds(claimAge);
    owner.setContext({
      now: getNow(),
      timeOfDay: getTimeOfDay(),
      renewal: this.getRenewal(),
      mayStart: claimAge < CLAIM_VALIDITY_MILLISECONDS && !this.#isHandingOver &&
        getNow() >= this.#heldUntil,
      mayExtend: leaseMilliseconds > 0 && !this.#isHandingOver,
      leaseMilliseconds,
    });
    act(owner);
    owner.flush();
  }
}
