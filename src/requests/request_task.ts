/** One request from its caller to a target and back. */

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

/** The messages that one request can get. */
const REQUEST_MAILBOX_CAPACITY = 16;

/** When a caller who met a full task should try again. */
const FULL_RETRY_MILLISECONDS = 1_000;

/** Options of a `RequestTask`. */
export interface RequestTaskOptions {
  /** The request. */
  request: CallerRequest;
  /** Who waits for its answer. */
  caller: Caller;
  /** The dispatch that starts requests. */
  dispatch: Address<DispatchMessage>;
  /** The links to the targets. */
  targets: Address<TargetMessage>;
  /** Allows further attempts. */
  retries: Address<RetryMessage>;
  /** Keeps the claims of idempotency keys. */
  claims: Address<ClaimTaskMessage>;
  /** The clock of elapsed time. */
  clock: ElapsedClock;
  /** The log of events. */
  log: EventLog;
  /** Called once when the caller has its outcome or has left. */
  onSettled?: (settled: CallerOutcome) => void;
}

/** What a caller was told, and when. */
export interface CallerOutcome {
  /** `answered`, `left`, or the reason of a refusal. */
  told: string;
  /** The time from the arrival. */
  milliseconds: number;
}

/** The messages that a `RequestTask` takes. */
export type RequestMessage = ProgressEvent | { kind: "arrive" };

/** Owns one request: its caller, its attempts, and the truth about whether it ran. */
export class RequestTask extends Task<RequestMessage> {
  readonly #options: RequestTaskOptions;
  readonly #arrivedAt: number;
  #progress: RequestProgress;
  #deadline: number | undefined;
  #isSettled = false;
  #told = "left";

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
    const hasKey = request.idempotencyKey !== undefined;
    this.#progress = createProgress(hasKey ? RequestStage.Claiming : RequestStage.Waiting);
  }

  /** Creates the task and asks for leave to start. */
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
    for (const effect of effects) this.#run(effect);
    const { stage } = progress;
    if (stage === RequestStage.Ended || stage === RequestStage.Abandoned) this.#settle();
  }

  override getState(): unknown {
    const { requestId, service } = this.#options.request;
    const { stage, attempt, mayHaveLeft } = this.#progress;
    return { requestId, service, stage, attempt, mayHaveLeft };
  }

  /** Gets what is known of the request, for the log of what a stop cuts. */
  getOutcome(): Outcome {
    const { stage, mayHaveLeft } = this.#progress;
    return mayHaveLeft || stage === RequestStage.Calling ? Outcome.Unknown : Outcome.NotRun;
  }

  #arrive(): void {
    if (this.#progress.stage === RequestStage.Claiming) return this.#askClaim();
    if (this.#progress.stage === RequestStage.Waiting) this.#askStart();
  }

  #run(effect: ProgressEffect): void {
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
        this.#told = "answered";
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
      () => ({ outcome: "refused", refusal: createFull() }),
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
      () => ({ outcome: "refused", refusal: createFull() }),
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
      return call.report(createUnsent("the deadline passed before the start"));
    }
    retries.post({
      kind: "started",
      service: request.service,
      presentedKey: request.presentedKey,
    });
    if (targets.post({ kind: "call", call })) return;
    call.report(createUnsent("this entry host is full"));
  }

  #askRetry(mayHaveLeft: boolean): void {
    const { request, retries } = this.#options;
    const wanted = {
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
      (reply) => ({ kind: "retry-wanted", request: wanted, reply }),
      () => false,
    ).then((isAllowed) => this.post({ kind: "retry-decided", isAllowed }));
  }

  #refuse(refusal: Refusal): void {
    const { request, caller, log } = this.#options;
    this.#told = refusal.reason;
    log("request-refused", {
      request: request.requestId,
      service: request.service,
      reason: refusal.reason,
      outcome: refusal.outcome,
    });
    caller.refuse(refusal);
  }

  #settle(): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    const milliseconds = this.#options.clock.getElapsed() - this.#arrivedAt;
    this.#options.onSettled?.({ told: this.#told, milliseconds });
  }

  /** Gets the time until the caller stops waiting, if it is known. */
  #getRemaining(): number | undefined {
    const { clock } = this.#options;
    return this.#deadline === undefined ? undefined : this.#deadline - clock.getElapsed();
  }

  /** Gets the id of the current attempt at dispatch and at the link. */
  #getCallId(): string {
    const { requestId } = this.#options.request;
    const { attempt } = this.#progress;
    return attempt === 1 ? requestId : `${requestId}.${attempt}`;
  }
}

function createFull(): Refusal {
  return createNotRunRefusal(
    RefusalReason.QueueFull,
    "this entry host is full",
    FULL_RETRY_MILLISECONDS,
  );
}

function createUnsent(reason: string): TargetResult {
  return { outcome: "failed", reason, mayHaveLeft: false, isFault: false };
}
