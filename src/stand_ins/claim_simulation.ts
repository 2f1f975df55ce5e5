/** A simulation of claims: members, a network that loses, duplicates and reorders, and a count of starts. */

import type { TargetAnswer } from "../requests/exchange.ts";
import { ClaimCoordinator, type ClaimEffect } from "../requests/claims/claim_coordinator.ts";
import { ClaimHolder, type ClaimHolderOptions } from "../requests/claims/claim_holder.ts";
import { getHolders } from "../requests/claims/claim_holders.ts";
import type { ClaimPeerMessage } from "../requests/claims/claim_messages.ts";
import type { DecideClaim } from "../requests/claims/claim_quorum.ts";

/** The idempotency keys of the simulated requests. */
export const SIMULATION_KEYS = ["key-a", "key-b", "key-c"];
const ANSWER: TargetAnswer = { status: 200, headers: {}, body: Buffer.from("done") };

/** The number of rounds of deliveries and timers after which no event is pending. */
const ROUNDS_UNTIL_IDLE = 10;

/** The retention of claims: longer than any simulation, so that no claim expires within one. */
const HOLD_MILLISECONDS = 10_000_000;

/** Options of a `ClaimSimulation`. */
export interface ClaimSimulationOptions {
  /** Decides a claim by its votes. */
  decideClaim: DecideClaim;
  /** Replaces the check whether a holder has every claim, so that an unknown key is a new one. */
  hasCompleteClaims?: ClaimHolderOptions["hasCompleteClaims"];
}

interface SimulatedMember {
  id: string;
  holder: ClaimHolder;
  coordinator: ClaimCoordinator;
  /** The number of rosters that it has adopted. */
  adoptedRosters: number;
  isAlive: boolean;
}

interface MessageInFlight {
  from: string;
  to: string;
  message: ClaimPeerMessage;
}

/** Simulates members that get requests with idempotency keys, with events in any order. */
export class ClaimSimulation {
  /** The ids of the started requests, by key. */
  readonly starts = new Map<string, string[]>();
  /** The decision on each request, by request id. */
  readonly decisions = new Map<string, string>();
  readonly #options: ClaimSimulationOptions;
  readonly #members = new Map<string, SimulatedMember>();
  readonly #rosters: string[][] = [];
  readonly #keyByRequest = new Map<string, string>();
  #inFlight: MessageInFlight[] = [];
  #timers: { member: string; effect: ClaimEffect }[] = [];
  readonly #partitioned = new Set<string>();
  #now = 0;
  #createdMembers = 0;

  private constructor(options: ClaimSimulationOptions) {
    this.#options = options;
  }

  /** Creates a simulation of members that have adopted the same roster. */
  static create(options: ClaimSimulationOptions, size: number): ClaimSimulation {
    const simulation = new ClaimSimulation(options);
    for (let index = 0; index < size; index += 1) simulation.join();
    simulation.runUntilIdle();
    return simulation;
  }

  /** Performs one random step, selected by the numbers; `kind` is below 100. */
  step(kind: number, first: number, second: number): void {
    if (kind < 60) return this.#deliver(first, kind < 3, kind >= 3 && kind < 6);
    if (kind < 70) return this.#addAnyRequest(first, second);
    if (kind < 76) return this.#fireTimer(first);
    if (kind < 84) return this.#adopt(first);
    if (kind < 87) return this.#crashAny(first);
    if (kind < 90) return this.join();
    if (kind < 93) return this.#removeAny(first);
    if (kind < 98) return this.#advanceTime(second % 1_500);
    this.runUntilIdle();
  }

  /** Gets the members of the newest roster. */
  getMembers(): readonly string[] {
    return this.#rosters.at(-1) ?? [];
  }

  /** Gets the holders of a key under the newest roster. */
  getHolders(key: string): readonly string[] {
    return getHolders(key, this.getMembers());
  }

  /** Starts a request at a member, and gets the request's id. */
  addRequest(memberId: string, key: string, fingerprint = key): string {
    const member = this.#members.get(memberId)!;
    const requestId = `request-${this.#keyByRequest.size}`;
    this.#keyByRequest.set(requestId, key);
    const request = { requestId, key, fingerprint, holdMilliseconds: HOLD_MILLISECONDS };
    this.#applyEffects(member, member.coordinator.start(request, this.#now));
    return requestId;
  }

  /** Adds a new member to the roster. */
  join(): void {
    this.#changeRoster((ids) => [...ids, this.#addMember()]);
  }

  /** Removes a member from the roster. */
  leave(memberId: string): void {
    this.#changeRoster((ids) => ids.filter((id) => id !== memberId));
  }

  /** Ends a member's process, with the loss of its state. */
  crash(memberId: string): void {
    this.#members.get(memberId)!.isAlive = false;
  }

  /** Sets whether all messages between a member and the others are lost. */
  setPartitioned(memberId: string, isPartitioned = true): void {
    if (isPartitioned) this.#partitioned.add(memberId);
    else this.#partitioned.delete(memberId);
  }

