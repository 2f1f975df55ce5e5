/** Network between processes and to the log in a roster simulation. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { EventQueue } from "../../stand_ins/event_queue.ts";

/** Minimum delay of a message or of one way to the log. */
const MINIMUM_DELAY_MILLISECONDS = 1;

/** Maximum delay of a message or of one way to the log without faults. */
const MAXIMUM_DELAY_MILLISECONDS = 40;

/** Maximum additional delay of one way to the log while it is slow. */
const MAXIMUM_LOG_DELAY_MILLISECONDS = 1_000;

/** Maximum delay of a message in a bad network. */
const MAXIMUM_BAD_DELAY_MILLISECONDS = 3_000;

/** Returns whether messages from one process to another are dropped. */
type Cut = (from: number, to: number) => boolean;

/** Delays, drops, duplicates and reorders messages, and cuts links. */
export class SimulatedNetwork {
  readonly #queue: EventQueue;
  readonly #random: RandomGenerator;
  readonly #cuts = new Set<Cut>();
  readonly #logCuts = new Set<ReadonlySet<number>>();
  #badNetworks = 0;
  #logOutages = 0;
  #slowLogs = 0;
  #lostAnswers = 0;

  private constructor(queue: EventQueue, random: RandomGenerator) {
    this.#queue = queue;
    this.#random = random;
  }

  /** Creates a network without faults. */
  static create(options: { queue: EventQueue; random: RandomGenerator }): SimulatedNetwork {
    return new SimulatedNetwork(options.queue, options.random);
  }

  /** Draws a random number from 0 to the bound. */
  draw(bound: number): number {
    return uniformFloat64(this.#random) * bound;
  }

  /** Sends a message from one process to another, which may be lost. */
  send(from: number, to: number, deliver: () => void): void {
    const isBad = this.#badNetworks > 0;
    for (const cut of this.#cuts) if (cut(from, to)) return;
    if (isBad && this.draw(1) < 0.5) return;
    const copies = isBad && this.draw(1) < 0.2 ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) this.#queue.add(this.#drawDelay(isBad), deliver);
  }

  /** Sends one way of an exchange with the log. */
  sendToLog(deliver: () => void): void {
    const slow = this.#slowLogs > 0 ? this.draw(MAXIMUM_LOG_DELAY_MILLISECONDS) : 0;
    this.#queue.add(this.#drawDelay(false) + slow, deliver);
  }

  /** Gets whether a process can reach the log. */
  canReachLog(process: number): boolean {
    if (this.#logOutages > 0) return false;
    return ![...this.#logCuts].some((cut) => cut.has(process));
  }

  /** Gets whether exchanges with the log are slow. */
  isLogSlow(): boolean {
    return this.#slowLogs > 0;
  }

  /** Gets whether acknowledgements of appends are lost. */
  losesAppendAnswers(): boolean {
    return this.#lostAnswers > 0;
  }

  /** Cuts links for a time. */
  addCut(cut: Cut, duration: number): void {
    this.#cuts.add(cut);
    this.#queue.add(duration, () => this.#cuts.delete(cut));
  }

  /** Disconnects processes from the log for a time. */
  addLogCut(targets: ReadonlySet<number>, duration: number): void {
    this.#logCuts.add(targets);
    this.#queue.add(duration, () => this.#logCuts.delete(targets));
  }

  /** Makes the log unavailable to all for a time. */
  addLogOutage(duration: number): void {
    this.#logOutages += 1;
    this.#queue.add(duration, () => this.#logOutages -= 1);
  }

  /** Slows the log for a time. */
  addSlowLog(duration: number): void {
    this.#slowLogs += 1;
    this.#queue.add(duration, () => this.#slowLogs -= 1);
  }

  /** Drops acknowledgements of appends for a time. */
  addLostAnswers(duration: number): void {
    this.#lostAnswers += 1;
    this.#queue.add(duration, () => this.#lostAnswers -= 1);
  }

  /** Makes the network lossy and slow for a time. */
  addBadNetwork(duration: number): void {
    this.#badNetworks += 1;
    this.#queue.add(duration, () => this.#badNetworks -= 1);
  }

  #drawDelay(isBad: boolean): number {
    const maximum = isBad ? MAXIMUM_BAD_DELAY_MILLISECONDS : MAXIMUM_DELAY_MILLISECONDS;
    return MINIMUM_DELAY_MILLISECONDS + this.draw(maximum - MINIMUM_DELAY_MILLISECONDS);
  }
}
