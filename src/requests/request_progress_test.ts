import test from "ava";
import fc from "fast-check";
import { decideRetry } from "./attempts/retry_decision.ts";
import type { StartGrant } from "./dispatch_messages.ts";
import type { TargetAnswer } from "./exchange.ts";
import { createNotRunRefusal, Outcome, type Refusal, RefusalReason } from "./refusal.ts";
import {
  createProgress,
  type DecideProgress,
  decideProgress,
  type ProgressEffect,
  type ProgressEvent,
  type RequestProgress,
  RequestStage,
} from "./request_progress.ts";

const SEED = 11;
const ANSWER: TargetAnswer = { status: 200, headers: {}, body: new Uint8Array() };
const REFUSAL = createNotRunRefusal(RefusalReason.OverLimit, "over the limit");

/** The random moves of a run; a move that is not possible in the current state is skipped. */
const MOVES = [
  "claim",
  "refuse-claim",
  "start",
  "refuse-start",
  "leave",
  "answer",
  "reset",
  "time-out",
  "end-work",
  "lose-answer",
  "disconnect",
] as const;

/** Simulates the caller, target, dispatcher and claim holders of a request, and knows whether it was sent. */
class RequestSimulation {
  readonly trace: string[] = [];
  readonly violations: string[] = [];
  readonly #decide: DecideProgress;
  readonly #method: string;
  readonly #hasKey: boolean;
  #progress: RequestProgress;
  #sent = 0;
  #outcomes = 0;
  #call: { isSent: boolean; isAbandoned: boolean } | undefined;
  #isStartRequested = false;
  #heldPermits = 0;
  #hasClaim = false;

  constructor(method: string, hasKey: boolean, decide: DecideProgress) {
    this.#decide = decide;
    this.#method = method;
    this.#hasKey = hasKey;
    this.#progress = createProgress(hasKey ? RequestStage.Claiming : RequestStage.Waiting);
    this.#isStartRequested = !hasKey;
  }

