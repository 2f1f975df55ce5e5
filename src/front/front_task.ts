/** Takes calls, judges them by the configuration, and has the owner answer them. */

import type { EventLog } from "../events/mod.ts";
import type { Configuration } from "../fleet/configuration.ts";
import { parseSocketAddress } from "../links/socket_address.ts";
import type { OwnershipView } from "../ownership/ownership_task.ts";
import { type ElapsedClock, type Reply, Task } from "../tasks/mod.ts";
import {
  type Answer,
  AnswerOutcome,
  authorizeCall,
  type Call,
  CallKind,
  createUnavailable,
  isRefusal,
} from "./call.ts";
import type { ForwardedCall } from "./call_frame.ts";
import { OwnerLinkTask } from "./owner_link_task.ts";

/** How often waiting calls are looked at, in milliseconds. */
const TICK_MILLISECONDS = 50;
/** How long a call waits for an owner to be found, in milliseconds: the usual time of a take-over. */
const OWNER_WAIT_MILLISECONDS = 1_500;
/** How long before its caller leaves a call is answered, in milliseconds. */
const ANSWER_MARGIN_MILLISECONDS = 150;
/** How long a call waits before it goes to the owner again, in milliseconds. */
const RESEND_MILLISECONDS = 150;

interface WaitingCall {
  call: ForwardedCall;
  deadlineAt: number;
  receivedAt: number;
  /** How often it was handed to an owner. */
  deliveries: number;
  deliveredAt: number;
  isAtOwner: boolean;
  reply: Reply<Answer>;
}

/** The messages that a `FrontTask` takes. */
export type FrontMessage =
  | { kind: "call"; call: Call; timeoutMilliseconds: number; reply: Reply<Answer> }
  | { kind: "configuration"; configuration: Configuration; freshAt: number }
  | { kind: "ownership"; view: OwnershipView }
  | { kind: "answered"; number: number; answer: Answer; epoch: number }
  | { kind: "link-opened"; epoch: number }
  | { kind: "tick" };

/** Options of a `FrontTask`. */
export interface FrontTaskOptions {
  /** Passes a call to the owner in this process. */
  deliverHere: (call: ForwardedCall, reply: Reply<Answer>) => void;
  /** Tells that the process of a holder has ended. */
  onHolderEnded: (holder: string) => void;
  /** Gets how old the knowledge of keys may be, in milliseconds. */
  getLongestKeyAge: () => number;
  /** Gets what each call was told and how long it took, in milliseconds. */
  onAnswered: (call: Call, answer: Answer, milliseconds: number) => void;
  /** The clock of ages. */
  clock: ElapsedClock;
  /** Logs refusals and changes of the owner. */
  log: EventLog;
}

/** Owns the calls that wait for an answer, and the link to the owner. */
export class FrontTask extends Task<FrontMessage> {
  readonly #options: FrontTaskOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #waiting = new Map<number, WaitingCall>();
  #configuration: Configuration | undefined;
  #freshAt = -Infinity;
  #view: OwnershipView | undefined;
  #link: OwnerLinkTask | undefined;
  #lastNumber = 0;

  private constructor(options: FrontTaskOptions) {
    super({ name: "front" });
    this.#options = options;
    this.#timer = setInterval(() => this.post({ kind: "tick" }), TICK_MILLISECONDS);
  }

  /** Creates the task. */
  static create(options: FrontTaskOptions): FrontTask {
    return new FrontTask(options);
  }

  /** Gets whether calls with a key can be judged here now. */
  isKnowledgeFresh(): boolean {
    const { clock, getLongestKeyAge } = this.#options;
    return this.#configuration !== undefined &&
      clock.getElapsed() - this.#freshAt < getLongestKeyAge();
  }

  /** Gets the number of calls that wait for an answer. */
  getWaitingCount(): number {
    return this.#waiting.size;
  }

