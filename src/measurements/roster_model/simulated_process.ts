/** One process of a modelled run: the membership of the program, on clocks and links of the model. */

import type { ContractDecisions } from "../../contracts/contract_decisions.ts";
import type { Heartbeat } from "../../contracts/heartbeat.ts";
import { MemberRecordKind } from "../../contracts/member_records.ts";
import { Membership, MembershipState } from "../../contracts/membership.ts";
import type { MembershipEffect } from "../../contracts/membership_effect.ts";
import type { Instant } from "../../contracts/instant.ts";
import type { RosterView } from "../../contracts/roster_messages.ts";
import { getStandingAt, Standing, type StandingGrant } from "../../contracts/standing.ts";
import type { Fleet } from "../../records/fleet.ts";
import type { DraftRecord } from "../../records/record.ts";

/** The time between two heartbeats and between two reads of the log, on the clock of the process. */
export const INTERVAL_MILLISECONDS = 500;

/** How far the platform's list of entry hosts lags. */
export const LIST_LAG_MILLISECONDS = 5_000;

/** The time between two reads of the platform's list. */
const LIST_INTERVAL_MILLISECONDS = 4_000;

/** The longest wait for an answer of the log. */
export const LOG_TIMEOUT_MILLISECONDS = 1_000;

/** How the world carries what a process does. */
export interface ProcessLinks {
  /** Runs work after a delay on the clock of the process, when it is awake. */
  schedule: (delayMilliseconds: number, run: () => void) => void;
  /** Sends a heartbeat. */
  sendHeartbeat: (to: string, heartbeat: Heartbeat) => void;
  /** Asks a peer for its records. */
  pull: (from: string) => void;
  /** Reads the log to its head, or gives no answer. */
  readLog: (deliver: (offset: number) => void) => void;
  /** Reads the platform's list of entry hosts, or gives no answer. */
  readList: (deliver: (hosts: ReadonlySet<string>) => void) => void;
  /** Appends a record. */
  append: (draft: DraftRecord) => void;
  /** Gets the fleet at an offset. */
  getFleet: (offset: number) => Fleet;
}

/** Options of a `ModelledProcess`. */
export interface SimulatedProcessOptions {
  /** The number of the process. */
  number: number;
  /** The address of its peer listener. */
  address: string;
  /** How fast its clocks go, about 1. */
  clockRate: number;
  /** The decisions. */
  decisions: ContractDecisions;
  /** How the world carries what it does. */
  links: ProcessLinks;
  /** Gets the time of the model. */
  getNow: () => number;
}

/** Runs one membership. */
export class SimulatedProcess {
  /** The number of the process. */
  readonly number: number;
  /** The identity of the process. */
  readonly memberId: string;
  /** The address of its peer listener. */
  readonly address: string;
  /** The rate of its clocks. */
  readonly clockRate: number;
  /** The membership. */
  readonly membership: Membership;
  /** The roster that it reported last. */
  roster: RosterView | undefined;
  /** When the process started, in milliseconds of the model. */
  readonly startedAt: number;
  /** Whether the process has ended. */
  hasEnded = false;
  /** When the process ended, in milliseconds of the model. */
  endedAt = Infinity;
  /** When it wakes, in milliseconds of the model; it is awake from then on. */
  wakesAt = 0;
  /** Since when it was awake and could reach the log, in milliseconds of the model. */
  readsSince = 0;
  readonly #options: SimulatedProcessOptions;
  #offset = -1;
  #grant: StandingGrant | undefined;
  #setForward = 0;
  #suspended = 0;
  #readNumber = 0;

  private constructor(options: SimulatedProcessOptions) {
    this.#options = options;
    this.number = options.number;
    this.memberId = `p${options.number}`;
    this.address = options.address;
    this.clockRate = options.clockRate;
    this.startedAt = options.getNow();
    this.membership = Membership.create({
      memberId: this.memberId,
      renewalMilliseconds: INTERVAL_MILLISECONDS * 1.2,
      maximumListLagMilliseconds: LIST_LAG_MILLISECONDS * 1.1,
      decisions: options.decisions,
    });
  }

  /** Creates the process; `start` lets it join. */
  static create(options: SimulatedProcessOptions): SimulatedProcess {
    return new SimulatedProcess(options);
  }

