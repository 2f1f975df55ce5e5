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

/** What chance does at each step; the world allows it only where it can happen. */
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
  "lose-work",
  "go-away",
] as const;

/** A target, a dispatch and holders of claims that know the truth of one request. */
class RequestWorld {
  readonly session: string[] = [];
  readonly faults: string[] = [];
  readonly #decide: DecideProgress;
  readonly #method: string;
  readonly #hasKey: boolean;
  #progress: RequestProgress;
  #sent = 0;
  #outcomes = 0;
  #call: { hasLeft: boolean; isAbandoned: boolean } | undefined;
  #isAsking = false;
  #held = 0;
  #hasClaim = false;

  constructor(method: string, hasKey: boolean, decide: DecideProgress) {
    this.#decide = decide;
    this.#method = method;
    this.#hasKey = hasKey;
    this.#progress = createProgress(hasKey ? RequestStage.Claiming : RequestStage.Waiting);
    this.#isAsking = !hasKey;
  }

  /** Makes one move, if the world is in a state in which it can happen. */
  move(move: typeof MOVES[number]): void {
    const { stage } = this.#progress;
    const call = this.#call;
    if (move === "go-away") return this.#handle({ kind: "caller-left" });
    if (stage === RequestStage.Claiming && move === "claim") {
      this.#hasClaim = true;
      return this.#handle({ kind: "claim-decided", decision: { outcome: "granted" } });
    }
    if (stage === RequestStage.Claiming && move === "refuse-claim") {
      const decision = { outcome: "refused", refusal: REFUSAL } as const;
      return this.#handle({ kind: "claim-decided", decision });
    }
    if (this.#isAsking && move === "start") return this.#start();
    if (this.#isAsking && move === "refuse-start") {
      this.#isAsking = false;
      return this.#handle({ kind: "decided", result: { outcome: "refused", refusal: REFUSAL } });
    }
    if (call !== undefined) this.#moveCall(move, call);
  }

  /** Ends what is still open, and checks the sum. */
  finish(): void {
    if (this.#isAsking) this.move("start");
    if (this.#call?.isAbandoned === false) this.move("time-out");
    if (this.#call !== undefined) this.move("lose-work");
    if (this.#progress.stage === RequestStage.Claiming) this.move("claim");
    for (const move of MOVES.slice(2)) if (this.#isAsking) this.move(move);
    if (this.#call?.isAbandoned === false) this.move("time-out");
    if (this.#call !== undefined) this.move("lose-work");
    if (this.#held > 0) this.faults.push("a permit was never released");
  }

  #moveCall(move: typeof MOVES[number], call: { hasLeft: boolean; isAbandoned: boolean }): void {
    switch (move) {
      case "leave":
        if (!call.hasLeft) this.#sent += 1;
        call.hasLeft = true;
        return;
      case "answer":
        if (!call.hasLeft || call.isAbandoned) return;
        this.#call = undefined;
        return this.#report({ outcome: "answered", answer: ANSWER });
      case "reset":
        if (call.isAbandoned) return;
        this.#call = undefined;
        return this.#report({
          outcome: "failed",
          reason: "reset",
          mayHaveLeft: call.hasLeft,
          isFault: true,
        });
      case "time-out":
        return this.#abandon(call);
      case "end-work":
      case "lose-work": {
        if (!call.isAbandoned) return;
        this.#call = undefined;
        const answer = move === "end-work" ? ANSWER : undefined;
        return this.#report({ outcome: "work-ended", answer });
      }
    }
  }

  #abandon(call: { hasLeft: boolean; isAbandoned: boolean }): void {
    if (call.isAbandoned) return;
    if (!call.hasLeft) {
      this.#call = undefined;
      return this.#report({ outcome: "failed", reason: "time", mayHaveLeft: false, isFault: true });
    }
    call.isAbandoned = true;
    this.#report({ outcome: "abandoned", reason: "time", isFault: true });
  }

  #start(): void {
    this.#isAsking = false;
    this.#held += 1;
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
    this.session.push(`${describe(event)} > ${progress.stage}: ${effects.map(describe).join()}`);
    for (const effect of effects) this.#run(effect);
  }

  #run(effect: ProgressEffect): void {
    switch (effect.kind) {
      case "ask-start":
        this.#isAsking = true;
        return;
      case "call":
        if (this.#sent > 0 && this.#method === "POST") this.faults.push("sent twice");
        this.#call = { hasLeft: false, isAbandoned: false };
        return;
      case "cancel-call":
        return this.#call === undefined ? undefined : this.#abandon(this.#call);
      case "ask-retry":
        return this.#decideRetry(effect.mayHaveLeft);
      case "release":
        if (effect.ending !== "may-be-running" || this.#held > 0) this.#held = 0;
        return;
      case "answer":
        return this.#countOutcome();
      case "refuse":
        return this.#checkRefusal(effect.refusal);
      case "end-claim":
        if (!this.#hasClaim) this.faults.push("a claim ended that was not held");
        if (effect.end.outcome === "not-run" && this.#sent > 0) {
          this.faults.push("a claim was released after a byte had left");
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
      this.faults.push("refused with not-run after a byte had left");
    }
  }

  #countOutcome(): void {
    this.#outcomes += 1;
    if (this.#outcomes > 1) this.faults.push("a second outcome");
  }
}

function describe(item: ProgressEvent | ProgressEffect): string {
  const fields = item as unknown as Record<string, Record<string, unknown>>;
  const detail = fields["result"]?.["outcome"] ?? fields["refusal"]?.["outcome"] ??
    fields["end"]?.["outcome"] ?? fields["decision"]?.["outcome"] ?? fields["ending"] ?? "";
  return `${item.kind} ${detail}`.trim();
}

function runWorld(
  moves: readonly (typeof MOVES[number])[],
  method: string,
  hasKey: boolean,
  decide: DecideProgress,
): RequestWorld {
  const world = new RequestWorld(method, hasKey, decide);
  for (const move of moves) world.move(move);
  world.finish();
  return world;
}

function findFaults(decide: DecideProgress): string[] {
  const found = new Set<string>();
  fc.assert(
    fc.property(
      fc.array(fc.constantFrom(...MOVES), { maxLength: 40 }),
      fc.constantFrom("GET", "POST"),
      fc.boolean(),
      (moves, method, hasKey) => {
        for (const fault of runWorld(moves, method, hasKey, decide).faults) found.add(fault);
      },
    ),
    { seed: SEED, numRuns: 20_000 },
  );
  return [...found].sort();
}

test("one outcome, a true not-run, no second send and no lost permit, whatever happens when", (t) => {
  t.deepEqual(findFaults(decideProgress), []);
});

test("the check finds decisions that are wrong", (t) => {
  const believeLastRefusal: DecideProgress = (progress, event) =>
    decideProgress({ ...progress, mayHaveLeft: false }, event);
  const retryAlways: DecideProgress = (progress, event) =>
    decideProgress(
      progress,
      event.kind === "retry-decided" ? { kind: "retry-decided", isAllowed: true } : event,
    );
  const forgetPermits: DecideProgress = (progress, event) => {
    const step = decideProgress(progress, event);
    return { ...step, effects: step.effects.filter((effect) => effect.kind !== "release") };
  };
  t.snapshot([believeLastRefusal, retryAlways, forgetPermits].map(findFaults));
});

test("sessions of one request", (t) => {
  const sessions: Record<string, (typeof MOVES[number])[]> = {
    "answered": ["start", "leave", "answer"],
    "refused before a start": ["refuse-start"],
    "not reached, then answered elsewhere": ["start", "reset", "start", "leave", "answer"],
    "reset after its last byte": ["start", "leave", "reset"],
    "timed out, and its work ended later": ["start", "leave", "time-out", "end-work"],
    "the caller left while it waited, and the start came late": ["go-away", "start"],
    "the caller left before a byte": ["start", "go-away"],
    "the caller left after a byte": ["start", "leave", "go-away", "end-work"],
  };
  t.snapshot(
    Object.fromEntries(
      Object.entries(sessions).map(([name, moves]) => [
        name,
        runWorld(moves, "POST", false, decideProgress).session,
      ]),
    ),
  );
  t.snapshot({
    "with a key, answered":
      runWorld(["claim", "start", "leave", "answer"], "POST", true, decideProgress)
        .session,
    "with a key, answered after the caller left": runWorld(
      ["claim", "start", "leave", "go-away", "end-work"],
      "POST",
      true,
      decideProgress,
    ).session,
    "with a key, refused by dispatch":
      runWorld(["claim", "refuse-start"], "POST", true, decideProgress)
        .session,
  });
});
