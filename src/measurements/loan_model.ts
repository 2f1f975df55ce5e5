/** Simulates loans under random faults: members, a lossy network and a log, with invariants checked. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { LoanPeerMessage } from "../contracts/loans/loan_messages.ts";
import { LOAN_RULES, type LoanRules } from "../contracts/loans/loan_rules.ts";
import { MODEL_MAXIMUM_RUN_MILLISECONDS, MODEL_RESOURCES, ModelLog } from "./loan_model_log.ts";
import { ModelMember, type ModelRun } from "./loan_model_member.ts";

/** Length of one simulation step. */
const STEP_MILLISECONDS = 10;

/** How long after the last fault every permit must be available again. */
const RECOVERY_MILLISECONDS = 20_000;

/** How long a removed live member may still start runs: the freshness limit plus clock deviation. */
const REMOVAL_DELAY_MILLISECONDS = 3_100;

/** A fault or a change made by operators. */
export type LoanModelEvent =
  | { kind: "crash" | "remove"; member: number }
  | { kind: "join" }
  | { kind: "pause" | "cut-log"; member: number; milliseconds: number }
  | { kind: "cut-link"; from: number; to: number; milliseconds: number }
  | { kind: "limit"; limit: number }
  | { kind: "move"; pool: number };

/** Options for `LoanModel`. */
export interface LoanModelOptions {
  /** The seed of every random source. */
  seed: number;
  /** Number of members at the start. */
  members: number;
  /** The events, each with its delay in milliseconds after the previous one. */
  events: readonly { after: number; event: LoanModelEvent }[];
  /** Loan rules of the keepers. */
  rules?: LoanRules;
  /** How long the permit of a run that timed out is held; defaults to the maximum run time. */
  timeOutHoldMilliseconds?: number;
}

/** Result of a simulation. */
export interface LoanModelResult {
  /** Invariant violations. */
  violations: string[];
  /** Number of runs that were started. */
  starts: number;
  /** Number of messages that were sent. */
  messages: number;
}

interface InFlightMessage {
  at: number;
  from: string;
  to: string;
  message: LoanPeerMessage;
}

/** Simulates members that lend permits to each other. */
export class LoanModel {
  readonly #options: LoanModelOptions;
  readonly #random: (from: number, to: number) => number;
  readonly #log: ModelLog;
  readonly #members: ModelMember[] = [];
  readonly #cuts = new Map<string, number>();
  readonly #removalNotices: { at: number; to: ModelMember; about: string }[] = [];
  readonly #result: LoanModelResult = { violations: [], starts: 0, messages: 0 };
  #running: ModelRun[] = [];
  #network: InFlightMessage[] = [];
  #now = 0;
  #joinCount = 0;

  private constructor(options: LoanModelOptions) {
    this.#options = options;
    const generator = xoroshiro128plus(options.seed);
    this.#random = (from, to) => uniformInt(generator, from, to);
    const names = Array.from({ length: options.members }, () => this.#createName());
    this.#log = ModelLog.create(names.sort());
    for (const name of names) this.#addMember(name);
  }

  /** Runs the simulation and gets its result. */
  static run(options: LoanModelOptions): LoanModelResult {
    const model = new LoanModel(options);
    for (const { after, event } of options.events) {
      model.#advance(after);
      model.#apply(event);
    }
    model.#advance(1_000);
    model.#checkRecovery();
    return model.#result;
  }

  #createName(): string {
    this.#joinCount += 1;
    return `m${this.#joinCount}`;
  }

  #addMember(memberId: string): void {
    const { rules = LOAN_RULES, timeOutHoldMilliseconds } = this.#options;
    const clockRate = this.#random(980, 1_020) / 1_000;
    const { log, now } = { log: this.#log, now: this.#now };
    const options = { memberId, clockRate, log, rules, timeOutHoldMilliseconds, now };
    this.#members.push(ModelMember.create(options));
  }

