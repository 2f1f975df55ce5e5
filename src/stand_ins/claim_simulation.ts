/** A small world of claims: members, a network that loses, doubles and reorders, and a count of starts. */

import type { TargetAnswer } from "../requests/exchange.ts";
import { ClaimCoordinator, type ClaimEffect } from "../requests/claims/claim_coordinator.ts";
import { ClaimHolder, type ClaimHolderOptions } from "../requests/claims/claim_holder.ts";
import { getHolders } from "../requests/claims/claim_holders.ts";
import type { ClaimPeerMessage } from "../requests/claims/claim_messages.ts";
import type { DecideClaim } from "../requests/claims/claim_quorum.ts";

/** The idempotency keys of the world. */
export const SIMULATION_KEYS = ["key-a", "key-b", "key-c"];
const ANSWER: TargetAnswer = { status: 200, headers: {}, body: Buffer.from("done") };

/** The rounds of deliveries and timers after which nothing is left to happen. */
const SETTLE_ROUNDS = 10;

/** Longer than any run of the world, so that no claim is forgotten within one. */
const HOLD_MILLISECONDS = 10_000_000;

/** Options of a `ClaimWorld`. */
export interface ClaimSimulationOptions {
  /** Decides what votes come to. */
  decideClaim: DecideClaim;
  /** Replaces the decision whether an unknown key is a new key. */
  hasCompleteClaims?: ClaimHolderOptions["hasCompleteClaims"];
}

interface WorldMember {
  id: string;
  holder: ClaimHolder;
  coordinator: ClaimCoordinator;
  /** How many rosters it has adopted. */
  adopted: number;
  isAlive: boolean;
}

interface Flying {
  from: string;
  to: string;
  message: ClaimPeerMessage;
}

/** Members whose requests come with idempotency keys, under any order of events. */
export class ClaimSimulation {
  /** The requests that started, by key. */
  readonly starts = new Map<string, string[]>();
  /** What became of each request. */
  readonly decisions = new Map<string, string>();
  readonly #options: ClaimSimulationOptions;
  readonly #members = new Map<string, WorldMember>();
  readonly #rosters: string[][] = [];
  readonly #keyByRequest = new Map<string, string>();
  #flying: Flying[] = [];
  #pending: { member: string; effect: ClaimEffect }[] = [];
  readonly #cutOff = new Set<string>();
  #now = 0;
  #names = 0;

  private constructor(options: ClaimSimulationOptions) {
    this.#options = options;
  }

  /** Creates a world of some members that know each other. */
  static create(options: ClaimSimulationOptions, size: number): ClaimSimulation {
    const world = new ClaimSimulation(options);
    for (let index = 0; index < size; index += 1) world.join();
    world.runUntilIdle();
    return world;
  }

