/** Starts requests within the rights of their teams and the slots of the executors. */

import type { LoanPeerMessage } from "../contracts/loans/loan_messages.ts";
import type { ExecutorChooser } from "../machines/executor_choice.ts";
import type { SharePeerMessage } from "../teams/share_messages.ts";
import { type ElapsedClock, type Reply, Task } from "../tasks/mod.ts";
import type { ArrivalResult, DispatchMessage } from "./dispatch_messages.ts";
import { allowExceeding } from "./dispatch_pool.ts";
import { isReleasedBy } from "./dispatch_running.ts";
import { getDispatchState } from "./dispatch_state.ts";
import { Dispatcher } from "./dispatcher.ts";
import type { HandleAttemptResult } from "./dispatcher_options.ts";

/** How long urgent statements are batched before they are sent. */
const URGENT_BATCH_DELAY_MILLISECONDS = 10;

/** The interval at which deadlines, overdue acknowledgements and demand windows are checked. */
const TICK_INTERVAL_MILLISECONDS = 50;

/** The number of ticks in a demand window. */
const TICKS_PER_WINDOW = 6;

/** How long a leaving host waits so that the keepers receive its statements. */
const LEAVE_DELAY_MILLISECONDS = 250;

/** Options of a `DispatchTask`. */
export interface DispatchTaskOptions {
  /** The member id of this process. */
  memberId: string;
  /** The availability zone of this entry host. */
  zone: string;
  clock: ElapsedClock;
  /** Gets the monotonic time in milliseconds, which decides how long permits are held. */
  getMonotonicTime: () => number;
  /** Chooses the executor for a request. */
  chooseExecutor: ExecutorChooser;
  /** Called when the result of an attempt is known. */
  handleAttemptResult?: HandleAttemptResult;
  /** Gets a random number from 0 up to 1. */
  random: () => number;
  /** Sends a message to a keeper, which may be this member. */
  send: (to: string, message: LoanPeerMessage | SharePeerMessage) => void;
}

/** Owns the running and waiting requests of this entry host, and the permits that it holds. */
export class DispatchTask extends Task<DispatchMessage> {
  readonly #options: DispatchTaskOptions;
  readonly #dispatcher: Dispatcher;
  readonly #replies = new Map<string, Reply<ArrivalResult>>();
  #batchTimer: NodeJS.Timeout | undefined;
  #tickTimer: NodeJS.Timeout | undefined;
  #ticks = 0;

  private constructor(options: DispatchTaskOptions) {
    super({ name: "dispatch" });
    this.#options = options;
    this.#dispatcher = Dispatcher.create({
      ...options,
      isReleasedBy,
      mayExceedAllotment: allowExceeding,
    });
  }

  static create(options: DispatchTaskOptions): DispatchTask {
    return new DispatchTask(options);
  }

  protected override receive(message: DispatchMessage): void {
    this.#dispatcher.getRunning().setMonotonicTime(this.#options.getMonotonicTime());
    this.#handle(message, this.#options.clock.getElapsed());
    for (const { requestId, result } of this.#dispatcher.takeDecisions()) {
      this.#replies.get(requestId)?.(result);
      this.#replies.delete(requestId);
    }
    if (message.kind !== "tick" && message.kind !== "flush") this.#schedule();
  }

  override getState(): unknown {
    return getDispatchState(this.#dispatcher, this.#options.clock.getElapsed());
  }

  override stop(): void {
    super.stop();
    clearTimeout(this.#batchTimer);
    clearTimeout(this.#tickTimer);
  }

  #handle(message: DispatchMessage, now: number): void {
    switch (message.kind) {
      case "fleet-changed":
        return this.#dispatcher.setFleet(message.fleet, now);
      case "roster-changed":
        this.#dispatcher.setRoster(message.roster, now);
        if (!message.roster.members.includes(this.#options.memberId)) this.#flush(now);
        return;
      case "standing-changed":
        return this.#dispatcher.setStanding(message.grant, now);
      case "log-read":
        return;
      case "leaving":
        this.#leave(message.reply);
        return;
      case "get-busy-hosts":
        return message.reply(this.#dispatcher.getBusyHosts());
      case "loan":
        return this.#dispatcher.receiveLoan(message.from, message.message, now);
      case "arrived":
        this.#replies.set(message.arrival.requestId, message.reply);
        return this.#dispatcher.arrive(message.arrival, now);
      case "cancelled":
        this.#dispatcher.cancel(message.requestId, now);
        this.#replies.delete(message.requestId);
        return;
      case "ended":
        return this.#dispatcher.end(message.requestId, message.ending, now, message.isFault);
      case "flush":
        return this.#flush(now);
      case "tick":
        return this.#tick(now);
    }
  }

  /** Replies after a delay in which the roster without this member arrives and the statements under it are sent. */
  #leave(reply: Reply<void>): void {
    setTimeout(() => reply(), LEAVE_DELAY_MILLISECONDS);
  }

  #flush(now: number): void {
    this.#batchTimer = undefined;
    for (const { to, statement } of this.#dispatcher.getHolder().takeStatements(now)) {
      this.#options.send(to, statement);
    }
  }

  #tick(now: number): void {
    this.#tickTimer = undefined;
    this.#ticks += 1;
    this.#dispatcher.expire(now);
    if (this.#ticks % TICKS_PER_WINDOW === 0) {
      for (const { to, message } of this.#dispatcher.endWindow(now)) {
        this.#options.send(to, message);
      }
    }
    this.#flush(now);
    this.#schedule();
  }

  /** Sets timers only while there are statements to send, running or waiting requests, or demand. */
  #schedule(): void {
    const holder = this.#dispatcher.getHolder();
    if (holder.isUrgent() && this.#batchTimer === undefined) {
      this.#batchTimer = setTimeout(
        () => this.post({ kind: "flush" }),
        URGENT_BATCH_DELAY_MILLISECONDS,
      );
    }
    if (this.#tickTimer !== undefined) return;
    const isIdle = this.#dispatcher.getWaitingCount() === 0 &&
      this.#dispatcher.getRunning().getCount() === 0 && holder.isIdle();
    if (isIdle) return;
    this.#tickTimer = setTimeout(() => this.post({ kind: "tick" }), TICK_INTERVAL_MILLISECONDS);
  }
}
