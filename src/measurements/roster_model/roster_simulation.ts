/** One modelled run: processes, network, log and faults, with the invariants checked at every step. */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { CONTRACT_DECISIONS, type ContractDecisions } from "../../contracts/contract_decisions.ts";
import type { DraftRecord } from "../../records/record.ts";
import { EventQueue } from "../../stand_ins/event_queue.ts";
import { type Fault, FaultKind } from "./fault.ts";
import { SimulatedLog } from "./simulated_log.ts";
import { SimulatedNetwork } from "./simulated_network.ts";
import { LIST_LAG_MILLISECONDS, type ProcessLinks, SimulatedProcess } from "./simulated_process.ts";
import { RosterInvariants } from "./roster_invariants.ts";
import {
  createRosterSimulationResult,
  type RosterSimulationResult,
} from "./roster_simulation_result.ts";

/** How far the rate of a clock may be from 1, so that two are at most 2% apart. */
const CLOCK_RATE_DEVIATION = 0.0099;

/** The time between two checks when nothing happens. */
const CHECK_INTERVAL_MILLISECONDS = 100;

/** The time between two restrictions that operators publish. */
const PUBLICATION_INTERVAL_MILLISECONDS = 1_700;

/** Stands for the operators, whom only an outage of the whole log stops. */
const OPERATOR = -1;

/** Options of a run. */
export interface RosterSimulationOptions {
  /** The seed of delays, losses and clock rates. */
  seed: number;
  /** How many processes start at time zero. */
  processCount: number;
  /** The faults. */
  faults: readonly Fault[];
  /** When the run ends, in milliseconds of the model. */
  endMilliseconds: number;
  /** The decisions; those of the program unless others are given. */
  decisions?: ContractDecisions;
}

