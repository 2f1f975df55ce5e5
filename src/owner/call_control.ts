/** Answers the calls that fronts deliver to the owner. */

import { getErrorMessage } from "../errors/mod.ts";
import type { EventLog } from "../events/mod.ts";
import type { Configuration } from "../fleet/configuration.ts";
import type { JobLimits } from "../fleet/job_limits.ts";
import {
  type Answer,
  type AnswerBasis,
  AnswerOutcome,
  authorizeCall,
  CallKind,
  createTooLarge,
  createUnavailable,
  isRefusal,
} from "../front/call.ts";
import type { ForwardedCall } from "../front/call_frame.ts";
import { TAKE_OVER_TIMEOUT_MILLISECONDS } from "../ownership/ownership_task.ts";
import type { Reply } from "../tasks/mod.ts";
import type { FleetOwner } from "./fleet_owner.ts";
import type { JobCounts } from "./job_control.ts";

/**
 * The claim age from which the number of waiting jobs is no longer reported, in milliseconds: the
 * jobs interface allows it to be 2 s old.
 */
const MAXIMUM_COUNT_CLAIM_AGE_MILLISECONDS = 2_000;
/** When callers should retry during a store outage, in seconds. */
const STORE_RETRY_AFTER_SECONDS = 2;

/** Options of a `CallControl`. */
export interface CallControlOptions {
  /** The owner whose jobs the calls are about. */
  owner: FleetOwner;
  /** The epoch of the owner's claim. */
  epoch: number;
  /** Gets the newest configuration that the owner knows. */
  getConfiguration: () => Configuration;
  /** Gets the time since the owner's claim was last confirmed, in milliseconds. */
  getClaimAge: () => number;
  /** Gets whether the journal can't store new jobs at present. */
  isStoreUnavailable: () => boolean;
  /** The limits on the size of a job. */
  jobLimits: JobLimits;
  /** Called when a job is refused since the owner holds too many. */
  onFull?: (() => void) | undefined;
  /** Logs calls that failed. */
  log: EventLog;
}

/** Authorizes calls by the owner's configuration, and answers them from its jobs. */
export class CallControl {
  readonly #options: CallControlOptions;

  private constructor(options: CallControlOptions) {
    this.#options = options;
  }

  /** Creates a `CallControl` for an owner. */
  static create(options: CallControlOptions): CallControl {
    return new CallControl(options);
  }

  /**
   * Handles a call and replies at once, or as soon as its effect is stored. An unexpected error ends
   * only this call: its effect is in doubt.
   */
  handle(call: ForwardedCall, reply: Reply<Answer>): void {
    try {
      this.#handle(call, reply);
    } catch (error) {
      const reason = getErrorMessage(error);
      const { log, epoch } = this.#options;
      log("call-failed", { step: "handle", request: call.jobId, call: call.kind, epoch, reason });
      reply({ outcome: AnswerOutcome.InDoubt, reason: "the owner failed to handle the call" });
    }
  }

  #handle(call: ForwardedCall, reply: Reply<Answer>): void {
    const allowed = this.#authorize(call);
    if ("outcome" in allowed) return reply(this.#refuse(call, allowed));
    const { owner } = this.#options;
    switch (call.kind) {
      case CallKind.Submit:
        return this.#submit(call, allowed.queue, allowed.customer, reply);
      case CallKind.Cancel:
        if (!this.#isKnown(call.jobId)) return reply(this.#createUnknownJobAnswer());
        return owner.cancel(call.jobId, () => reply({ outcome: AnswerOutcome.Cancelled }));
      case CallKind.State: {
        const state = owner.getJobState(call.jobId);
        if (!this.#isKnown(call.jobId)) return reply(this.#createUnknownJobAnswer());
        if (state === undefined) return reply(createUnavailable("the job is being stored"));
        const basis = this.#createBasis(allowed.queue, owner.countJob(call.jobId));
        return reply({ outcome: AnswerOutcome.StateReturned, state, basis });
      }
      case CallKind.CountQueued:
        return reply(this.#countWaiting(allowed.queue));
    }
  }

  /** Authorizes a call again if it was authorized under an older configuration. */
  #authorize(call: ForwardedCall): Answer | { queue: string; customer: string } {
    const configuration = this.#options.getConfiguration();
    if (configuration.version <= call.version) {
      return { queue: call.queue, customer: call.customer };
    }
    const authorized = authorizeCall(call, configuration);
    if (isRefusal(authorized)) return authorized;
    return { queue: authorized.queue.name, customer: authorized.customer?.name ?? "" };
  }

  #submit(call: ForwardedCall, queue: string, customer: string, reply: Reply<Answer>): void {
    const { specification, jobId } = call;
    if (specification === undefined) {
      const reason = "the job is missing";
      return reply(this.#refuse(call, { outcome: AnswerOutcome.Malformed, reason }));
    }
    const { isStoreUnavailable, jobLimits, owner } = this.#options;
    if (!this.#isKnown(jobId) && isStoreUnavailable()) {
      return reply(createUnavailable("the store does not answer", STORE_RETRY_AFTER_SECONDS));
    }
    if (!this.#isKnown(jobId) && !owner.getJobMemory().hasRoomForJob({ queue, customer })) {
      this.#options.onFull?.();
      return reply(createUnavailable("the owner holds as many jobs as it has memory for"));
    }
    const tooLarge = (reason: string) => this.#refuse(call, createTooLarge(reason));
    const refusal = jobLimits.getRefusal(specification);
    if (refusal !== undefined) return reply(tooLarge(refusal));
    owner.submit(
      { id: jobId, queue, customer, specification },
      () => reply({ outcome: AnswerOutcome.Accepted }),
      () => reply(tooLarge("the job is too large to be stored")),
    );
  }

  /**
   * Creates the answer to a call that is refused. A submission whose job may run all the same, since
   * the same customer has submitted it before, is in doubt; others learn nothing about that job.
   */
  #refuse(call: ForwardedCall, refusal: Answer): Answer {
    const mayRun = call.kind === CallKind.Submit &&
      this.#options.owner.findCustomer(call.jobId) === call.customer;
    if (!mayRun) return refusal;
    const reason = `refused (${refusal.outcome}), but the job was submitted before and may run`;
    return { outcome: AnswerOutcome.InDoubt, reason };
  }

  /** Gets whether a job is accepted or being stored, and so may run even without an answer. */
  #isKnown(jobId: string): boolean {
    return this.#options.owner.findCustomer(jobId) !== undefined;
  }

  #createBasis(queue: string, counts: JobCounts): AnswerBasis {
    const { epoch, getClaimAge } = this.#options;
    return { queue, ...counts, ownerEpoch: epoch, claimAge: Math.round(getClaimAge()) };
  }

  #countWaiting(queue: string): Answer {
    const { getClaimAge, owner } = this.#options;
    if (getClaimAge() >= MAXIMUM_COUNT_CLAIM_AGE_MILLISECONDS) {
      return createUnavailable("another owner may have accepted jobs");
    }
    const waiting = owner.getQueuedJobCount(queue);
    const basis = this.#createBasis(queue, owner.countQueue(queue));
    return { outcome: AnswerOutcome.CountReturned, waiting, basis };
  }

  /** Creates the answer for an unknown job: definite only if no other owner can have taken over. */
  #createUnknownJobAnswer(): Answer {
    // After this time another owner may have accepted the job; answers to callers are not protected
    // by a fence.
    if (this.#options.getClaimAge() < TAKE_OVER_TIMEOUT_MILLISECONDS) {
      return { outcome: AnswerOutcome.UnknownJob };
    }
    return createUnavailable("the owner's claim may have expired");
  }
}
