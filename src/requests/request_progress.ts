/** The progress of a request, as a state machine that decides its next effects and its outcome. */

import { type ArrivalResult, Ending, type StartGrant } from "./dispatch_messages.ts";
import type { TargetAnswer, TargetResult } from "./exchange.ts";
import { createNotRunRefusal, Outcome, type Refusal, RefusalReason } from "./refusal.ts";

/** The stages of a request. */
export const RequestStage = {
  /** It waits for the claim on its idempotency key. */
  Claiming: "claiming",
  /** It waits for the dispatcher to start it. */
  Waiting: "waiting",
  /** It is on a link; only the link knows whether a byte was sent. */
  Calling: "calling",
  /** An attempt has failed, and it waits for the decision on a retry. */
  AwaitingRetry: "reconsidering",
  /** The caller has its outcome or has disconnected, but the target may still be running the request. */
  Abandoned: "abandoned",
  /** The request has no further effects on the caller or the target. */
  Ended: "ended",
} as const;

/** One of the stages of a request. */
export type RequestStage = (typeof RequestStage)[keyof typeof RequestStage];

/** The state of a request. */
export interface RequestProgress {
  readonly stage: RequestStage;
  /** Whether a byte may have been sent to any target; once true, it stays true. */
  readonly mayHaveLeft: boolean;
  /** Whether the request holds the claim on its idempotency key. */
  readonly hasClaim: boolean;
  /** The number of the attempt, counted from 1. */
  readonly attempt: number;
  /** The executors of the failed attempts. */
  readonly triedExecutors: readonly string[];
  /** The start of the current attempt. */
  readonly start: StartGrant | undefined;
  /** Why the last attempt failed. */
  readonly failure: string;
}

/** The decision on the claim of an idempotency key. */
export type ClaimDecision =
  | { outcome: "granted" }
  | { outcome: "answered"; answer: TargetAnswer }
  | { outcome: "refused"; refusal: Refusal };

/** An event of a request. */
export type ProgressEvent =
  | { kind: "claim-decided"; decision: ClaimDecision }
  /** The dispatcher has decided on the start. */
  | { kind: "decided"; result: ArrivalResult }
  | { kind: "target-reported"; result: TargetResult }
  | { kind: "retry-decided"; isAllowed: boolean }
  /** The caller has disconnected. */
  | { kind: "caller-left" };

/** The end of a claim. The claim of a request that may have run without an answer is not ended. */
export type ClaimEnd =
  | { outcome: "answered"; answer: TargetAnswer }
  | { outcome: "not-run" };

/** An effect of a step of a request. */
export type ProgressEffect =
  | { kind: "ask-start" }
  | { kind: "cancel-arrival" }
  | { kind: "call"; start: StartGrant }
  | { kind: "cancel-call"; start: StartGrant }
  | { kind: "ask-retry"; mayHaveLeft: boolean }
  | { kind: "release"; ending: Ending; isFault: boolean }
  | { kind: "answer"; answer: TargetAnswer }
  | { kind: "refuse"; refusal: Refusal }
  | { kind: "end-claim"; end: ClaimEnd };

/** The next progress of a request with the effects to run, in order. */
export interface ProgressStep {
  readonly progress: RequestProgress;
  readonly effects: readonly ProgressEffect[];
}

/** Decides the next step of a request. */
export type DecideProgress = (progress: RequestProgress, event: ProgressEvent) => ProgressStep;

/** Creates the progress of a new request. */
export function createProgress(stage: RequestStage): RequestProgress {
  return {
    stage,
    mayHaveLeft: false,
    hasClaim: false,
    attempt: 1,
    triedExecutors: [],
    start: undefined,
    failure: "",
  };
}

/** Decides the next step. The outcome is `NotRun` only while no attempt may have sent a byte. */
export const decideProgress: DecideProgress = (progress, event) => {
  switch (event.kind) {
    case "claim-decided":
      return decideOnClaim(progress, event.decision);
    case "decided":
      return decideOnStart(progress, event.result);
    case "target-reported":
      return decideOnReport(progress, event.result);
    case "retry-decided":
      return decideOnRetry(progress, event.isAllowed);
    case "caller-left":
      return decideOnDisconnect(progress);
  }
};

function decideOnClaim(progress: RequestProgress, decision: ClaimDecision): ProgressStep {
  if (progress.stage === RequestStage.Ended) {
    const effects = decision.outcome === "granted" ? [RELEASE_CLAIM] : [];
    return { progress, effects };
  }
  if (progress.stage !== RequestStage.Claiming) return keepProgress(progress);
  if (decision.outcome === "granted") {
    const next = { ...progress, stage: RequestStage.Waiting, hasClaim: true };
    return { progress: next, effects: [{ kind: "ask-start" }] };
  }
  if (decision.outcome === "refused") return refuse(progress, decision.refusal);
  return end(progress, [{ kind: "answer", answer: decision.answer }]);
}

function decideOnStart(progress: RequestProgress, result: ArrivalResult): ProgressStep {
  if (progress.stage === RequestStage.Ended) {
    const isStarted = result.outcome === "started";
    return { progress, effects: isStarted ? [createRelease(Ending.NotReached, false)] : [] };
  }
  if (progress.stage !== RequestStage.Waiting) return keepProgress(progress);
  if (result.outcome === "refused") return refuse(progress, result.refusal);
  const { start } = result;
  const next = { ...progress, stage: RequestStage.Calling, start };
  return { progress: next, effects: [{ kind: "call", start }] };
}

