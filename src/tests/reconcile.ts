/** Brings the ledgers of callers and executors together, and names every broken invariant. */

import { type CallerEntry, CallerOutcome } from "./callers.ts";
import type { ExecutorLedger } from "./rig.ts";

/** A time from which on something must not start any more, until it is allowed again. */
export interface Restriction {
  /** The team that may not start, or undefined for all. */
  team?: string;
  /** The executors on which nothing may start, or undefined for all. */
  executors?: readonly string[];
  /** When it was accepted, in wall milliseconds. */
  from: number;
  /** When it ended, in wall milliseconds. */
  until: number;
}

/** What is brought together. */
export interface ReconcileOptions {
  /** The callers' ledger. */
  callers: readonly CallerEntry[];
  /** The executors' ledgers. */
  executors: readonly ExecutorLedger[];
  /** The upper limit by team. */
  limits: Readonly<Record<string, number>>;
  /** The slots of an executor. */
  slots: number;
  /** What operators forbade. */
  restrictions: readonly Restriction[];
  /** The time after which a restriction must be in force. */
  restrictionMilliseconds: number;
}

interface Run {
  id: string;
  team: string;
  executor: string;
  startedAt: number;
  endedAt: number;
}

/** Gets the broken invariants; empty when all hold. */
export function reconcile(options: ReconcileOptions): string[] {
  const runs = collectRuns(options.executors);
  return [
    ...checkAnswers(options, runs),
    ...checkLimits(options, runs),
    ...checkRestrictions(options, runs),
  ];
}

function collectRuns(executors: readonly ExecutorLedger[]): Run[] {
  return executors.flatMap(({ name, ledger }) =>
    ledger.map((run) => {
      const id = new URLSearchParams(run.path.split("?")[1]).get("caller") ?? "";
      const team = id.replace(/-\d+$/, "");
      const endedAt = run.endedAt ?? Number.POSITIVE_INFINITY;
      return { id, team, executor: name, startedAt: run.startedAt, endedAt };
    })
  );
}

function checkAnswers(options: ReconcileOptions, runs: readonly Run[]): string[] {
  const counts = new Map<string, number>();
  for (const run of runs) counts.set(run.id, (counts.get(run.id) ?? 0) + 1);
  return options.callers.flatMap((caller) => {
    const count = counts.get(caller.id) ?? 0;
    const broken: string[] = [];
    if (caller.told === CallerOutcome.Wrong) broken.push(`${caller.id} got the answer of another`);
    if (caller.told === CallerOutcome.NotRun && count > 0) {
      broken.push(`${caller.id} ran, told ${caller.reason}`);
    }
    if (caller.told === CallerOutcome.Answered && count === 0) {
      broken.push(`${caller.id} answered, never ran`);
    }
    if (caller.isAtMostOnce && count > 1) broken.push(`${caller.id} ran ${count} times`);
    return broken;
  });
}

function checkLimits(options: ReconcileOptions, runs: readonly Run[]): string[] {
  const broken: string[] = [];
  for (const [team, limit] of Object.entries(options.limits)) {
    const most = getMaximumConcurrency(runs.filter((run) => run.team === team));
    if (most > limit) broken.push(`team ${team} had ${most} running, limit ${limit}`);
  }
  for (const { name } of options.executors) {
    const most = getMaximumConcurrency(runs.filter((run) => run.executor === name));
    if (most > options.slots) broken.push(`${name} had ${most} running, ${options.slots} slots`);
  }
  return broken;
}

/** Gets the most runs at once; a run that ended in the millisecond of a start has made room. */
export function getMaximumConcurrency(
  runs: readonly { startedAt: number; endedAt: number }[],
): number {
  const changes = runs.flatMap((run) => [
    { at: run.startedAt, change: 1 },
    { at: run.endedAt, change: -1 },
  ]);
  changes.sort((first, second) => first.at - second.at || first.change - second.change);
  let running = 0;
  let most = 0;
  for (const { change } of changes) {
    running += change;
    most = Math.max(most, running);
  }
  return most;
}

function checkRestrictions(options: ReconcileOptions, runs: readonly Run[]): string[] {
  return options.restrictions.flatMap((restriction) => {
    const { team, executors, from, until } = restriction;
    const late = runs.filter((run) =>
      (team === undefined || run.team === team) &&
      (executors === undefined || executors.includes(run.executor)) &&
      run.startedAt > from + options.restrictionMilliseconds && run.startedAt < until
    );
    if (late.length === 0) return [];
    const latest = Math.max(...late.map((run) => run.startedAt)) - from;
    return [
      `${late.length} starts up to ${latest} ms after ${team ?? executors?.join(", ")} was out`,
    ];
  });
}
