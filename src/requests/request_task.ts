/** Runs a request between its caller and a target. */

import type { EventLog } from "../events/mod.ts";
import { type Address, ask, type ElapsedClock, Task } from "../tasks/mod.ts";
import type { RetryMessage } from "./attempts/retry_messages.ts";
import type { ClaimTaskMessage } from "./claims/claim_messages.ts";
import type { ArrivalResult, DispatchMessage, StartGrant } from "./dispatch_messages.ts";
import type { Caller, CallerRequest, TargetMessage, TargetResult } from "./exchange.ts";
import { createNotRunRefusal, Outcome, type Refusal, RefusalReason } from "./refusal.ts";
import {
  type ClaimDecision,
  type ClaimEnd,
  createProgress,
  decideProgress,
  type ProgressEffect,
  type ProgressEvent,
  type RequestProgress,
  RequestStage,
} from "./request_progress.ts";

/** The mailbox capacity of a request's task, in messages. */
const REQUEST_MAILBOX_CAPACITY = 16;

/** The retry delay for callers whose request met an overloaded task. */
const RETRY_AFTER_MILLISECONDS = 1_000;

/** Options of a `RequestTask`. */
export interface RequestTaskOptions {
  request: CallerRequest;
  /** The caller that waits for the answer. */
  caller: Caller;
  /** The dispatcher that starts requests. */
  dispatch: Address<DispatchMessage>;
  /** The links to the targets. */
  targets: Address<TargetMessage>;
  /** Decides on retries. */
  retries: Address<RetryMessage>;
  /** Decides on the claims of idempotency keys. */
  claims: Address<ClaimTaskMessage>;
  clock: ElapsedClock;
  log: EventLog;
  /** Called once when the caller has its outcome or has disconnected. */
  onOutcome?: (outcome: CallerOutcome) => void;
}

/** The outcome for the caller, and the time that it took. */
export interface CallerOutcome {
  /** `answered`, `left` if the caller disconnected, or the reason of a refusal. */
  told: string;
  /** The time since the arrival. */
  milliseconds: number;
}

/** The messages that `RequestTask` handles. */
export type RequestMessage = ProgressEvent | { kind: "arrive" };

/** Owns a request: its caller, its attempts, and the knowledge of whether it may have run. */
export class RequestTask extends Task<RequestMessage> {
  readonly #options: RequestTaskOptions;
  readonly #arrivedAt: number;
  #progress: RequestProgress;
  #deadline: number | undefined;
  #hasReportedOutcome = false;
  #callerOutcome = "left";

