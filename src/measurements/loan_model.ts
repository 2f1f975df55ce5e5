/** Random runs of the loans: several members, a lossy network and a log, with invariants asserted. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { LoanPeerMessage } from "../contracts/loans/loan_messages.ts";
import { LOAN_RULES, type LoanRules } from "../contracts/loans/loan_rules.ts";
import { MODEL_MAXIMUM_RUN_MILLISECONDS, MODEL_RESOURCES, ModelLog } from "./loan_model_log.ts";
import { ModelMember, type ModelRun } from "./loan_model_member.ts";

/** The time between two steps. */
const STEP_MILLISECONDS = 10;

/** How long after the last fault every permit must be of use again. */
const HEALING_MILLISECONDS = 20_000;

/** When a removed member that was alive can start nothing more: freshness limit and clock rates. */
const REMOVAL_MILLISECONDS = 3_100;

/** A fault or a change that the operators make. */
export type LoanModelEvent =
  | { kind: "crash" | "remove"; member: number }
  | { kind: "join" }
  | { kind: "pause" | "cut-log"; member: number; milliseconds: number }
  | { kind: "cut-link"; from: number; to: number; milliseconds: number }
  | { kind: "limit"; limit: number }
  | { kind: "move"; pool: number };

/** Options of a `LoanModel`. */
export interface LoanModelOptions {
  /** The seed of every random source. */
  seed: number;
  /** The members at the start. */
  members: number;
  /** The events, each with the milliseconds after the one before it. */
  events: readonly { after: number; event: LoanModelEvent }[];
  /** The rules of the keepers. */
  rules?: LoanRules;
  /** How long the permit of work that timed out is held; the longest run when undefined. */
  timeOutHoldMilliseconds?: number;
}

/** What a run showed. */
export interface LoanModelResult {
  /** The invariants that were broken; empty when all is well. */
  violations: string[];
  /** The starts. */
  starts: number;
  /** The messages that were sent. */
  messages: number;
}

interface InFlight {
  at: number;
  from: string;
  to: string;
  message: LoanPeerMessage;
}

/** One random run. */
export class LoanModel {
  readonly #options: LoanModelOptions;
  readonly #random: (from: number, to: number) => number;
  readonly #log: ModelLog;
  readonly #members: ModelMember[] = [];
  readonly #cuts = new Map<string, number>();
  readonly #tellings: { at: number; to: ModelMember; about: string }[] = [];
  readonly #result: LoanModelResult = { violations: [], starts: 0, messages: 0 };
  #running: ModelRun[] = [];
  #network: InFlight[] = [];
  #now = 0;
  #joined = 0;

  private constructor(options: LoanModelOptions) {
    this.#options = options;
    const generator = xoroshiro128plus(options.seed);
    this.#random = (from, to) => uniformInt(generator, from, to);
    const names = Array.from({ length: options.members }, () => this.#createName());
    this.#log = ModelLog.create(names.sort());
    for (const name of names) this.#addMember(name);
  }

  /** Runs the model and gets what it showed. */
  static run(options: LoanModelOptions): LoanModelResult {
    const model = new LoanModel(options);
    for (const { after, event } of options.events) {
      model.#advance(after);
      model.#apply(event);
    }
    model.#advance(1_000);
    model.#heal();
    return model.#result;
  }

  #createName(): string {
    this.#joined += 1;
    return `m${this.#joined}`;
  }

  #addMember(memberId: string): void {
    const { rules = LOAN_RULES, timeOutHoldMilliseconds } = this.#options;
    const clockRate = this.#random(980, 1_020) / 1_000;
    const { log, now } = { log: this.#log, now: this.#now };
    const options = { memberId, clockRate, log, rules, timeOutHoldMilliseconds, now };
    this.#members.push(ModelMember.create(options));
  }

  #advance(milliseconds: number, isHealing = false): void {
    const until = this.#now + milliseconds;
    while (this.#now < until) {
      this.#now += STEP_MILLISECONDS;
      this.#running = this.#running.filter((work) => work.endsAt > this.#now);
      this.#deliver();
      for (const member of this.#members) this.#step(member, isHealing);
    }
  }

