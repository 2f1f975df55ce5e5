/** Asks the adviser which executors may run a step, and caches the tickets that it issues. */

import type { Executor } from "../fleet/executor.ts";
import type { JobStep } from "../fleet/job.ts";
import type { FleetState } from "./fleet_state.ts";

/** The maximum number of executors per request. The adviser's response time grows with it. */
const MAXIMUM_EXECUTORS_PER_REQUEST = 8;
/** The maximum number of pending requests, well below the adviser's own limit. */
const MAXIMUM_PENDING_REQUESTS = 8;
/** How long before its expiry a ticket is no longer used, in milliseconds. */
const TICKET_EXPIRY_MARGIN_MILLISECONDS = 300;
/** Stands for the ticket on a queue that needs no advice. */
export const NO_TICKET = "";

interface Ticket {
  ticket: string;
  /** When the incarnation of the executor started for which it is valid. */
  born: number | undefined;
  validUntil: number;
}

interface StepAdvice {
  tickets: Map<string, Ticket>;
  /** The executors that may not run the step. The adviser does not change such an answer. */
  refused: Set<string>;
  isPending: boolean;
}

/** The adviser's answer. */
export interface Advice {
  /** The executors that may run the step, with their tickets. */
  good: readonly (readonly [executorId: string, ticket: string])[];
  /** How long the tickets are valid, in milliseconds. */
  validMilliseconds: number;
}

/** Decides when to ask the adviser, and which ticket a start carries. */
export class AdviceControl {
  readonly #state: FleetState;
  readonly #steps = new Map<string, StepAdvice>();
  #pendingRequests = 0;

  private constructor(state: FleetState) {
    this.#state = state;
  }

  static create(state: FleetState): AdviceControl {
    return new AdviceControl(state);
  }

  /**
   * Gets the ticket for a step on an executor: undefined if there is no valid one, and `NO_TICKET`
   * if the step needs none.
   */
  getTicket(step: JobStep, executor: Executor): string | undefined {
    const state = this.#state;
    if (state.getQueue(step.job.queue)?.advice === undefined) return NO_TICKET;
    const ticket = this.#steps.get(getStepName(step))?.tickets.get(executor.id);
    const isValid = ticket?.born === executor.entry.born &&
      ticket.validUntil - TICKET_EXPIRY_MARGIN_MILLISECONDS > state.now;
    return isValid ? ticket.ticket : undefined;
  }

  /** Removes a ticket that its executor rejected, possibly because it has restarted since. */
  removeTicket(taskName: string, executorId: string): void {
    this.#steps.get(taskName.slice(0, taskName.lastIndexOf(".")))?.tickets.delete(executorId);
  }

  /** Asks for advice on ready steps for which no executor has both free capacity and a ticket. */
  tick(): void {
    const state = this.#state;
    for (const step of state.ready) {
      if (this.#pendingRequests >= MAXIMUM_PENDING_REQUESTS) return;
      if (state.getQueue(step.job.queue)?.advice !== undefined) this.#requestAdvice(step);
    }
  }

  /** Stores the tickets of the adviser's answer, which is undefined if the request failed. */
  handleAnswer(stepName: string, executorIds: readonly string[], advice: Advice | undefined): void {
    const state = this.#state;
    this.#pendingRequests -= 1;
    const stepAdvice = this.#steps.get(stepName);
    if (stepAdvice === undefined) return;
    stepAdvice.isPending = false;
    if (advice === undefined) return;
    const good = new Set<string>();
    for (const [executorId, ticket] of advice.good) {
      good.add(executorId);
      stepAdvice.tickets.set(executorId, {
        ticket,
        born: state.executors.get(executorId)?.entry.born,
        validUntil: state.now + advice.validMilliseconds,
      });
    }
    for (const id of executorIds) if (!good.has(id)) stepAdvice.refused.add(id);
    state.log("advice", { step: stepName, executors: executorIds.length, good: good.size });
    state.needsDispatch = true;
  }

  #requestAdvice(step: JobStep): void {
    const state = this.#state;
    const service = state.getService(step.job);
    if (service === undefined) return;
    const name = getStepName(step);
    const stepAdvice = this.#steps.get(name) ??
      { tickets: new Map(), refused: new Set(), isPending: false };
    this.#steps.set(name, stepAdvice);
    if (stepAdvice.isPending) return;
    const { demand } = step.specification;
    const candidates = [...state.getExecutorsOf(service)].filter((executor) =>
      executor.canStartTasks(state.now) && executor.hasCapacityFor(demand) &&
      !stepAdvice.refused.has(executor.id)
    );
    if (candidates.some((executor) => this.getTicket(step, executor) !== undefined)) return;
    candidates.sort((first, second) =>
      first.getReservedCpuFraction() - second.getReservedCpuFraction()
    );
    const executorIds = candidates.slice(0, MAXIMUM_EXECUTORS_PER_REQUEST).map((executor) =>
      executor.id
    );
    if (executorIds.length === 0) return;
    stepAdvice.isPending = true;
    this.#pendingRequests += 1;
    state.ports.askAdvice(name, executorIds);
  }
}

function getStepName(step: JobStep): string {
  return `${step.job.id}.${step.occurrence}.${step.number}`;
}