  /** Makes a move, if it is possible in the current state. */
  move(move: typeof MOVES[number]): void {
    const { stage } = this.#progress;
    const call = this.#call;
    if (move === "disconnect") return this.#handle({ kind: "caller-left" });
    if (stage === RequestStage.Claiming && move === "claim") {
      this.#hasClaim = true;
      return this.#handle({ kind: "claim-decided", decision: { outcome: "granted" } });
    }
    if (stage === RequestStage.Claiming && move === "refuse-claim") {
      const decision = { outcome: "refused", refusal: REFUSAL } as const;
      return this.#handle({ kind: "claim-decided", decision });
    }
    if (this.#isStartRequested && move === "start") return this.#start();
    if (this.#isStartRequested && move === "refuse-start") {
      this.#isStartRequested = false;
      return this.#handle({ kind: "decided", result: { outcome: "refused", refusal: REFUSAL } });
    }
    if (call !== undefined) this.#moveCall(move, call);
  }

  /** Ends everything that is still open, and checks that every permit was released. */
  finish(): void {
    if (this.#isStartRequested) this.move("start");
    if (this.#call?.isAbandoned === false) this.move("time-out");
    if (this.#call !== undefined) this.move("lose-answer");
    if (this.#progress.stage === RequestStage.Claiming) this.move("claim");
    for (const move of MOVES.slice(2)) if (this.#isStartRequested) this.move(move);
    if (this.#call?.isAbandoned === false) this.move("time-out");
    if (this.#call !== undefined) this.move("lose-answer");
    if (this.#heldPermits > 0) this.violations.push("a permit was never released");
  }

  #moveCall(move: typeof MOVES[number], call: { isSent: boolean; isAbandoned: boolean }): void {
    switch (move) {
      case "leave":
        if (!call.isSent) this.#sent += 1;
        call.isSent = true;
        return;
      case "answer":
        if (!call.isSent || call.isAbandoned) return;
        this.#call = undefined;
        return this.#report({ outcome: "answered", answer: ANSWER });
      case "reset":
        if (call.isAbandoned) return;
        this.#call = undefined;
        return this.#report({
          outcome: "failed",
          reason: "reset",
          mayHaveLeft: call.isSent,
          isFault: true,
        });
      case "time-out":
        return this.#abandon(call);
      case "end-work":
      case "lose-answer": {
        if (!call.isAbandoned) return;
        this.#call = undefined;
        const answer = move === "end-work" ? ANSWER : undefined;
        return this.#report({ outcome: "work-ended", answer });
      }
    }
  }

  #abandon(call: { isSent: boolean; isAbandoned: boolean }): void {
    if (call.isAbandoned) return;
    if (!call.isSent) {
      this.#call = undefined;
      return this.#report({ outcome: "failed", reason: "time", mayHaveLeft: false, isFault: true });
    }
    call.isAbandoned = true;
    this.#report({ outcome: "abandoned", reason: "time", isFault: true });
  }

  #start(): void {
    this.#isStartRequested = false;
    this.#heldPermits += 1;
    const start: StartGrant = {
      executor: `executor-${this.#progress.attempt}`,
      address: "127.0.0.1:1",
      deadline: 1_000,
      longestRunMilliseconds: 1_000,
    };
    this.#handle({ kind: "decided", result: { outcome: "started", start } });
  }

  #report(result: Extract<ProgressEvent, { kind: "target-reported" }>["result"]): void {
    this.#handle({ kind: "target-reported", result });
  }

  #handle(event: ProgressEvent): void {
    const { progress, effects } = this.#decide(this.#progress, event);
    this.#progress = progress;
    this.trace.push(`${describe(event)} > ${progress.stage}: ${effects.map(describe).join()}`);
    for (const effect of effects) this.#runEffect(effect);
  }

  #runEffect(effect: ProgressEffect): void {
    switch (effect.kind) {
      case "ask-start":
        this.#isStartRequested = true;
        return;
      case "call":
        if (this.#sent > 0 && this.#method === "POST") {
          this.violations.push("the request was sent twice");
        }
        this.#call = { isSent: false, isAbandoned: false };
        return;
      case "cancel-call":
        return this.#call === undefined ? undefined : this.#abandon(this.#call);
      case "ask-retry":
        return this.#decideRetry(effect.mayHaveLeft);
      case "release":
        if (effect.ending !== "may-be-running" || this.#heldPermits > 0) this.#heldPermits = 0;
        return;
      case "answer":
        return this.#countOutcome();
      case "refuse":
        return this.#checkRefusal(effect.refusal);
      case "end-claim":
        if (!this.#hasClaim) this.violations.push("a claim ended that was not held");
        if (effect.end.outcome === "not-run" && this.#sent > 0) {
          this.violations.push("a claim was released after a byte was sent");
        }
        return;
    }
  }

  #decideRetry(mayHaveLeft: boolean): void {
    const isAllowed = decideRetry({
      method: this.#method,
      isIdempotentByProfile: false,
      hasIdempotencyKey: this.#hasKey,
      mayHaveLeft: mayHaveLeft || this.#progress.mayHaveLeft,
      attempt: this.#progress.attempt,
      remainingMilliseconds: 100,
      hasBudget: true,
    });
    this.#handle({ kind: "retry-decided", isAllowed });
  }

  #checkRefusal(refusal: Refusal): void {
    this.#countOutcome();
    if (refusal.outcome === Outcome.NotRun && this.#sent > 0) {
      this.violations.push("refused with not-run after a byte was sent");
    }
  }

  #countOutcome(): void {
    this.#outcomes += 1;
    if (this.#outcomes > 1) this.violations.push("a second outcome");
  }
}

function describe(item: ProgressEvent | ProgressEffect): string {
  const fields = item as unknown as Record<string, Record<string, unknown>>;
  const detail = fields["result"]?.["outcome"] ?? fields["refusal"]?.["outcome"] ??
    fields["end"]?.["outcome"] ?? fields["decision"]?.["outcome"] ?? fields["ending"] ?? "";
  return `${item.kind} ${detail}`.trim();
}

function runSimulation(
  moves: readonly (typeof MOVES[number])[],
  method: string,
  hasKey: boolean,
  decide: DecideProgress,
): RequestSimulation {
  const simulation = new RequestSimulation(method, hasKey, decide);
  for (const move of moves) simulation.move(move);
  simulation.finish();
  return simulation;
}

function findViolations(decide: DecideProgress): string[] {
  const found = new Set<string>();
  fc.assert(
    fc.property(
      fc.array(fc.constantFrom(...MOVES), { maxLength: 40 }),
      fc.constantFrom("GET", "POST"),
      fc.boolean(),
      (moves, method, hasKey) => {
        for (const violation of runSimulation(moves, method, hasKey, decide).violations) {
          found.add(violation);
        }
      },
    ),
    { seed: SEED, numRuns: 20_000 },
  );
  return [...found].sort();
}

test("a request has one outcome, not-run only if no byte was sent, no second send and no leaked permit in random runs", (t) => {
  t.deepEqual(findViolations(decideProgress), []);
});

test("the simulation detects wrong decisions", (t) => {
  const trustLastRefusal: DecideProgress = (progress, event) =>
    decideProgress({ ...progress, mayHaveLeft: false }, event);
  const retryAlways: DecideProgress = (progress, event) =>
    decideProgress(
      progress,
      event.kind === "retry-decided" ? { kind: "retry-decided", isAllowed: true } : event,
    );
  const leakPermits: DecideProgress = (progress, event) => {
    const step = decideProgress(progress, event);
    return { ...step, effects: step.effects.filter((effect) => effect.kind !== "release") };
  };
  t.snapshot([trustLastRefusal, retryAlways, leakPermits].map(findViolations));
});

test("traces of a request", (t) => {
  const traces: Record<string, (typeof MOVES[number])[]> = {
    "answered": ["start", "leave", "answer"],
    "refused before a start": ["refuse-start"],
    "not reached, then answered by another executor": [
      "start",
      "reset",
      "start",
      "leave",
      "answer",
    ],
    "reset after the request was sent": ["start", "leave", "reset"],
    "timed out, and its work ended later": ["start", "leave", "time-out", "end-work"],
    "the caller disconnected while the request waited, and the start arrived late": [
      "disconnect",
      "start",
    ],
    "the caller disconnected before a byte was sent": ["start", "disconnect"],
    "the caller disconnected after a byte was sent": ["start", "leave", "disconnect", "end-work"],
  };
  t.snapshot(
    Object.fromEntries(
      Object.entries(traces).map(([name, moves]) => [
        name,
        runSimulation(moves, "POST", false, decideProgress).trace,
      ]),
    ),
  );
  t.snapshot({
    "with a key, answered":
      runSimulation(["claim", "start", "leave", "answer"], "POST", true, decideProgress)
        .trace,
    "with a key, answered after the caller disconnected": runSimulation(
      ["claim", "start", "leave", "disconnect", "end-work"],
      "POST",
      true,
      decideProgress,
    ).trace,
    "with a key, refused by the dispatcher":
      runSimulation(["claim", "refuse-start"], "POST", true, decideProgress)
        .trace,
  });
});
