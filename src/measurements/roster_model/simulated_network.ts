/** The network and the log's reachability in a modelled run. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { EventQueue } from "../../stand_ins/event_queue.ts";

/** The shortest time of a message or of one way to the log. */
const SHORTEST_DELAY_MILLISECONDS = 1;

/** The longest time of a message or of one way to the log without faults. */
const LONGEST_DELAY_MILLISECONDS = 40;

/** The longest extra time of one way to the log while it is slow. */
const SLOW_LOG_MILLISECONDS = 1_000;

/** The longest time of a message in a bad network. */
const BAD_DELAY_MILLISECONDS = 3_000;

/** Tells whether messages pass from one process to another. */
type Cut = (from: number, to: number) => boolean;

/** Delays, loses, doubles and reorders messages, and cuts links. */
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

  /** Draws a number from 0 to the bound. */
  draw(bound: number): number {
    return uniformFloat64(this.#random) * bound;
  }

  /** Carries a message from one process to another, or loses it. */
  send(from: number, to: number, deliver: () => void): void {
    const isBad = this.#badNetworks > 0;
    for (const cut of this.#cuts) if (cut(from, to)) return;
    if (isBad && this.draw(1) < 0.5) return;
    const copies = isBad && this.draw(1) < 0.2 ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) this.#queue.add(this.#drawDelay(isBad), deliver);
  }

  /** Carries one way of an exchange with the log. */
  sendToLog(deliver: () => void): void {
    const slow = this.#slowLogs > 0 ? this.draw(SLOW_LOG_MILLISECONDS) : 0;
    this.#queue.add(this.#drawDelay(false) + slow, deliver);
  }

  /** Gets whether a process can reach the log. */
  canReachLog(process: number): boolean {
    if (this.#logOutages > 0) return false;
    return ![...this.#logCuts].some((cut) => cut.has(process));
  }

  /** Gets whether every exchange with the log takes long. */
  isLogSlow(): boolean {
    return this.#slowLogs > 0;
  }

  /** Gets whether the answers of appends are lost. */
  losesAppendAnswers(): boolean {
    return this.#lostAnswers > 0;
  }

  /** Cuts links for a time. */
  addCut(cut: Cut, duration: number): void {
    this.#cuts.add(cut);
    this.#queue.add(duration, () => this.#cuts.delete(cut));
  }

  /** Cuts processes off from the log for a time. */
  addLogCut(targets: ReadonlySet<number>, duration: number): void {
    this.#logCuts.add(targets);
    this.#queue.add(duration, () => this.#logCuts.delete(targets));
  }

  /** Takes the log down for a time. */
  addLogOutage(duration: number): void {
    this.#logOutages += 1;
    this.#queue.add(duration, () => this.#logOutages -= 1);
  }

  /** Slows the log for a time. */
  addSlowLog(duration: number): void {
    this.#slowLogs += 1;
    this.#queue.add(duration, () => this.#slowLogs -= 1);
  }

  /** Loses the answers of appends for a time. */
  addLostAnswers(duration: number): void {
    this.#lostAnswers += 1;
    this.#queue.add(duration, () => this.#lostAnswers -= 1);
  }

  /** Makes the network bad for a time. */
  addBadNetwork(duration: number): void {
    this.#badNetworks += 1;
    this.#queue.add(duration, () => this.#badNetworks -= 1);
  }

  #drawDelay(isBad: boolean): number {
    const longest = isBad ? BAD_DELAY_MILLISECONDS : LONGEST_DELAY_MILLISECONDS;
    return SHORTEST_DELAY_MILLISECONDS + this.draw(longest - SHORTEST_DELAY_MILLISECONDS);
  }
}