  /** Delivers all messages, adopts all rosters and fires all timers. */
  runUntilIdle(): void {
    for (let round = 0; round < ROUNDS_UNTIL_IDLE; round += 1) {
      for (const member of this.#members.values()) while (this.#adoptNext(member));
      while (this.#inFlight.length > 0) this.#deliver(0, false, false);
      for (let count = this.#timers.length; count > 0; count -= 1) this.#fireTimer(0);
      this.#advanceTime(300);
    }
    while (this.#inFlight.length > 0) this.#deliver(0, false, false);
  }

  #addMember(): string {
    const id = `entry-${this.#createdMembers}`;
    this.#createdMembers += 1;
    const holder = ClaimHolder.create({
      ownMemberId: id,
      maximumClaims: 1_000,
      maximumAnswerBytes: 1_000,
      maximumClaimMilliseconds: HOLD_MILLISECONDS,
      ...(this.#options.hasCompleteClaims &&
        { hasCompleteClaims: this.#options.hasCompleteClaims }),
    });
    const coordinator = ClaimCoordinator.create({
      decideClaim: this.#options.decideClaim,
      getHolders: (key) => ({
        rosterId: holder.getRosterId() ?? "",
        holders: holder.getHolders(key),
      }),
    });
    const adoptedRosters = Math.max(0, this.#rosters.length - 1);
    this.#members.set(id, { id, holder, coordinator, adoptedRosters, isAlive: true });
    return id;
  }

  #changeRoster(change: (ids: string[]) => string[]): void {
    this.#rosters.push(change(this.#rosters.at(-1) ?? []));
  }

  #removeAny(choice: number): void {
    const newest = this.getMembers();
    const dead = newest.filter((id) => !this.#members.get(id)!.isAlive);
    const candidates = dead.length > 0 ? dead : newest;
    if (newest.length > 2) this.leave(candidates[choice % candidates.length]!);
  }

  #crashAny(choice: number): void {
    const alive = this.#getAlive();
    if (alive.length > 2) this.crash(alive[choice % alive.length]!.id);
  }

  #adopt(choice: number): void {
    const alive = this.#getAlive();
    this.#adoptNext(alive[choice % alive.length]!);
  }

  /** Adopts the member's next roster. A new member begins with the roster before the one that adds it. */
  #adoptNext(member: SimulatedMember): boolean {
    const rosterId = `roster-${member.adoptedRosters}`;
    const members = this.#rosters[member.adoptedRosters];
    if (members === undefined || !member.isAlive) return false;
    member.adoptedRosters += 1;
    const isFirst = member.holder.getRosterId() === undefined;
    const options = { rosterId, members, now: this.#now, ...(isFirst && { earlierMembers: [] }) };
    this.#sendAll(member.id, member.holder.setRoster(options));
    return true;
  }

  #addAnyRequest(choice: number, keyChoice: number): void {
    const alive = this.#getAlive();
    this.addRequest(
      alive[choice % alive.length]!.id,
      SIMULATION_KEYS[keyChoice % SIMULATION_KEYS.length]!,
    );
  }

  /** Fires one of the timers, in any order. */
  #fireTimer(choice: number): void {
    if (this.#timers.length === 0) return;
    const [{ member: id, effect }] = this.#timers.splice(choice % this.#timers.length, 1) as [
      { member: string; effect: ClaimEffect },
    ];
    const member = this.#members.get(id)!;
    if (!member.isAlive) return;
    const { coordinator } = member;
    if (effect.kind === "await-votes") {
      this.#applyEffects(member, coordinator.endVoting(effect.owner));
    }
    if (effect.kind === "ask-later") {
      this.#applyEffects(member, coordinator.startNextRound(effect.requestId, this.#now));
    }
  }

  #deliver(choice: number, isLost: boolean, isDuplicated: boolean): void {
    if (this.#inFlight.length === 0) return;
    const index = choice % this.#inFlight.length;
    const inFlight = this.#inFlight[index]!;
    if (!isDuplicated) this.#inFlight.splice(index, 1);
    const member = this.#members.get(inFlight.to);
    if (isLost || this.#isPartitioned(inFlight) || member?.isAlive !== true) return;
    const { from, message } = inFlight;
    if (message.kind === "claim-voted") {
      this.#applyEffects(member, member.coordinator.addVote(from, message));
    } else {
      this.#sendAll(member.id, member.holder.receive(from, message, this.#now));
    }
  }

  #isPartitioned(inFlight: MessageInFlight): boolean {
    if (inFlight.from === inFlight.to) return false;
    return this.#partitioned.has(inFlight.from) || this.#partitioned.has(inFlight.to);
  }

  #advanceTime(milliseconds: number): void {
    this.#now += milliseconds;
    for (const member of this.#getAlive()) {
      this.#sendAll(member.id, member.holder.requestMissingHandOvers(this.#now));
    }
  }

  #applyEffects(member: SimulatedMember, effects: readonly ClaimEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === "send") this.#sendAll(member.id, [effect.outgoing]);
      else if (effect.kind === "decide") this.#decide(member, effect);
      else this.#timers.push({ member: member.id, effect });
    }
  }

  /** Starts a granted request: by request number, one in three ends as not run, one as answered, one stays open. */
  #decide(member: SimulatedMember, effect: Extract<ClaimEffect, { kind: "decide" }>): void {
    const { requestId, decision } = effect;
    const name = decision.outcome === "refused" ? decision.refusal.reason : decision.outcome;
    this.decisions.set(requestId, name);
    if (decision.outcome !== "granted") return;
    const number = Number(requestId.split("-")[1]);
    if (number % 3 === 2) {
      return this.#applyEffects(member, member.coordinator.end(requestId, { outcome: "not-run" }));
    }
    const key = this.#keyByRequest.get(requestId)!;
    this.starts.set(key, [...this.starts.get(key) ?? [], requestId]);
    if (number % 3 === 0) return;
    this.#applyEffects(
      member,
      member.coordinator.end(requestId, { outcome: "answered", answer: ANSWER }),
    );
  }

  #sendAll(from: string, messages: readonly { to: string; message: ClaimPeerMessage }[]): void {
    for (const { to, message } of messages) this.#inFlight.push({ from, to, message });
  }

  #getAlive(): SimulatedMember[] {
    return [...this.#members.values()].filter((member) => member.isAlive);
  }
}
