/** Slows fillers down where they disturb tasks that serve, and lets them go on after. */

import type { AssignedRun, Executor } from "../fleet/executor.ts";
import { RunStage } from "../fleet/run.ts";
import type { FleetState } from "./fleet_state.ts";
import { type OrderAnswer, OrderOutcome, type PaceOrder } from "./owner_ports.ts";

/** The least time between two changes of one run's pace, in milliseconds: a report and its effect. */
const PACE_MILLISECONDS = 600;
/** The part of the bound from which on fillers are slowed. */
const SLOW_PART = 0.9;
/** The part of the bound below which they may go faster. */
const FAST_PART = 0.7;
/** How much faster a filler goes at a time, in percent of full speed. */
const RAISE_PERCENT = 15;
const FULL_PERCENT = 100;

/** The decisions about the pace of fillers. */
export class PaceControl {
  readonly #state: FleetState;

  private constructor(state: FleetState) {
    this.#state = state;
  }

  /** Creates the decisions on a state. */
  static create(state: FleetState): PaceControl {
    return new PaceControl(state);
  }

  /** Adjusts the fillers beside tasks that serve. */
  tick(): void {
    for (const executor of this.#state.executors.values()) {
      const fillers = [...executor.runs.values()].filter(isPaced);
      if (fillers.length > 0) this.#adjust(executor, fillers);
    }
  }

  /** Acts on the answer to an order. */
  handleAnswer(order: PaceOrder, answer: OrderAnswer): void {
    const state = this.#state;
    const { id } = order.executor;
    if (answer.outcome === OrderOutcome.Fenced) return state.depose(id);
    const run = state.executors.get(id)?.runs.get(order.task)?.run;
    if (run?.number !== order.run || run.pace !== order.percent) return;
    run.isPaceKnown = answer.outcome === OrderOutcome.Done;
  }

  #adjust(executor: Executor, fillers: AssignedRun[]): void {
    const state = this.#state;
    const strain = getStrain(executor);
    for (const assigned of fillers) {
      const { run, task } = assigned;
      if (state.now - run.pacedAt < PACE_MILLISECONDS || executor.polledAt <= run.pacedAt) continue;
      const pace = getNextPace(run.pace, strain);
      // Under strain the order is repeated: an earlier one may have been carried out late.
      if (pace === run.pace && run.isPaceKnown && strain <= SLOW_PART) continue;
      state.log("filler-paced", { task: task.name, executor: executor.id, strain, pace });
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

/** Gets the pace that follows: half under strain, a little more without. */
export function getNextPace(pace: number, strain: number): number {
  if (strain > SLOW_PART) return pace <= 10 ? 0 : Math.floor(pace / 2);
  if (strain < FAST_PART) return Math.min(FULL_PERCENT, pace + RAISE_PERCENT);
  return pace;
}

/** Gets the highest tail of a serving task here, as a part of its bound. */
function getStrain(executor: Executor): number {
  let strain = 0;
  for (const { run, task } of executor.runs.values()) {
    const { tailMilliseconds } = task.step.specification;
    if (tailMilliseconds > 0) strain = Math.max(strain, run.usage / tailMilliseconds);
  }
  return Math.round(strain * 100) / 100;
}

function isPaced({ run, task }: AssignedRun): boolean {
  return task.step.specification.isFiller && run.stage === RunStage.Running;
}