  protected override receive(message: FrontMessage): void {
    switch (message.kind) {
      case "call":
        return this.#judge(message.call, message.timeoutMilliseconds, message.reply);
      case "configuration":
        this.#configuration = message.configuration;
        this.#freshAt = Math.max(this.#freshAt, message.freshAt);
        return;
      case "ownership":
        return this.#setOwner(message.view);
      case "answered":
        return this.#handleAnswer(message.number, message.answer, message.epoch);
      case "link-opened":
        if (message.epoch === this.#getEpoch()) this.#deliverAll();
        return;
      case "tick":
        return this.#tick();
    }
  }

  override getState(): unknown {
    return {
      version: this.#configuration?.version ?? 0,
      waiting: this.#waiting.size,
      owner: this.#view?.claim?.hostName,
      epoch: this.#getEpoch(),
    };
  }

  override stop(): void {
    super.stop();
    clearInterval(this.#timer);
    this.#link?.stop();
  }

  #judge(call: Call, timeoutMilliseconds: number, reply: Reply<Answer>): void {
    const startedAt = performance.now();
    const answer: Reply<Answer> = (given) => {
      this.#options.onAnswered(call, given, performance.now() - startedAt);
      reply(given);
    };
    const configuration = this.#configuration;
    if (configuration === undefined) {
      return answer(createUnavailable("this host has no configuration yet"));
    }
    const authorized = authorizeCall(call, configuration);
    if (!this.isKnowledgeFresh()) {
      const isPublic = !isRefusal(authorized) && authorized.queue.isPublic;
      if (!isPublic) return answer(createUnavailable("the configuration here may be outdated"));
    }
    if (isRefusal(authorized)) return answer(authorized);
    this.#lastNumber += 1;
    const number = this.#lastNumber;
    this.#waiting.set(number, {
      call: {
        ...call,
        version: configuration.version,
        queue: authorized.queue.name,
        customer: authorized.customer?.name ?? "",
      },
      deadlineAt: startedAt + timeoutMilliseconds - ANSWER_MARGIN_MILLISECONDS,
      receivedAt: startedAt,
      deliveries: 0,
      deliveredAt: 0,
      isAtOwner: false,
      reply: answer,
    });
    this.#deliver(number);
  }

  #getEpoch(): number {
    return this.#view?.claim?.epoch ?? 0;
  }

  #setOwner(view: OwnershipView): void {
    const before = this.#view;
    this.#view = view;
    const isSame = before?.claim?.epoch === view.claim?.epoch && before?.isMine === view.isMine &&
      before?.claim?.isReleased === view.claim?.isReleased;
    if (isSame) return;
    this.#link?.stop();
    this.#link = undefined;
    for (const waiting of this.#waiting.values()) waiting.isAtOwner = false;
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
      onEnded: () => this.#options.onHolderEnded(holder),
      log: this.#options.log,
    });
  }

  #deliverAll(): void {
    for (const number of this.#waiting.keys()) this.#deliver(number);
  }

  #deliver(number: number): void {
    const waiting = this.#waiting.get(number);
    if (waiting === undefined || this.#view?.claim === undefined) return;
    if (this.#view.claim.isReleased) return;
    const epoch = this.#getEpoch();
    waiting.deliveredAt = performance.now();
    if (this.#view.isMine) {
      waiting.isAtOwner = true;
      waiting.deliveries += 1;
      this.#options.deliverHere(
        waiting.call,
        (answer) => this.post({ kind: "answered", number, answer, epoch }),
      );
    } else if (this.#link?.isOpen()) {
      waiting.isAtOwner = true;
      waiting.deliveries += 1;
      this.#link.post({ kind: "call", number, call: waiting.call });
    }
  }

  #handleAnswer(number: number, answer: Answer, epoch: number): void {
    const waiting = this.#waiting.get(number);
    if (waiting === undefined) return;
    if (answer.outcome === AnswerOutcome.NotOwner) {
      if (epoch === this.#getEpoch()) waiting.isAtOwner = false;
      return;
    }
    // An earlier delivery may have been stored, so "not done" can't be said of the call as a whole.
    const isUncertain = answer.outcome === AnswerOutcome.Unavailable && waiting.deliveries > 1 &&
      waiting.call.kind === CallKind.Submit;
    const reason = "an earlier attempt may have been stored";
    this.#waiting.delete(number);
    waiting.reply(isUncertain ? { outcome: AnswerOutcome.Uncertain, reason } : answer);
  }

  #tick(): void {
    const now = performance.now();
    for (const [number, waiting] of this.#waiting) {
      const hasNoOwner = waiting.deliveries === 0 &&
        now - waiting.receivedAt > OWNER_WAIT_MILLISECONDS;
      if (now >= waiting.deadlineAt || hasNoOwner) this.#giveUp(number, waiting);
      else if (!waiting.isAtOwner && now - waiting.deliveredAt > RESEND_MILLISECONDS) {
        this.#deliver(number);
      }
    }
  }

  #giveUp(number: number, waiting: WaitingCall): void {
    this.#waiting.delete(number);
    const mayBeStored = waiting.deliveries > 0 && waiting.call.kind === CallKind.Submit;
    waiting.reply(
      mayBeStored
        ? { outcome: AnswerOutcome.Uncertain, reason: "the owner did not answer in time" }
        : createUnavailable("no owner could be reached"),
    );
  }
}