function decideOnReport(progress: RequestProgress, result: TargetResult): ProgressStep {
  if (progress.stage === RequestStage.Abandoned) return decideOnWorkEnd(progress, result);
  if (progress.stage !== RequestStage.Calling) return keepProgress(progress);
  switch (result.outcome) {
    case "answered":
      return decideOnAnswer(progress, result.answer);
    case "failed":
      return decideOnFailure(progress, result);
    case "abandoned": {
      const sent = { ...progress, mayHaveLeft: true };
      const step = refuse(sent, createNotRunRefusal(RefusalReason.DeadlinePassed, result.reason));
      const effects = [createRelease(Ending.MayBeRunning, result.isFault), ...step.effects];
      return { progress: { ...sent, stage: RequestStage.Abandoned }, effects };
    }
    case "work-ended":
      return keepProgress(progress);
  }
}

function decideOnAnswer(progress: RequestProgress, answer: TargetAnswer): ProgressStep {
  const sent = { ...progress, mayHaveLeft: true };
  const effects: ProgressEffect[] = [createReleaseAfter(answer), { kind: "answer", answer }];
  if (progress.hasClaim) {
    effects.push({ kind: "end-claim", end: { outcome: "answered", answer } });
  }
  return end(sent, effects);
}

function decideOnFailure(
  progress: RequestProgress,
  result: Extract<TargetResult, { outcome: "failed" }>,
): ProgressStep {
  const { mayHaveLeft, isFault, reason: failure } = result;
  const executor = progress.start?.executor;
  const next = {
    ...progress,
    stage: RequestStage.AwaitingRetry,
    mayHaveLeft: progress.mayHaveLeft || mayHaveLeft,
    triedExecutors: executor === undefined
      ? progress.triedExecutors
      : [...progress.triedExecutors, executor],
    start: undefined,
    failure,
  };
  const release = createRelease(mayHaveLeft ? Ending.MayBeRunning : Ending.NotReached, isFault);
  return { progress: next, effects: [release, { kind: "ask-retry", mayHaveLeft }] };
}

/** Handles the results of an abandoned call: releases the permit, and ends the claim with the answer. */
function decideOnWorkEnd(progress: RequestProgress, result: TargetResult): ProgressStep {
  if (result.outcome === "abandoned") {
    return { progress, effects: [createRelease(Ending.MayBeRunning, result.isFault)] };
  }
  if (result.outcome === "failed") {
    const ending = result.mayHaveLeft ? Ending.MayBeRunning : Ending.NotReached;
    const effects: ProgressEffect[] = [createRelease(ending, result.isFault)];
    const hasNotRun = progress.hasClaim && !progress.mayHaveLeft && !result.mayHaveLeft;
    if (hasNotRun) effects.push(RELEASE_CLAIM);
    return end(progress, effects);
  }
  if (result.answer === undefined) return end(progress, []);
  const effects: ProgressEffect[] = [createReleaseAfter(result.answer)];
  if (progress.hasClaim) {
    effects.push({ kind: "end-claim", end: { outcome: "answered", answer: result.answer } });
  }
  return end(progress, effects);
}

function decideOnRetry(progress: RequestProgress, isAllowed: boolean): ProgressStep {
  if (progress.stage !== RequestStage.AwaitingRetry) return keepProgress(progress);
  if (!isAllowed) {
    return refuse(progress, createNotRunRefusal(RefusalReason.TargetFailed, progress.failure));
  }
  const next = { ...progress, stage: RequestStage.Waiting, attempt: progress.attempt + 1 };
  return { progress: next, effects: [{ kind: "ask-start" }] };
}

function decideOnDisconnect(progress: RequestProgress): ProgressStep {
  const { stage, start } = progress;
  if (stage === RequestStage.Calling && start !== undefined) {
    const next = { ...progress, stage: RequestStage.Abandoned };
    return { progress: next, effects: [{ kind: "cancel-call", start }] };
  }
  if (stage === RequestStage.Abandoned || stage === RequestStage.Ended) {
    return keepProgress(progress);
  }
  const effects: ProgressEffect[] = [];
  if (stage === RequestStage.Waiting) effects.push({ kind: "cancel-arrival" });
  if (progress.hasClaim && !progress.mayHaveLeft) effects.push(RELEASE_CLAIM);
  return end(progress, effects);
}

const RELEASE_CLAIM: ProgressEffect = { kind: "end-claim", end: { outcome: "not-run" } };

/** Refuses a request with the outcome of all attempts, as the refusal's own outcome covers only the last one. */
function refuse(progress: RequestProgress, refusal: Refusal): ProgressStep {
  const outcome = progress.mayHaveLeft ? Outcome.Unknown : refusal.outcome;
  const effects: ProgressEffect[] = [{ kind: "refuse", refusal: { ...refusal, outcome } }];
  if (progress.hasClaim && outcome === Outcome.NotRun) effects.push(RELEASE_CLAIM);
  return end(progress, effects);
}

function end(progress: RequestProgress, effects: readonly ProgressEffect[]): ProgressStep {
  return { progress: { ...progress, stage: RequestStage.Ended }, effects };
}

function keepProgress(progress: RequestProgress): ProgressStep {
  return { progress, effects: [] };
}

function createRelease(ending: Ending, isFault: boolean): ProgressEffect {
  return { kind: "release", ending, isFault };
}

function createReleaseAfter(answer: TargetAnswer): ProgressEffect {
  const isError = answer.status >= 500;
  return createRelease(isError ? Ending.Failed : Ending.Completed, isError);
}
