/** Throttles filler tasks while they slow down serving tasks on the same executor. */

import type { AssignedRun, Executor } from "../fleet/executor.ts";
import { RunStage } from "../fleet/run.ts";
import type { FleetState } from "./fleet_state.ts";
import { type OrderAnswer, OrderOutcome, type PaceOrder } from "./owner_ports.ts";

/**
 * The minimum interval between pace orders for a run, in milliseconds: the time for a report to show
 * the effect of the previous order.
 */
const PACE_INTERVAL_MILLISECONDS = 600;
/** The ratio of tail latency to its limit above which fillers are slowed. */
const SLOW_DOWN_RATIO = 0.9;
/** The ratio of tail latency to its limit below which fillers are sped up. */
const SPEED_UP_RATIO = 0.7;
/** The pace increase per step, in percent of full speed. */
const INCREASE_PERCENT = 15;
const FULL_PERCENT = 100;

/** Decides about the pace of filler tasks. */
export class PaceControl {
  readonly #state: FleetState;

  private constructor(state: FleetState) {
    this.#state = state;
  }

  /** Creates the control of a state's fillers. */
  static create(state: FleetState): PaceControl {
    return new PaceControl(state);
  }

  /** Adjusts the pace of all fillers. */
  tick(): void {
    for (const executor of this.#state.executors.values()) {
      const fillers = [...executor.runs.values()].filter(isRunningFiller);
      if (fillers.length > 0) this.#adjust(executor, fillers);
    }
  }

  /** Handles the answer to a pace order. */
  handleAnswer(order: PaceOrder, answer: OrderAnswer): void {
    const state = this.#state;
    const { id } = order.executor;
    if (answer.outcome === OrderOutcome.Fenced) return state.setFenced(id);
    const run = state.executors.get(id)?.runs.get(order.task)?.run;
    if (run?.number !== order.run || run.pace !== order.percent) return;
    run.isPaceKnown = answer.outcome === OrderOutcome.Done;
  }

  #adjust(executor: Executor, fillers: AssignedRun[]): void {
    const state = this.#state;
    const latencyRatio = getLatencyRatio(executor);
    for (const assigned of fillers) {
      const { run, task } = assigned;
      if (
        state.now - run.pacedAt < PACE_INTERVAL_MILLISECONDS || executor.polledAt <= run.pacedAt
      ) continue;
      const pace = getNextPace(run.pace, latencyRatio);
      // Above the limit the order is repeated, since an earlier order may have been executed late.
      if (pace === run.pace && run.isPaceKnown && latencyRatio <= SLOW_DOWN_RATIO) continue;
      state.log("filler-paced", { task: task.name, executor: executor.id, latencyRatio, pace });
      run.pace = pace;
      run.isPaceKnown = false;
      run.pacedAt = state.now;
      state.ports.pace({
        executor: executor.entry,
        task: task.name,
        run: run.number,
        fence: state.fence,
        percent: pace,
      });
    }
  }
}

/** Gets the next pace: half of the current one at high latency, a small increase at low latency. */
export function getNextPace(pace: number, latencyRatio: number): number {
  if (latencyRatio > SLOW_DOWN_RATIO) return pace <= 10 ? 0 : Math.floor(pace / 2);
  if (latencyRatio < SPEED_UP_RATIO) return Math.min(FULL_PERCENT, pace + INCREASE_PERCENT);
  return pace;
}

/** Gets the highest ratio of tail latency to its limit among an executor's serving tasks. */
function getLatencyRatio(executor: Executor): number {
  let latencyRatio = 0;
  for (const { run, task } of executor.runs.values()) {
    const { tailMilliseconds } = task.step.specification;
    if (tailMilliseconds > 0) latencyRatio = Math.max(latencyRatio, run.usage / tailMilliseconds);
  }
  return Math.round(latencyRatio * 100) / 100;
}

function isRunningFiller({ run, task }: AssignedRun): boolean {
  return task.step.specification.isFiller && run.stage === RunStage.Running;
}
