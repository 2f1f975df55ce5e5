/** The dispatcher's part of the state dump. */

import type { Dispatcher } from "./dispatcher.ts";

/** Gets the permits, the queues and the running requests as plain data. */
export function getDispatchState(dispatcher: Dispatcher, now: number): unknown {
  const running = [...dispatcher.getRunning().getAll()];
  return {
    running: running.length,
    waiting: dispatcher.getWaitingCount(),
    runningByTeam: countBy(running.map((request) => request.team)),
    runningByExecutor: countBy(running.map((request) => request.executor)),
    queues: Object.fromEntries(
      dispatcher.getPools().getWaiting().map((pool) => [
        pool.service,
        Object.fromEntries(
          [...pool.getWaitingTeams()].map(({ team, queue }) => [team, queue.getLength()]),
        ),
      ]),
    ),
    medianMilliseconds: Object.fromEntries(
      [...dispatcher.getPools().getAll()].map((pool) => [
        pool.service,
        pool.times.getMedian(now),
      ]),
    ),
    permits: Object.fromEntries(
      [...dispatcher.getHolder().getHoldings()].filter((holding) => !holding.isEmpty())
        .map((holding) => [holding.resource, {
          keeper: holding.keeper,
          lent: holding.getTotal(),
          used: holding.getUsed(),
          demand: holding.getReportedDemand(),
        }]),
    ),
  };
}

function countBy(names: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1;
  return counts;
}
