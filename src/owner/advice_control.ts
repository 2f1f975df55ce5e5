/** Knows which executors may run a step, where only the adviser can tell. */

import type { Executor } from "../fleet/executor.ts";
import type { JobStep } from "../fleet/job.ts";
import type { FleetState } from "./fleet_state.ts";

/** The most executors that one question names: few, since each costs the adviser time. */
const MOST_ASKED = 8;
/** The most questions on their way, well below what the adviser takes. */
const MOST_QUESTIONS = 8;
/** How long before its end a ticket is not used any more, in milliseconds. */
const TICKET_MARGIN_MILLISECONDS = 300;
/** The ticket where a queue needs no advice. */
export const NO_TICKET = "";

interface Ticket {
  ticket: string;
  validUntil: number;
}

interface StepAdvice {
  tickets: Map<string, Ticket>;
  /** The executors that may not run the step, which does not change. */
  refused: Set<string>;
  isAsked: boolean;
}

/** The adviser's answer. */
export interface Advice {
  /** The executors that may run the step, with their tickets. */
  good: readonly (readonly [executorId: string, ticket: string])[];
  /** How long the tickets are valid, in milliseconds. */
  validMilliseconds: number;
}

/** The decisions about advice. */
export class AdviceControl {
  readonly #state: FleetState;
  readonly #steps = new Map<string, StepAdvice>();
  #questions = 0;

  private constructor(state: FleetState) {
    this.#state = state;
  }

  /** Creates the decisions on a state. */
  static create(state: FleetState): AdviceControl {
    return new AdviceControl(state);
  }

  /** Gets the ticket of a step on an executor, or undefined where there is none. */
  getTicket(step: JobStep, executor: Executor): string | undefined {
    const state = this.#state;
    if (state.getQueue(step.job.queue)?.advice === undefined) return NO_TICKET;
    const ticket = this.#steps.get(getStepName(step))?.tickets.get(executor.id);
    const isValid = ticket !== undefined &&
      ticket.validUntil - TICKET_MARGIN_MILLISECONDS > state.now;
    return isValid ? ticket.ticket : undefined;
  }

  /** Forgets a ticket that its executor did not take: its life may be another one by now. */
  removeTicket(task: string, executorId: string): void {
    this.#steps.get(task.slice(0, task.lastIndexOf(".")))?.tickets.delete(executorId);
  }

  /** Asks for the steps that wait and have no executor with room and a ticket. */
  tick(): void {
    const state = this.#state;
    for (const step of state.ready) {
      if (this.#questions >= MOST_QUESTIONS) return;
      if (state.getQueue(step.job.queue)?.advice !== undefined) this.#askFor(step);
    }
  }

  /** Takes the adviser's answer, or undefined if there was none. */
  handleAnswer(stepName: string, asked: readonly string[], advice: Advice | undefined): void {
    const state = this.#state;
    this.#questions -= 1;
    const known = this.#steps.get(stepName);
    if (known === undefined) return;
    known.isAsked = false;
    if (advice === undefined) return;
    const good = new Set<string>();
    for (const [executorId, ticket] of advice.good) {
      good.add(executorId);
      known.tickets.set(executorId, { ticket, validUntil: state.now + advice.validMilliseconds });
    }
    for (const id of asked) if (!good.has(id)) known.refused.add(id);
    state.log("advice", { step: stepName, asked: asked.length, good: good.size });
    state.needsDispatch = true;
  }

  #askFor(step: JobStep): void {
    const state = this.#state;
    const service = state.getService(step.job);
    if (service === undefined) return;
    const name = getStepName(step);
    const known = this.#steps.get(name) ??
      { tickets: new Map(), refused: new Set(), isAsked: false };
    this.#steps.set(name, known);
    if (known.isAsked) return;
    const { demand } = step.specification;
    const open = [...state.getPool(service)].filter((executor) =>
      executor.isOpen(state.now) && executor.hasRoom(demand) && !known.refused.has(executor.id)
    );
    if (open.some((executor) => this.getTicket(step, executor) !== undefined)) return;
    open.sort((first, second) => first.getLoad() - second.getLoad());
    const asked = open.slice(0, MOST_ASKED).map((executor) => executor.id);
    if (asked.length === 0) return;
    known.isAsked = true;
    this.#questions += 1;
    state.ports.askAdvice(name, asked);
  }
}

function getStepName(step: JobStep): string {
  return `${step.job.id}.${step.occurrence}.${step.number}`;
}
