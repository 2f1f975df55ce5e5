/** Compares the ledgers of callers and executors, and reports every violated invariant. */

import { type CallerEntry, CallerOutcome } from "./callers.ts";
import type { ExecutorLedger } from "./rig.ts";

/** A period in which requests must not start. */
export interface Restriction {
  /** The team whose requests must not start; `undefined` for all teams. */
  team?: string;
  /** The executors on which no request must start; `undefined` for all executors. */
  executors?: readonly string[];
  /** When the restriction was accepted, in wall time. */
  from: number;
  /** When the restriction ended, in wall time. */
  until: number;
}

/** Options of `reconcile`. */
export interface ReconcileOptions {
  /** The callers' ledger. */
  callers: readonly CallerEntry[];
  /** The executors' ledgers. */
  executors: readonly ExecutorLedger[];
  /** The upper limit of concurrent requests, by team. */
  limits: Readonly<Record<string, number>>;
  /** The number of slots of an executor. */
  slots: number;
  /** The restrictions by operators. */
  restrictions: readonly Restriction[];
  /** The time within which a restriction must take effect. */
  restrictionMilliseconds: number;
}

interface Run {
  id: string;
  team: string;
  executor: string;
  startedAt: number;
  endedAt: number;
}

/** Gets the violated invariants; empty if all hold. */
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
    const violations: string[] = [];
    if (caller.told === CallerOutcome.Wrong) {
      violations.push(`${caller.id} got the answer to another request`);
    }
    if (caller.told === CallerOutcome.NotRun && count > 0) {
      violations.push(`${caller.id} ran, but was refused as ${caller.reason}`);
    }
    if (caller.told === CallerOutcome.Answered && count === 0) {
      violations.push(`${caller.id} was answered, but never ran`);
    }
    if (caller.isAtMostOnce && count > 1) {
      violations.push(`${caller.id} ran ${count} times, at most 1 allowed`);
    }
    return violations;
  });
}

function checkLimits(options: ReconcileOptions, runs: readonly Run[]): string[] {
  const violations: string[] = [];
  for (const [team, limit] of Object.entries(options.limits)) {
    const maximum = getMaximumConcurrency(runs.filter((run) => run.team === team));
    if (maximum > limit) {
      violations.push(`team ${team} had ${maximum} running requests, limit ${limit}`);
    }
  }
  for (const { name } of options.executors) {
    const maximum = getMaximumConcurrency(runs.filter((run) => run.executor === name));
    if (maximum > options.slots) {
      violations.push(`${name} had ${maximum} running requests, ${options.slots} slots`);
    }
  }
  return violations;
}

/** Gets the maximum number of concurrent runs. A run that ends in the millisecond of a start does not overlap it. */
export function getMaximumConcurrency(
  runs: readonly { startedAt: number; endedAt: number }[],
): number {
  const changes = runs.flatMap((run) => [
    { at: run.startedAt, change: 1 },
    { at: run.endedAt, change: -1 },
  ]);
  changes.sort((first, second) => first.at - second.at || first.change - second.change);
  let running = 0;
  let maximum = 0;
  for (const { change } of changes) {
    running += change;
    maximum = Math.max(maximum, running);
  }
  return maximum;
}

function checkRestrictions(options: ReconcileOptions, runs: readonly Run[]): string[] {
  return options.restrictions.flatMap((restriction) => {
    const { team, executors, from, until } = restriction;
    const lateRuns = runs.filter((run) =>
      (team === undefined || run.team === team) &&
      (executors === undefined || executors.includes(run.executor)) &&
      run.startedAt > from + options.restrictionMilliseconds && run.startedAt < until
    );
    if (lateRuns.length === 0) return [];
    const latest = Math.max(...lateRuns.map((run) => run.startedAt)) - from;
    return [
      `${lateRuns.length} starts up to ${latest} ms after ${
        team ?? executors?.join(", ")
      } was restricted`,
    ];
  });
}
