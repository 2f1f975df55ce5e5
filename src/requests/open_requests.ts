/** The requests of an entry host whose callers are still waiting. */

import type { EventLog } from "../events/mod.ts";
import type { CallerRequest } from "./exchange.ts";
import type { RequestTask } from "./request_task.ts";

interface OpenRequest {
  request: CallerRequest;
  task: RequestTask;
}

/** Keeps the tasks of the requests whose callers have no outcome yet and are still connected. */
export class OpenRequests {
  readonly #open = new Map<string, OpenRequest>();

  private constructor() {}

  static create(): OpenRequests {
    return new OpenRequests();
  }

  add(request: CallerRequest, task: RequestTask): void {
    this.#open.set(request.requestId, { request, task });
  }

  /** Removes a request whose caller has its outcome or has disconnected. */
  remove(requestId: string): void {
    this.#open.delete(requestId);
  }

  /** Gets the number of open requests. */
  getCount(): number {
    return this.#open.size;
  }

  /** Logs each open request as aborted, before the process ends. */
  logAborted(log: EventLog): void {
    for (const { request, task } of this.#open.values()) {
      const { requestId, service } = request;
      log("request-cut", { request: requestId, service, outcome: task.getOutcome() });
    }
  }
}
