/** The front of an entry host: authorizes calls and forwards them to the owner of the fleet. */

import type { EventLog } from "../events/mod.ts";
import type { Configuration } from "../fleet/configuration.ts";
import type { JobLimits } from "../fleet/job_limits.ts";
import { parseSocketAddress } from "../links/socket_address.ts";
import type { Candidacy } from "../ownership/hand_over_decision.ts";
import type { OwnershipView } from "../ownership/ownership_messages.ts";
import { type ElapsedClock, type Reply, Task } from "../tasks/mod.ts";
import {
  type Answer,
  authorizeCall,
  type Call,
  createTooLarge,
  createUnavailable,
  isRefusal,
} from "./call.ts";
import type { ForwardedCall } from "./call_frame.ts";
import { OwnerLinkTask } from "./owner_link_task.ts";
import { PendingCall } from "./pending_call.ts";

/** The interval at which pending calls are checked, in milliseconds. */
const TICK_INTERVAL_MILLISECONDS = 50;
/** How long a call waits for an owner, in milliseconds: the usual duration of a take-over. */
const OWNER_WAIT_TIMEOUT_MILLISECONDS = 1_500;
/** The margin between the latest answer to a call and the caller's timeout, in milliseconds. */
const ANSWER_MARGIN_MILLISECONDS = 150;
/** The delay before a call is delivered to the owner again, in milliseconds. */
const REDELIVERY_DELAY_MILLISECONDS = 150;

/** The messages of a `FrontTask`. */
export type FrontMessage =
  | {
    kind: "call";
    call: Call;
    timeoutMilliseconds: number;
    /** Gets whether the caller can't be answered any more; never if unset. */
    isAbandoned?: () => boolean;
    reply: Reply<Answer>;
  }
  | { kind: "configuration"; configuration: Configuration; asOf: number }
  | { kind: "ownership"; view: OwnershipView }
  | { kind: "answered"; number: number; answer: Answer; epoch: number }
  | { kind: "link-opened"; epoch: number }
  /** The host is about to exit: answers all pending calls at once, and each later one. */
  | { kind: "refuse" }
  | { kind: "tick" };

/** Options of a `FrontTask`. */
export interface FrontTaskOptions {
  /** Delivers a call to the owner in this process. */
  deliverLocally: (call: ForwardedCall, reply: Reply<Answer>) => void;
  /** Called with a claim's holder when its process has ended. */
  onHolderEnded: (holder: string) => void;
  /** Gets what this host's pings to the owner say. */
  getCandidacy: () => Candidacy;
  /** Gets the maximum age of the configuration for authorizing keys, in milliseconds. */
  getMaximumConfigurationAge: () => number;
  /** Called with the answer to each call and its duration, in milliseconds. */
  onAnswered: (call: Call, answer: Answer, milliseconds: number) => void;
  /** The maximum number of pending calls; no limit if unset. */
  maximumPending?: number;
  /** The maximum number of bytes that wait on the link to the owner; no limit if unset. */
  maximumLinkBytes?: number;
  /** Called when a limit refuses a call. */
  onLimit?: (limit: string) => void;
  /** The limits on the size of a job: a larger one would not fit in a message to the owner. */
  jobLimits: JobLimits;
  /** The clock for the age of the configuration. */
  clock: ElapsedClock;
  /** The event log. */
  log: EventLog;
}

/** Owns the pending calls and the link to the owner. */
export class FrontTask extends Task<FrontMessage> {
  readonly #options: FrontTaskOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #pending = new Map<number, PendingCall>();
  #configuration: Configuration | undefined;
  #configurationAsOf = -Infinity;
  #wasConfigurationFresh = false;
  #view: OwnershipView | undefined;
  #link: OwnerLinkTask | undefined;
  #lastNumber = 0;
  #isRefusing = false;

  private constructor(options: FrontTaskOptions) {
    super({ name: "front" });
    this.#options = options;
    this.#timer = setInterval(() => this.post({ kind: "tick" }), TICK_INTERVAL_MILLISECONDS);
  }

  static create(options: FrontTaskOptions): FrontTask {
    return new FrontTask(options);
  }

  /** Gets whether the configuration is recent enough to authorize calls with a key. */
  isConfigurationFresh(): boolean {
    return this.#configuration !== undefined &&
      this.getConfigurationAge() < this.#options.getMaximumConfigurationAge();
  }

  /** Gets the time since the configuration was last known to be current, in milliseconds. */
  getConfigurationAge(): number {
    return this.#options.clock.getElapsed() - this.#configurationAsOf;
  }

  /** Gets the number of pending calls. */
  getPendingCount(): number {
    return this.#pending.size;
  }