  /** Makes the step that the numbers name. */
  step(kind: number, first: number, second: number): void {
    if (kind < 60) return this.#deliver(first, kind < 3, kind >= 3 && kind < 6);
    if (kind < 70) return this.#addAnyRequest(first, second);
    if (kind < 76) return this.#fire(first);
    if (kind < 84) return this.#adopt(first);
    if (kind < 87) return this.#crashAny(first);
    if (kind < 90) return this.join();
    if (kind < 93) return this.#removeAny(first);
    if (kind < 98) return this.#tick(second % 1_500);
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

  /** Lets a request arrive at a member, and gets its id. */
  addRequest(memberId: string, key: string, fingerprint = key): string {
    const member = this.#members.get(memberId)!;
    const requestId = `request-${this.#keyByRequest.size}`;
    this.#keyByRequest.set(requestId, key);
    const request = { requestId, key, fingerprint, holdMilliseconds: HOLD_MILLISECONDS };
    this.#run(member, member.coordinator.start(request, this.#now));
    return requestId;
  }

  /** Adds a new member. */
  join(): void {
    this.#changeRoster((ids) => [...ids, this.#add()]);
  }

  /** Takes a member off the roster. */
  leave(memberId: string): void {
    this.#changeRoster((ids) => ids.filter((id) => id !== memberId));
  }

  /** Ends a process, with all that it knew. */
  crash(memberId: string): void {
    this.#members.get(memberId)!.isAlive = false;
  }

  /** Loses every message to and from a member from now on, or no longer. */
  setPartitioned(memberId: string, isCutOff = true): void {
    if (isCutOff) this.#cutOff.add(memberId);
    else this.#cutOff.delete(memberId);
  }

  /** Delivers everything, adopts every roster and lets every timer end. */
  runUntilIdle(): void {
    for (let round = 0; round < SETTLE_ROUNDS; round += 1) {
      for (const member of this.#members.values()) while (this.#adoptNext(member));
      while (this.#flying.length > 0) this.#deliver(0, false, false);
      for (let count = this.#pending.length; count > 0; count -= 1) this.#fire(0);
      this.#tick(300);
    }
    while (this.#flying.length > 0) this.#deliver(0, false, false);
  }

  #add(): string {
    const id = `entry-${this.#names}`;
    this.#names += 1;
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
    const adopted = Math.max(0, this.#rosters.length - 1);
    this.#members.set(id, { id, holder, coordinator, adopted, isAlive: true });
    return id;
  }

  #changeRoster(change: (ids: string[]) => string[]): void {
    this.#rosters.push(change(this.#rosters.at(-1) ?? []));
  }

  #removeAny(pick: number): void {
    const newest = this.getMembers();
    const dead = newest.filter((id) => !this.#members.get(id)!.isAlive);
    const candidates = dead.length > 0 ? dead : newest;
    if (newest.length > 2) this.leave(candidates[pick % candidates.length]!);
  }

  #crashAny(pick: number): void {
    const alive = this.#getAlive();
    if (alive.length > 2) this.crash(alive[pick % alive.length]!.id);
  }

  #adopt(pick: number): void {
    const alive = this.#getAlive();
    this.#adoptNext(alive[pick % alive.length]!);
  }

  /** A member follows the rosters one by one; one that starts sees first the roster before its own. */
  #adoptNext(member: WorldMember): boolean {
    const rosterId = `roster-${member.adopted}`;
    const members = this.#rosters[member.adopted];
    if (members === undefined || !member.isAlive) return false;
    member.adopted += 1;
    const isFirst = member.holder.getRosterId() === undefined;
    const options = { rosterId, members, now: this.#now, ...(isFirst && { earlierMembers: [] }) };
    this.#sendAll(member.id, member.holder.changeRoster(options));
    return true;
  }

  #addAnyRequest(pick: number, keyPick: number): void {
    const alive = this.#getAlive();
    this.addRequest(
      alive[pick % alive.length]!.id,
      SIMULATION_KEYS[keyPick % SIMULATION_KEYS.length]!,
    );
  }

  /** Lets one of the timers end, in any order. */
  #fire(pick: number): void {
    if (this.#pending.length === 0) return;
    const [{ member: id, effect }] = this.#pending.splice(pick % this.#pending.length, 1) as [
      { member: string; effect: ClaimEffect },
    ];
    const member = this.#members.get(id)!;
    if (!member.isAlive) return;
    const { coordinator } = member;
    if (effect.kind === "await-votes") this.#run(member, coordinator.endVoting(effect.owner));
    if (effect.kind === "ask-later") {
      this.#run(member, coordinator.startNextRound(effect.requestId, this.#now));
    }
  }

  #deliver(pick: number, isLost: boolean, isDoubled: boolean): void {
    if (this.#flying.length === 0) return;
    const index = pick % this.#flying.length;
    const flying = this.#flying[index]!;
    if (!isDoubled) this.#flying.splice(index, 1);
    const member = this.#members.get(flying.to);
    if (isLost || this.#isCutOff(flying) || member?.isAlive !== true) return;
    const { from, message } = flying;
    if (message.kind === "claim-voted") {
      this.#run(member, member.coordinator.addVote(from, message));
    } else {
      this.#sendAll(member.id, member.holder.receive(from, message, this.#now));
    }
  }

  #isCutOff(flying: Flying): boolean {
    if (flying.from === flying.to) return false;
    return this.#cutOff.has(flying.from) || this.#cutOff.has(flying.to);
  }

  #tick(milliseconds: number): void {
    this.#now += milliseconds;
    for (const member of this.#getAlive()) {
      this.#sendAll(member.id, member.holder.requestMissingHandOvers(this.#now));
    }
  }

  #run(member: WorldMember, effects: readonly ClaimEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === "send") this.#sendAll(member.id, [effect.outgoing]);
      else if (effect.kind === "decide") this.#decide(member, effect);
      else this.#pending.push({ member: member.id, effect });
    }
  }

  /** A granted request starts; every third ends as not run instead, and every third of the rest answers. */
  #decide(member: WorldMember, effect: Extract<ClaimEffect, { kind: "decide" }>): void {
    const { requestId, decision } = effect;
    const name = decision.outcome === "refused" ? decision.refusal.reason : decision.outcome;
    this.decisions.set(requestId, name);
    if (decision.outcome !== "granted") return;
    const number = Number(requestId.split("-")[1]);
    if (number % 3 === 2) {
      return this.#run(member, member.coordinator.end(requestId, { outcome: "not-run" }));
    }
    const key = this.#keyByRequest.get(requestId)!;
    this.starts.set(key, [...this.starts.get(key) ?? [], requestId]);
    if (number % 3 === 0) return;
    this.#run(member, member.coordinator.end(requestId, { outcome: "answered", answer: ANSWER }));
  }

  #sendAll(from: string, sendings: readonly { to: string; message: ClaimPeerMessage }[]): void {
    for (const { to, message } of sendings) this.#flying.push({ from, to, message });
  }

  #getAlive(): WorldMember[] {
    return [...this.#members.values()].filter((member) => member.isAlive);
  }
}
