import test from "ava";
import { CallerOutcome } from "./callers.ts";
import { reconcile, type ReconcileOptions } from "./reconcile.ts";

const WHOLE: ReconcileOptions = {
  callers: [
    { id: "t-1", team: "t", isAtMostOnce: true, told: CallerOutcome.Answered, reason: "" },
    { id: "t-2", team: "t", isAtMostOnce: true, told: CallerOutcome.NotRun, reason: "over-limit" },
    { id: "t-3", team: "t", isAtMostOnce: false, told: CallerOutcome.Unknown, reason: "" },
  ],
  executors: [{
    name: "e-1",
    ledger: [
      { requestId: "a", path: "/?caller=t-1", startedAt: 100, endedAt: 200 },
      { requestId: "b", path: "/?caller=t-3", startedAt: 200, endedAt: 300 },
      { requestId: "c", path: "/?caller=t-3", startedAt: 300, endedAt: 400 },
    ],
  }],
  limits: { t: 1 },
  slots: 1,
  restrictions: [{ team: "t", from: 100, until: 200 }],
  restrictionMilliseconds: 50,
};

test("each invariant that is broken is named", (t) => {
  const callers = WHOLE.callers;
  const [executor] = WHOLE.executors;
  const broken: Record<string, Partial<ReconcileOptions>> = {
    "nothing": {},
    "a crossed answer": { callers: [{ ...callers[0]!, told: CallerOutcome.Wrong }] },
    "not run, but it ran": {
      callers: [{ ...callers[0]!, told: CallerOutcome.NotRun, reason: "no-host" }],
    },
    "answered, but it never ran": { callers: [{ ...callers[1]!, told: CallerOutcome.Answered }] },
    "run twice": { callers: [{ ...callers[2]!, isAtMostOnce: true }] },
    "over the limit": {
      executors: [{
        name: "e-1",
        ledger: executor!.ledger.map((run) => ({ ...run, endedAt: 500 })),
      }],
    },
    "a late start": { restrictions: [{ executors: ["e-1"], from: 100, until: 1_000 }] },
  };
  t.snapshot(
    Object.entries(broken).map(([name, change]) =>
      `${name}: ${reconcile({ ...WHOLE, ...change }).join("; ") || "all hold"}`
    ),
  );
});