  /** Starts to read and to send, and joins. */
  start(): void {
    this.#tick();
    this.#read();
    this.#readList();
    this.#join();
  }

  /** Ends without notice. */
  end(): void {
    this.hasEnded = true;
    this.endedAt = this.#options.getNow();
  }

  /** Gets the moment on the clocks of the process. */
  getMoment(): Instant {
    const now = this.#options.getNow() * this.clockRate;
    return { elapsed: now + this.#setForward, monotonic: now - this.#suspended };
  }

  /** Gets the offset of the newest record that it has applied. */
  getOffset(): number {
    return this.#offset;
  }

  /** Gets whether the process would start work now. */
  isActing(): boolean {
    if (this.hasEnded || this.#options.getNow() < this.wakesAt) return false;
    return getStandingAt(this.#grant, this.getMoment().elapsed) !== Standing.Isolated;
  }

  /** Sets the wall clock forward. */
  setForward(milliseconds: number): void {
    this.#setForward += milliseconds;
  }

  /** Notes that the monotonic clock stood still for a time. */
  addSuspension(milliseconds: number): void {
    this.#suspended += milliseconds * this.clockRate;
  }

  /** Applies the records up to an offset. */
  apply(offset: number): void {
    if (offset <= this.#offset) return;
    this.#offset = offset;
    this.#perform(
      this.membership.handleFleet(this.#options.links.getFleet(offset), this.getMoment()),
    );
  }

  /** Takes a heartbeat. */
  receiveHeartbeat(from: string, heartbeat: Heartbeat): void {
    this.#perform(this.membership.handleHeartbeat(from, heartbeat, this.getMoment()));
  }

  /** Gives up its standing and leaves the roster. */
  leave(): void {
    this.#perform(this.membership.leave(this.getMoment()));
    this.#append(MemberRecordKind.Left, `left-${this.memberId}`, { memberId: this.memberId });
  }

  #tick(): void {
    this.#perform(this.membership.handleTick(this.getMoment()));
    this.#options.links.schedule(INTERVAL_MILLISECONDS, () => this.#tick());
  }

  #read(): void {
    const startedAt = this.getMoment().elapsed;
    this.#readNumber += 1;
    const number = this.#readNumber;
    this.#options.links.readLog((offset) => {
      if (number !== this.#readNumber) return;
      this.apply(offset);
      this.#perform(this.membership.handleRead(startedAt, this.getMoment()));
      this.#readNumber += 1;
      this.#options.links.schedule(INTERVAL_MILLISECONDS, () => this.#read());
    });
    this.#options.links.schedule(LOG_TIMEOUT_MILLISECONDS, () => {
      if (number !== this.#readNumber) return;
      this.#options.links.schedule(INTERVAL_MILLISECONDS, () => this.#read());
      this.#readNumber += 1;
    });
  }

  #readList(): void {
    const { links } = this.#options;
    links.readList((hosts) => this.membership.handleListedHosts(hosts, this.getMoment()));
    links.schedule(LIST_INTERVAL_MILLISECONDS, () => this.#readList());
  }

  #join(): void {
    if (this.membership.getState() !== MembershipState.Joining) return;
    this.#append(MemberRecordKind.Joined, `join-${this.memberId}`, {
      memberId: this.memberId,
      entryHost: this.address,
      zone: "gh-south-a",
      peerAddress: this.address,
      isAddressBound: true,
      operatorAddress: this.address,
      callerAddress: this.address,
    });
    this.#options.links.schedule(LOG_TIMEOUT_MILLISECONDS, () => this.#join());
  }

  #append(kind: string, id: string, body: unknown): void {
    this.#options.links.append({ id, kind, version: 1, author: this.memberId, body });
  }

  #perform(effects: readonly MembershipEffect[]): void {
    const { links } = this.#options;
    for (const effect of effects) {
      if (effect.kind === "send-heartbeat") links.sendHeartbeat(effect.to, effect.heartbeat);
      if (effect.kind === "grant") this.#grant = effect.grant;
      if (effect.kind === "report-roster") this.roster = effect.roster;
      if (effect.kind === "report-peer-ahead") links.pull(effect.from);
      if (effect.kind !== "propose") continue;
      const { recordKind, id, body } = effect.proposal;
      this.#append(recordKind, id, body);
    }
  }
}