  protected override receive(message: FrontMessage): void {
    switch (message.kind) {
      case "call":
        return this.#authorize(message);
      case "configuration":
        this.#configuration = message.configuration;
        this.#configurationAsOf = Math.max(this.#configurationAsOf, message.asOf);
        return this.#logFreshness();
      case "ownership":
        return this.#setOwner(message.view);
      case "answered":
        return this.#handleAnswer(message.number, message.answer, message.epoch);
      case "link-opened":
        if (message.epoch === this.#getEpoch()) this.#deliverAll();
        return;
      case "refuse":
        return this.#refuseAll();
      case "tick":
        return this.#tick();
    }
  }

  override getState(): unknown {
    return {
      version: this.#configuration?.version ?? 0,
      waiting: this.#pending.size,
      owner: this.#view?.claim?.hostName,
      epoch: this.#getEpoch(),
    };
  }

  override stop(): void {
    super.stop();
    clearInterval(this.#timer);
    this.#link?.stop();
  }

  #authorize(message: FrontMessage & { kind: "call" }): void {
    const { call, timeoutMilliseconds, isAbandoned, reply } = message;
    const startedAt = performance.now();
    const respond: Reply<Answer> = (answer) => {
      this.#options.onAnswered(call, answer, performance.now() - startedAt);
      reply(answer);
    };
    if (this.#isRefusing) return respond(createUnavailable("this host is stopping"));
    const configuration = this.#configuration;
    if (configuration === undefined) {
      return respond(createUnavailable("this host has no configuration yet"));
    }
    const authorized = authorizeCall(call, configuration);
    if (!this.isConfigurationFresh()) {
      const isPublic = !isRefusal(authorized) && authorized.queue.isPublic;
      if (!isPublic) return respond(createUnavailable("the configuration here may be outdated"));
    }
    if (isRefusal(authorized)) return respond(authorized);
    const { specification } = call;
    const refusal = specification && this.#options.jobLimits.getRefusal(specification);
    if (refusal !== undefined) return respond(createTooLarge(refusal));
    if (!this.#hasRoom()) {
      this.#options.onLimit?.("pending-calls");
      return respond(createUnavailable("too many calls wait for the owner"));
    }
    this.#lastNumber += 1;
    const number = this.#lastNumber;
    const pending = PendingCall.create({
      call: {
        ...call,
        version: configuration.version,
        queue: authorized.queue.name,
        customer: authorized.customer?.name ?? "",
      },
      receivedAt: startedAt,
      deadlineAt: startedAt + timeoutMilliseconds - ANSWER_MARGIN_MILLISECONDS,
      isAbandoned,
      reply: respond,
    });
    this.#pending.set(number, pending);
    this.#deliver(number);
  }

  /** Gets whether one more call may be pending; drops those whose callers are gone if not. */
  #hasRoom(): boolean {
    const { maximumPending = Infinity } = this.#options;
    if (this.#pending.size < maximumPending) return true;
    for (const [number, pending] of this.#pending) {
      if (pending.isAbandoned()) this.#pending.delete(number);
    }
    return this.#pending.size < maximumPending;
  }

  #getEpoch(): number {
    return this.#view?.claim?.epoch ?? 0;
  }

  #setOwner(view: OwnershipView): void {
    const previous = this.#view;
    this.#view = view;
    const isSame = previous?.claim?.epoch === view.claim?.epoch &&
      previous?.isMine === view.isMine &&
      previous?.claim?.isReleased === view.claim?.isReleased;
    if (isSame) return;
    this.#link?.stop();
    this.#link = undefined;
    for (const pending of this.#pending.values()) pending.isAwaitingAnswer = false;
    const { claim } = view;
    if (claim === undefined || claim.isReleased) return;
    if (!view.isMine) this.#openLink(claim.address, claim.epoch, claim.holder);
    this.#deliverAll();
  }

  #openLink(addressText: string, epoch: number, holder: string): void {
    const address = parseSocketAddress(addressText);
    if (address === undefined) {
      this.#options.log("owner-address-unreadable", { step: "open-link", peer: addressText });
      return;
    }
    this.#link = OwnerLinkTask.create({
      address,
      onAnswer: (number, answer) => this.post({ kind: "answered", number, answer, epoch }),
      onConnected: () => this.post({ kind: "link-opened", epoch }),
      process: holder,
      getCandidacy: this.#options.getCandidacy,
      maximumBytes: this.#options.maximumLinkBytes,
      onHolderEnded: () => this.#options.onHolderEnded(holder),
      log: this.#options.log,
    });
  }

  #deliverAll(): void {
    for (const number of this.#pending.keys()) this.#deliver(number);
  }

  #deliver(number: number): void {
    const pending = this.#pending.get(number);
    if (pending === undefined || this.#view?.claim === undefined) return;
    if (this.#view.claim.isReleased) return;
    const epoch = this.#getEpoch();
    pending.triedAt = performance.now();
    if (this.#view.isMine) {
      pending.addDelivery();
      this.#options.deliverLocally(
        pending.call,
        (answer) => this.post({ kind: "answered", number, answer, epoch }),
      );
    } else if (this.#link?.isOpen()) {
      pending.addDelivery();
      this.#link.post({ kind: "call", number, call: pending.call });
    }
  }

  #handleAnswer(number: number, answer: Answer, epoch: number): void {
    const pending = this.#pending.get(number);
    if (pending === undefined) return;
    const decided = pending.decideAnswer(answer);
    if (decided === undefined) {
      if (epoch === this.#getEpoch()) pending.isAwaitingAnswer = false;
      return;
    }
    this.#pending.delete(number);
    pending.reply(decided);
  }

  #refuseAll(): void {
    this.#isRefusing = true;
    for (const pending of this.#pending.values()) pending.reply(pending.decideExpiry());
    this.#pending.clear();
  }

  /** Logs when the configuration has become outdated or current since the last call. */
  #logFreshness(): void {
    const isFresh = this.isConfigurationFresh();
    if (isFresh === this.#wasConfigurationFresh) return;
    this.#wasConfigurationFresh = isFresh;
    this.#options.log(isFresh ? "configuration-current" : "configuration-outdated", {
      version: this.#configuration?.version,
      age: Math.round(this.getConfigurationAge()),
    });
  }

  #tick(): void {
    this.#logFreshness();
    const now = performance.now();
    for (const [number, pending] of this.#pending) {
      const hasNoOwner = !pending.isDelivered() &&
        now - pending.receivedAt > OWNER_WAIT_TIMEOUT_MILLISECONDS;
      if (now >= pending.deadlineAt || hasNoOwner) {
        this.#pending.delete(number);
        pending.reply(pending.decideExpiry());
      } else if (
        !pending.isAwaitingAnswer && now - pending.triedAt > REDELIVERY_DELAY_MILLISECONDS
      ) {
        this.#deliver(number);
      }
    }
  }
}