  private constructor(options: RequestTaskOptions) {
    super({
      name: `request ${options.request.requestId}`,
      mailboxCapacity: REQUEST_MAILBOX_CAPACITY,
    });
    const { request, clock } = options;
    this.#options = options;
    this.#arrivedAt = clock.getElapsed();
    this.#deadline = request.timeoutMilliseconds === undefined
      ? undefined
      : this.#arrivedAt + request.timeoutMilliseconds;
    const hasIdempotencyKey = request.idempotencyKey !== undefined;
    this.#progress = createProgress(
      hasIdempotencyKey ? RequestStage.Claiming : RequestStage.Waiting,
    );
  }

  /** Creates the task, which then requests a claim or its start. */
  static create(options: RequestTaskOptions): RequestTask {
    const task = new RequestTask(options);
    options.caller.onDisconnect(() => task.post({ kind: "caller-left" }));
    task.post({ kind: "arrive" });
    return task;
  }

  protected override receive(message: RequestMessage): void {
    if (message.kind === "arrive") return this.#arrive();
    const { progress, effects } = decideProgress(this.#progress, message);
    this.#progress = progress;
    for (const effect of effects) this.#runEffect(effect);
    const { stage } = progress;
    if (stage === RequestStage.Ended || stage === RequestStage.Abandoned) this.#reportOutcome();
  }

  override getState(): unknown {
    const { requestId, service } = this.#options.request;
    const { stage, attempt, mayHaveLeft } = this.#progress;
    return { requestId, service, stage, attempt, mayHaveLeft };
  }

  /** Gets the outcome as far as it is known, for the log of aborted requests. */
  getOutcome(): Outcome {
    const { stage, mayHaveLeft } = this.#progress;
    return mayHaveLeft || stage === RequestStage.Calling ? Outcome.Unknown : Outcome.NotRun;
  }

  #arrive(): void {
    if (this.#progress.stage === RequestStage.Claiming) return this.#askClaim();
    if (this.#progress.stage === RequestStage.Waiting) this.#askStart();
  }

  #runEffect(effect: ProgressEffect): void {
    const { caller, dispatch, targets } = this.#options;
    switch (effect.kind) {
      case "ask-start":
        return this.#askStart();
      case "cancel-arrival":
        dispatch.post({ kind: "cancelled", requestId: this.#getCallId() });
        return;
      case "call":
        return this.#call(effect.start);
      case "cancel-call":
        targets.post({
          kind: "cancel",
          address: effect.start.address,
          callId: this.#getCallId(),
        });
        return;
      case "ask-retry":
        return this.#askRetry(effect.mayHaveLeft);
      case "release":
        dispatch.post({
          kind: "ended",
          requestId: this.#getCallId(),
          ending: effect.ending,
          isFault: effect.isFault,
        });
        return;
      case "answer":
        this.#callerOutcome = "answered";
        return caller.answer(effect.answer);
      case "refuse":
        return this.#refuse(effect.refusal);
      case "end-claim":
        return this.#endClaim(effect.end);
    }
  }

  #askClaim(): void {
    const { request, claims } = this.#options;
    const timeoutMilliseconds = this.#getRemaining();
    void ask<ClaimTaskMessage, ClaimDecision>(
      claims,
      (reply) => ({ kind: "claim-wanted", request, timeoutMilliseconds, reply }),
      () => ({ outcome: "refused", refusal: createOverloadedRefusal() }),
    ).then((decision) => this.post({ kind: "claim-decided", decision }));
  }

  #endClaim(end: ClaimEnd): void {
    this.#options.claims.post({
      kind: "claim-ended",
      requestId: this.#options.request.requestId,
      end,
    });
  }

  #askStart(): void {
    const { request, dispatch } = this.#options;
    const arrival = {
      requestId: this.#getCallId(),
      service: request.service,
      presentedKey: request.presentedKey,
      deadline: this.#deadline,
      triedExecutors: this.#progress.triedExecutors,
    };
    void ask<DispatchMessage, ArrivalResult>(
      dispatch,
      (reply) => ({ kind: "arrived", arrival, reply }),
      () => ({ outcome: "refused", refusal: createOverloadedRefusal() }),
    ).then((result) => this.post({ kind: "decided", result }));
  }

  #call(start: StartGrant): void {
    const { request, targets, retries } = this.#options;
    this.#deadline ??= start.deadline;
    const call = {
      callId: this.#getCallId(),
      address: start.address,
      request,
      timeoutMilliseconds: Math.min(
        Math.floor(this.#getRemaining() ?? 0),
        start.longestRunMilliseconds,
      ),
      longestRunMilliseconds: start.longestRunMilliseconds,
      report: (result: TargetResult) => void this.post({ kind: "target-reported", result }),
    };
    if (call.timeoutMilliseconds <= 0) {
      return call.report(createUnsentResult("the deadline passed before the start"));
    }
    retries.post({
      kind: "started",
      service: request.service,
      presentedKey: request.presentedKey,
    });
    if (targets.post({ kind: "call", call })) return;
    call.report(createUnsentResult("this entry host is overloaded"));
  }

  #askRetry(mayHaveLeft: boolean): void {
    const { request, retries } = this.#options;
    const retryRequest = {
      service: request.service,
      presentedKey: request.presentedKey,
      method: request.method,
      hasIdempotencyKey: request.idempotencyKey !== undefined,
      mayHaveLeft: mayHaveLeft || this.#progress.mayHaveLeft,
      attempt: this.#progress.attempt,
      remainingMilliseconds: this.#getRemaining() ?? 0,
    };
    void ask<RetryMessage, boolean>(
      retries,
      (reply) => ({ kind: "retry-wanted", request: retryRequest, reply }),
      () => false,
    ).then((isAllowed) => this.post({ kind: "retry-decided", isAllowed }));
  }

  #refuse(refusal: Refusal): void {
    const { request, caller, log } = this.#options;
    this.#callerOutcome = refusal.reason;
    log("request-refused", {
      request: request.requestId,
      service: request.service,
      reason: refusal.reason,
      outcome: refusal.outcome,
    });
    caller.refuse(refusal);
  }

  #reportOutcome(): void {
    if (this.#hasReportedOutcome) return;
    this.#hasReportedOutcome = true;
    const milliseconds = this.#options.clock.getElapsed() - this.#arrivedAt;
    this.#options.onOutcome?.({ told: this.#callerOutcome, milliseconds });
  }

  /** Gets the time until the caller's deadline, if it is known. */
  #getRemaining(): number | undefined {
    const { clock } = this.#options;
    return this.#deadline === undefined ? undefined : this.#deadline - clock.getElapsed();
  }

  /** Gets the id of the current attempt at the dispatcher and at the link. */
  #getCallId(): string {
    const { requestId } = this.#options.request;
    const { attempt } = this.#progress;
    return attempt === 1 ? requestId : `${requestId}.${attempt}`;
  }
}

function createOverloadedRefusal(): Refusal {
  return createNotRunRefusal(
    RefusalReason.QueueFull,
    "this entry host is overloaded",
    RETRY_AFTER_MILLISECONDS,
  );
}

function createUnsentResult(reason: string): TargetResult {
  return { outcome: "failed", reason, mayHaveLeft: false, isFault: false };
}