/** Runs a schedule of faults over processes that use the decisions of the program. */
export class RosterSimulation {
  readonly #options: RosterSimulationOptions;
  readonly #queue = EventQueue.create();
  readonly #network: SimulatedNetwork;
  readonly #log = SimulatedLog.create();
  readonly #invariants = RosterInvariants.create({
    getReadingSince: (memberId) => this.#find(memberId)?.readsSince ?? Infinity,
  });
  readonly #processes: SimulatedProcess[] = [];

  private constructor(options: RosterSimulationOptions) {
    this.#options = options;
    const random = xoroshiro128plus(options.seed);
    this.#network = SimulatedNetwork.create({ queue: this.#queue, random });
  }

  /** Creates a run. */
  static create(options: RosterSimulationOptions): RosterSimulation {
    return new RosterSimulation(options);
  }

  /** Runs to the end or to the first violation. */
  run(): RosterSimulationResult {
    const { processCount, faults, endMilliseconds } = this.#options;
    for (let number = 0; number < processCount; number += 1) this.#start(`address-${number}`);
    for (const fault of faults) this.#queue.add(fault.at, () => this.#begin(fault));
    this.#checkLater();
    this.#publishLater();
    while (this.#queue.runNext(endMilliseconds)) {
      this.#invariants.check(this.#processes, Math.round(this.#queue.getNow()));
      if (this.#invariants.getViolation() !== undefined) break;
    }
    return createRosterSimulationResult({
      processes: this.#processes,
      invariants: this.#invariants,
      newestOffset: this.#log.getNewestOffset(),
    });
  }

  /** Gets the processes. */
  getProcesses(): readonly SimulatedProcess[] {
    return this.#processes;
  }

  /** Calls a watcher with the time at every check. */
  onCheck: (now: number, run: RosterSimulation) => string | undefined = () => undefined;

  #checkLater(): void {
    this.#followReaders();
    const violation = this.onCheck(this.#queue.getNow(), this);
    if (violation !== undefined) this.#invariants.addViolation(violation);
    this.#queue.add(CHECK_INTERVAL_MILLISECONDS, () => this.#checkLater());
  }

  #followReaders(): void {
    const now = this.#queue.getNow();
    for (const process of this.#processes) {
      const isReading = !process.hasEnded && now >= process.wakesAt &&
        this.#network.canReachLog(process.number) && !this.#network.isLogSlow();
      if (!isReading) process.readsSince = now + 1;
    }
  }

  #start(address: string): void {
    const number = this.#processes.length;
    const deviation = (this.#network.draw(2) - 1) * CLOCK_RATE_DEVIATION;
    const process: SimulatedProcess = SimulatedProcess.create({
      number,
      address,
      clockRate: 1 + deviation,
      decisions: this.#options.decisions ?? CONTRACT_DECISIONS,
      links: this.#createLinks(() => process),
      getNow: () => this.#queue.getNow(),
    });
    process.readsSince = this.#queue.getNow();
    this.#processes.push(process);
    this.#queue.add(this.#network.draw(500), () => process.start());
  }

  #createLinks(getProcess: () => SimulatedProcess): ProcessLinks {
    return {
      schedule: (delay, run) =>
        this.#queue.add(delay / getProcess().clockRate, () => this.#runAwake(getProcess(), run)),
      sendHeartbeat: (to, heartbeat) => {
        const from = getProcess();
        this.#carry(from, to, (target) => target.receiveHeartbeat(from.memberId, heartbeat));
      },
      pull: (from) => {
        const process = getProcess();
        this.#carry(process, from, (peer) => {
          const offset = peer.getOffset();
          this.#carry(peer, process.memberId, (puller) => puller.apply(offset));
        });
      },
      readLog: (deliver) =>
        this.#exchange(
          getProcess(),
          () => this.#log.getNewestOffset(),
          (offset) => deliver(offset),
        ),
      readList: (deliver) =>
        this.#exchange(getProcess(), () => this.#getListedHosts(), (hosts) => deliver(hosts)),
      append: (draft) => this.#append(getProcess(), draft),
      getFleet: (offset) => this.#log.getFleet(offset),
    };
  }

  /** Appends a record, and once more if the answer is lost: the sender cannot know. */
  #append(process: SimulatedProcess, draft: DraftRecord): void {
    this.#network.sendToLog(() => {
      if (!this.#network.canReachLog(process.number)) return;
      this.#log.append(draft);
      if (this.#network.losesAppendAnswers()) {
        this.#network.sendToLog(() => this.#log.append(draft));
      }
    });
  }

  /** Asks the platform for something, and delivers its answer unless either way is cut. */
  #exchange<Answer>(
    process: SimulatedProcess,
    getAnswer: () => Answer,
    deliver: (answer: Answer) => void,
  ): void {
    this.#network.sendToLog(() => {
      if (!this.#network.canReachLog(process.number)) return;
      const answer = getAnswer();
      this.#network.sendToLog(() => {
        if (!this.#network.canReachLog(process.number)) return;
        this.#runAwake(process, () => deliver(answer));
      });
    });
  }

  /** Gets the addresses whose process ran a while ago: the list lags. */
  #getListedHosts(): ReadonlySet<string> {
    const listed = this.#processes.filter((process) =>
      process.startedAt <= this.#queue.getNow() - LIST_LAG_MILLISECONDS &&
      process.endedAt > this.#queue.getNow() - LIST_LAG_MILLISECONDS
    );
    return new Set(listed.map((process) => process.address));
  }

  #carry(from: SimulatedProcess, to: string, deliver: (target: SimulatedProcess) => void): void {
    const target = this.#find(to);
    if (target === undefined) return;
    this.#network.send(
      from.number,
      target.number,
      () => this.#runAwake(target, () => deliver(target)),
    );
  }

  /** Runs work of a process, or lets it wait until the process wakes, in any order. */
  #runAwake(process: SimulatedProcess, run: () => void): void {
    if (process.hasEnded) return;
    const wait = process.wakesAt - this.#queue.getNow();
    if (wait <= 0) return run();
    this.#queue.add(wait + this.#network.draw(5), () => this.#runAwake(process, run));
  }

  #find(memberId: string): SimulatedProcess | undefined {
    return this.#processes[Number(memberId.slice(1))];
  }

  #begin(fault: Fault): void {
    this.#apply(fault);
    this.#followReaders();
  }

  #apply(fault: Fault): void {
    const duration = fault.durationMilliseconds;
    const targets = new Set(fault.targets);
    switch (fault.kind) {
      case FaultKind.CutOutward:
        return this.#network.addCut((from, to) => targets.has(from) && !targets.has(to), duration);
      case FaultKind.CutInward:
        return this.#network.addCut((from, to) => !targets.has(from) && targets.has(to), duration);
      case FaultKind.Partition:
        return this.#network.addCut((from, to) => targets.has(from) !== targets.has(to), duration);
      case FaultKind.IsolatedGroup:
        this.#network.addLogCut(targets, duration);
        return this.#network.addCut((from, to) => targets.has(from) !== targets.has(to), duration);
      case FaultKind.LogCut:
        return this.#network.addLogCut(targets, duration);
      case FaultKind.LogDown:
        return this.#network.addLogOutage(duration);
      case FaultKind.LogSlow:
        return this.#network.addSlowLog(duration);
      case FaultKind.LoseAppendAnswers:
        return this.#network.addLostAnswers(duration);
      case FaultKind.BadNetwork:
        return this.#network.addBadNetwork(duration);
      case FaultKind.Join:
        return this.#start(`address-new-${this.#processes.length}`);
      default:
        for (const target of fault.targets) this.#strike(fault, this.#processes[target]);
    }
  }

  #strike(fault: Fault, process: SimulatedProcess | undefined): void {
    if (process === undefined || process.hasEnded) return;
    const duration = fault.durationMilliseconds;
    const now = this.#queue.getNow();
    if (fault.kind === FaultKind.WallClockSetForward) return process.setForward(duration);
    if (fault.kind === FaultKind.Leave) return this.#runAwake(process, () => process.leave());
    if (fault.kind === FaultKind.Pause || fault.kind === FaultKind.Suspend) {
      if (fault.kind === FaultKind.Suspend) process.addSuspension(duration);
      process.wakesAt = Math.max(process.wakesAt, now + duration);
      return;
    }
    process.end();
    if (fault.kind === FaultKind.Restart) {
      this.#queue.add(duration, () => this.#start(process.address));
    }
  }

  #publishLater(): void {
    this.#queue.add(PUBLICATION_INTERVAL_MILLISECONDS, () => this.#publishLater());
    if (!this.#network.canReachLog(OPERATOR)) return;
    const id = `restriction-${this.#log.getNewestOffset()}`;
    const body = { zone: "gh-south-a" };
    const draft = { id, kind: "zone-taken-out", version: 1, author: "operator", body };
    const offset = this.#log.append(draft);
    this.#invariants.addRestriction({ offset, acknowledgedAt: this.#queue.getNow() });
  }
}