  #advance(milliseconds: number, isRecovering = false): void {
    const until = this.#now + milliseconds;
    while (this.#now < until) {
      this.#now += STEP_MILLISECONDS;
      this.#running = this.#running.filter((run) => run.endsAt > this.#now);
      this.#deliver();
      for (const member of this.#members) this.#step(member, isRecovering);
    }
  }

  #step(member: ModelMember, isRecovering: boolean): void {
    if (member.hasCrashed || this.#now < member.pausedUntil) return;
    if (!isRecovering && this.#random(0, 49) === 0) {
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
    for (const run of started) this.#checkStart(member, run);
    for (const { to, message } of messages) this.#send(member.memberId, to, message);
  }

  /** Checks that the active runs do not exceed the highest limit since the member's applied offset. */
  #checkStart(member: ModelMember, run: ModelRun): void {
    this.#running.push(run);
    this.#result.starts += 1;
    const running = this.#running.filter((other) => other.resource === run.resource).length;
    const limit = this.#log.getHighestLimit(run.resource, member.getOffset());
    if (running <= limit) return;
    const { memberId } = member;
    this.#result.violations.push(
      `${run.resource}: ${running} run with limit ${limit} at ${this.#now} by ${memberId}`,
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
    for (const notice of this.#removalNotices) {
      if (notice.at > this.#now || notice.to.hasCrashed) continue;
      notice.at = Infinity;
      notice.to.confirmRemoval(notice.about, this.#now);
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
          `${this.#getMember(event.from).memberId}>${this.#getMember(event.to).memberId}`,
          this.#now + event.milliseconds,
        );
        return;
      case "pause":
        this.#getMember(event.member).pausedUntil = this.#now + event.milliseconds;
        return;
      case "cut-log":
        this.#getMember(event.member).logCutUntil = this.#now + event.milliseconds;
        return;
      case "crash":
      case "remove":
        return this.#remove(this.#getMember(event.member), event.kind === "crash");
    }
  }

  #getMember(index: number): ModelMember {
    return this.#members[index % this.#members.length]!;
  }

  #join(): void {
    const name = this.#createName();
    this.#log.addMember(name);
    this.#addMember(name);
    const newest = this.#members.at(-1)!;
    for (const notice of [...this.#removalNotices]) {
      if (notice.to !== newest) this.#removalNotices.push({ ...notice, to: newest, at: this.#now });
    }
  }

  #remove(member: ModelMember, isCrash: boolean): void {
    const { roster } = this.#log.getHead();
    if (!roster.members.includes(member.memberId) || roster.members.length <= 2) return;
    if (isCrash) member.hasCrashed = true;
    this.#log.removeMember(member.memberId);
    for (const other of this.#members) {
      const at = this.#now + REMOVAL_DELAY_MILLISECONDS + this.#random(0, 1_500);
      this.#removalNotices.push({ at, to: other, about: member.memberId });
    }
  }

  /** Ends all faults, then checks that one member with the only demand gets every permit. */
  #checkRecovery(): void {
    this.#cuts.clear();
    const { roster } = this.#log.getHead();
    const chosen = this.#random(0, roster.members.length - 1);
    for (const member of this.#members) {
      member.pausedUntil = 0;
      member.logCutUntil = 0;
      const isChosen = member.memberId === roster.members[chosen];
      for (const resource of MODEL_RESOURCES) member.demand.set(resource, isChosen ? 9 : 0);
    }
    this.#advance(RECOVERY_MILLISECONDS, true);
    const member = this.#members.find(({ memberId }) => memberId === roster.members[chosen])!;
    for (const resource of MODEL_RESOURCES) {
      const limit = this.#log.getHead().catalog.resources.get(resource)!.limit;
      const holding = member.getHeldPermits(resource);
      if (holding === limit) continue;
      this.#result.violations.push(`${resource}: ${holding} of ${limit} permits came back`);
    }
  }
}
