/** Process of a roster simulation: a real `Membership` on simulated clocks and links. */

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

/** Interval between heartbeats and between reads of the log, on the clock of the process. */
export const INTERVAL_MILLISECONDS = 500;

/** Lag of the platform's list of entry hosts. */
export const LIST_LAG_MILLISECONDS = 5_000;

/** Interval between reads of the platform's list. */
const LIST_INTERVAL_MILLISECONDS = 4_000;

/** Timeout of an exchange with the log. */
export const LOG_TIMEOUT_MILLISECONDS = 1_000;

/** Timers and connections of a process, provided by the simulation. */
export interface ProcessLinks {
  /** Runs a callback after a delay on the clock of the process, once the process is awake. */
  schedule: (delayMilliseconds: number, run: () => void) => void;
  /** Sends a heartbeat. */
  sendHeartbeat: (to: string, heartbeat: Heartbeat) => void;
  /** Requests the records of a peer. */
  pull: (from: string) => void;
  /** Reads the log to its end; `deliver` is not called if an exchange is lost. */
  readLog: (deliver: (offset: number) => void) => void;
  /** Reads the platform's list of entry hosts; `deliver` is not called if an exchange is lost. */
  readList: (deliver: (hosts: ReadonlySet<string>) => void) => void;
  /** Appends a record. */
  append: (draft: DraftRecord) => void;
  /** Gets the fleet at an offset. */
  getFleet: (offset: number) => Fleet;
}

/** Options for `SimulatedProcess`. */
export interface SimulatedProcessOptions {
  /** Number of the process. */
  number: number;
  /** Address of its peer listener. */
  address: string;
  /** Rate of its clocks; 1 is simulated time. */
  clockRate: number;
  /** Decisions of standing and roster. */
  decisions: ContractDecisions;
  /** Timers and connections. */
  links: ProcessLinks;
  /** Gets the simulated time in milliseconds. */
  getNow: () => number;
}

/** Runs a `Membership`. */
export class SimulatedProcess {
  /** Number of the process. */
  readonly number: number;
  /** Identity of the process. */
  readonly memberId: string;
  /** Address of its peer listener. */
  readonly address: string;
  /** Rate of its clocks. */
  readonly clockRate: number;
  /** The membership. */
  readonly membership: Membership;
  /** Last roster that the membership reported. */
  roster: RosterView | undefined;
  /** When the process started, in simulated milliseconds. */
  readonly startedAt: number;
  /** Whether the process has ended. */
  hasEnded = false;
  /** When the process ended, in simulated milliseconds. */
  endedAt = Infinity;
  /** End of the last pause, in simulated milliseconds; the process is awake from then on. */
  wakesAt = 0;
  /** Since when it has been awake and able to reach the log, in simulated milliseconds. */
  readsSince = 0;
  readonly #options: SimulatedProcessOptions;
  #offset = -1;
  #grant: StandingGrant | undefined;
  #forwardMilliseconds = 0;
  #suspendedMilliseconds = 0;
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

  /** Creates the process; `start` makes it join. */
  static create(options: SimulatedProcessOptions): SimulatedProcess {
    return new SimulatedProcess(options);
  }

  /** Starts the periodic tasks and joins. */
  start(): void {
    this.#tick();
    this.#read();
    this.#readList();
    this.#join();
  }

  /** Ends the process without notice. */
  end(): void {
    this.hasEnded = true;
    this.endedAt = this.#options.getNow();
  }

  /** Gets the current times on the clocks of the process. */
  getMoment(): Instant {
    const now = this.#options.getNow() * this.clockRate;
    return {
      elapsed: now + this.#forwardMilliseconds,
      monotonic: now - this.#suspendedMilliseconds,
    };
  }

  /** Gets the offset of the last record that it has applied. */
  getOffset(): number {
    return this.#offset;
  }

  /** Gets whether the process would start work at this time. */
  isActing(): boolean {
    if (this.hasEnded || this.#options.getNow() < this.wakesAt) return false;
    return getStandingAt(this.#grant, this.getMoment().elapsed) !== Standing.Isolated;
  }

  /** Sets the wall clock forward. */
  setForward(milliseconds: number): void {
    this.#forwardMilliseconds += milliseconds;
  }

  /** Stops the monotonic clock for a time. */
  addSuspension(milliseconds: number): void {
    this.#suspendedMilliseconds += milliseconds * this.clockRate;
  }

  /** Applies the records up to an offset. */
  apply(offset: number): void {
    if (offset <= this.#offset) return;
    this.#offset = offset;
    this.#perform(
      this.membership.handleFleet(this.#options.links.getFleet(offset), this.getMoment()),
    );
  }

  /** Handles a heartbeat of a peer. */
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
