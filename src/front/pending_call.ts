/** A caller's call that its front delivers to the owner, and again until an owner answers. */

import type { Reply } from "../tasks/mod.ts";
import {
  type Answer,
  AnswerOutcome,
  CallKind,
  createUnavailable,
  isNotCarriedOut,
} from "./call.ts";
import type { ForwardedCall } from "./call_frame.ts";

/** Options of a `PendingCall`. */
export interface PendingCallOptions {
  /** The call. */
  call: ForwardedCall;
  /** When it was received, on the monotonic clock, in milliseconds. */
  receivedAt: number;
  /** When it must be answered, on the monotonic clock, in milliseconds. */
  deadlineAt: number;
  /** Gets whether the caller can't be answered any more; never if unset. */
  isAbandoned?: (() => boolean) | undefined;
  /** Answers the caller. */
  reply: Reply<Answer>;
}

/** Owns the course of a call's deliveries, and decides what its caller is told. */
export class PendingCall {
  /** The call. */
  readonly call: ForwardedCall;
  /** When it was received, on the monotonic clock, in milliseconds. */
  readonly receivedAt: number;
  /** When it must be answered, on the monotonic clock, in milliseconds. */
  readonly deadlineAt: number;
  /** Answers the caller. */
  readonly reply: Reply<Answer>;
  /** Gets whether the caller can't be answered any more. */
  readonly isAbandoned: () => boolean;
  /** When its last delivery was tried, on the monotonic clock, in milliseconds. */
  triedAt = 0;
  /** Whether it was delivered to the current owner, which has not answered yet. */
  isAwaitingAnswer = false;
  #isDelivered = false;
  /** The number of deliveries that no owner has answered: each may have been carried out. */
  #unansweredCount = 0;

  private constructor(options: PendingCallOptions) {
    this.call = options.call;
    this.receivedAt = options.receivedAt;
    this.deadlineAt = options.deadlineAt;
    this.reply = options.reply;
    this.isAbandoned = options.isAbandoned ?? (() => false);
  }

  /** Creates a call that has not been delivered yet. */
  static create(options: PendingCallOptions): PendingCall {
    return new PendingCall(options);
  }

  /** Gets whether it was delivered to an owner. */
  isDelivered(): boolean {
    return this.#isDelivered;
  }

  /** Records a delivery to the current owner. */
  addDelivery(): void {
    this.isAwaitingAnswer = true;
    this.#isDelivered = true;
    this.#unansweredCount += 1;
  }

  /** Decides what the caller is told after an answer to a delivery; undefined if nothing yet. */
  decideAnswer(answer: Answer): Answer | undefined {
    this.#unansweredCount -= 1;
    if (answer.outcome === AnswerOutcome.NotOwner) return undefined;
    if (!isNotCarriedOut(answer) || !this.#mayHaveEffect()) return answer;
    const reason = `refused (${answer.outcome}), but an earlier delivery may have been carried out`;
    return { outcome: AnswerOutcome.InDoubt, reason };
  }

  /** Decides what the caller is told if no owner answers in time. */
  decideExpiry(): Answer {
    return this.#mayHaveEffect()
      ? { outcome: AnswerOutcome.InDoubt, reason: "the owner did not answer in time" }
      : createUnavailable("no owner could be reached");
  }

  /** Gets whether a delivery without an answer may have had an effect. */
  #mayHaveEffect(): boolean {
    const { kind } = this.call;
    return this.#unansweredCount > 0 && (kind === CallKind.Submit || kind === CallKind.Cancel);
  }
}
