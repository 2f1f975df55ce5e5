/** A front in virtual time: authorizes submissions and delivers them to the owner until it answers. */

import type { Configuration } from "../../fleet/configuration.ts";
import { type Answer, authorizeCall, type Call, isRefusal } from "../../front/call.ts";
import type { ForwardedCall } from "../../front/call_frame.ts";
import { PendingCall } from "../../front/pending_call.ts";
import type { Reply } from "../../tasks/mod.ts";

/** How long a caller waits for its answer, in milliseconds. */
const TIMEOUT_MILLISECONDS = 2_500;
/** The delay before a call is delivered again to a host that was not the owner, in milliseconds. */
const REDELIVERY_DELAY_MILLISECONDS = 150;

/** Options of a `FrontModel`. */
export interface FrontModelOptions {
  /** The first configuration that it knows. */
  configuration: Configuration;
  /** Gets the virtual time, in milliseconds. */
  getNow: () => number;
  /** Delivers a call to the owner; its answer may be lost. */
  deliver: (front: FrontModel, call: ForwardedCall, reply: Reply<Answer>) => void;
}

/** Holds a front's configuration and its pending calls. */
export class FrontModel {
  readonly #options: FrontModelOptions;
  readonly #pending = new Set<PendingCall>();
  #configuration: Configuration;

  private constructor(options: FrontModelOptions) {
    this.#options = options;
    this.#configuration = options.configuration;
  }

  /** Creates a front without calls. */
  static create(options: FrontModelOptions): FrontModel {
    return new FrontModel(options);
  }

  /** Sets the configuration, unless a newer one is known. */
  setConfiguration(configuration: Configuration): void {
    if (configuration.version > this.#configuration.version) this.#configuration = configuration;
  }

  /** Handles a call of a caller. */
  handle(call: Call, reply: Reply<Answer>): void {
    const authorized = authorizeCall(call, this.#configuration);
    if (isRefusal(authorized)) return reply(authorized);
    const receivedAt = this.#options.getNow();
    const pending = PendingCall.create({
      call: {
        ...call,
        version: this.#configuration.version,
        queue: authorized.queue.name,
        customer: authorized.customer?.name ?? "",
      },
      receivedAt,
      deadlineAt: receivedAt + TIMEOUT_MILLISECONDS,
      reply,
    });
    this.#pending.add(pending);
    this.#deliver(pending);
  }

  /** Delivers all pending calls, as over a new link to the owner. */
  deliverAll(): void {
    for (const pending of this.#pending) this.#deliver(pending);
  }

  /** Ends calls whose time is over, and delivers those again that reached no owner. */
  tick(): void {
    const now = this.#options.getNow();
    for (const pending of this.#pending) {
      if (now >= pending.deadlineAt) this.#end(pending, pending.decideExpiry());
      else if (
        !pending.isAwaitingAnswer && now - pending.triedAt > REDELIVERY_DELAY_MILLISECONDS
      ) {
        this.#deliver(pending);
      }
    }
  }

  #deliver(pending: PendingCall): void {
    pending.triedAt = this.#options.getNow();
    pending.addDelivery();
    this.#options.deliver(this, pending.call, (answer) => this.#handleAnswer(pending, answer));
  }

  #handleAnswer(pending: PendingCall, answer: Answer): void {
    if (!this.#pending.has(pending)) return;
    const decided = pending.decideAnswer(answer);
    if (decided === undefined) pending.isAwaitingAnswer = false;
    else this.#end(pending, decided);
  }

  #end(pending: PendingCall, answer: Answer): void {
    this.#pending.delete(pending);
    pending.reply(answer);
  }
}