  #step(member: ModelMember, isHealing: boolean): void {
    if (member.hasCrashed || this.#now < member.pausedUntil) return;
    if (!isHealing && this.#random(0, 49) === 0) {
      const resource = MODEL_RESOURCES[this.#random(0, MODEL_RESOURCES.length - 1)]!;
      member.demand.set(resource, [0, 0, 1, 2, 5][this.#random(0, 4)]!);
    }
    if (this.#now >= member.readsAt && this.#now >= member.logCutUntil) {
      member.read(this.#now);
      member.readsAt = this.#now + this.#random(20, 900);
    }
    const { messages, started } = member.act(this.#now, () => ({
      endsAt: this.#now + this.#random(20, MODEL_MAXIMUM_RUN_MILLISECONDS),
      isResponseLost: this.#random(0, 9) === 0,
    }));
    for (const work of started) this.#checkStart(member, work);
    for (const { to, message } of messages) this.#send(member.memberId, to, message);
  }

  /** A start is right if no more runs than the highest limit since the one that the member knows. */
  #checkStart(member: ModelMember, work: ModelRun): void {
    this.#running.push(work);
    this.#result.starts += 1;
    const running = this.#running.filter((other) => other.resource === work.resource).length;
    const limit = this.#log.getHighestLimit(work.resource, member.getOffset());
    if (running <= limit) return;
    const { memberId } = member;
    this.#result.violations.push(
      `${work.resource}: ${running} run with limit ${limit} at ${this.#now} by ${memberId}`,
    );
  }

  #send(from: string, to: string, message: LoanPeerMessage): void {
    this.#result.messages += 1;
    const isLocal = from === to;
    if (!isLocal && this.#now < (this.#cuts.get(`${from}>${to}`) ?? 0)) return;
    if (!isLocal && this.#random(0, 99) < 4) return;
    const copies = !isLocal && this.#random(0, 99) < 4 ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const isLate = !isLocal && this.#random(0, 99) < 3;
      const delay = isLate ? this.#random(300, 4_000) : this.#random(0, isLocal ? 10 : 60);
      this.#network.push({ at: this.#now + delay, from, to, message });
    }
  }

  #deliver(): void {
    const due = this.#network.filter(({ at, to }) => at <= this.#now && !this.#isPaused(to));
    const delivered = new Set(due);
    this.#network = this.#network.filter((message) => !delivered.has(message));
    for (const { from, to, message } of due) {
      this.#members.find((member) => member.memberId === to)?.receive(from, message, this.#now);
    }
    for (const telling of this.#tellings) {
      if (telling.at > this.#now || telling.to.hasCrashed) continue;
      telling.at = Infinity;
      telling.to.confirmRemoval(telling.about, this.#now);
    }
  }

  #isPaused(memberId: string): boolean {
    const member = this.#members.find((candidate) => candidate.memberId === memberId);
    return member === undefined || member.hasCrashed || this.#now < member.pausedUntil;
  }

  #apply(event: LoanModelEvent): void {
    switch (event.kind) {
      case "join":
        return this.#join();
      case "limit":
        return this.#log.setLimit(event.limit);
      case "move":
        return this.#log.moveExecutor(String(event.pool));
      case "cut-link":
        this.#cuts.set(
          `${this.#pick(event.from).memberId}>${this.#pick(event.to).memberId}`,
          this.#now + event.milliseconds,
        );
        return;
      case "pause":
        this.#pick(event.member).pausedUntil = this.#now + event.milliseconds;
        return;
      case "cut-log":
        this.#pick(event.member).logCutUntil = this.#now + event.milliseconds;
        return;
      case "crash":
      case "remove":
        return this.#remove(this.#pick(event.member), event.kind === "crash");
    }
  }

  #pick(index: number): ModelMember {
    return this.#members[index % this.#members.length]!;
  }

  #join(): void {
    const name = this.#createName();
    this.#log.addMember(name);
    this.#addMember(name);
    const newest = this.#members.at(-1)!;
    for (const telling of [...this.#tellings]) {
      if (telling.to !== newest) this.#tellings.push({ ...telling, to: newest, at: this.#now });
    }
  }

  #remove(member: ModelMember, isCrash: boolean): void {
    const { roster } = this.#log.getHead();
    if (!roster.members.includes(member.memberId) || roster.members.length <= 2) return;
    if (isCrash) member.hasCrashed = true;
    this.#log.removeMember(member.memberId);
    for (const other of this.#members) {
      const at = this.#now + REMOVAL_MILLISECONDS + this.#random(0, 1_500);
      this.#tellings.push({ at, to: other, about: member.memberId });
    }
  }

  /** Ends all faults; then one member alone must get every permit. */
  #heal(): void {
    this.#cuts.clear();
    const { roster } = this.#log.getHead();
    const lucky = this.#random(0, roster.members.length - 1);
    for (const member of this.#members) {
      member.pausedUntil = 0;
      member.logCutUntil = 0;
      const isLucky = member.memberId === roster.members[lucky];
      for (const resource of MODEL_RESOURCES) member.demand.set(resource, isLucky ? 9 : 0);
    }
    this.#advance(HEALING_MILLISECONDS, true);
    const member = this.#members.find(({ memberId }) => memberId === roster.members[lucky])!;
    for (const resource of MODEL_RESOURCES) {
      const limit = this.#log.getHead().catalog.resources.get(resource)!.limit;
      const holding = member.getHeldPermits(resource);
      if (holding === limit) continue;
      this.#result.violations.push(`${resource}: ${holding} of ${limit} permits came back`);
    }
  }
}
