/** The requests of one entry host whose callers still wait. */

import type { EventLog } from "../events/mod.ts";
import type { CallerRequest } from "./exchange.ts";
import type { RequestTask } from "./request_task.ts";

interface OpenRequest {
  request: CallerRequest;
  task: RequestTask;
}

/** Keeps the tasks of the requests whose callers have neither an outcome nor left. */
export class OpenRequests {
  readonly #open = new Map<string, OpenRequest>();

  private constructor() {}

  /** Creates the empty set. */
  static create(): OpenRequests {
    return new OpenRequests();
  }

  /** Adds a request. */
  add(request: CallerRequest, task: RequestTask): void {
    this.#open.set(request.requestId, { request, task });
  }

  /** Removes a request whose caller has its outcome. */
  remove(requestId: string): void {
    this.#open.delete(requestId);
  }

  /** Gets the number of open requests. */
  getCount(): number {
    return this.#open.size;
  }

  /** Logs each open request, since the process ends and cuts it. */
  logAborted(log: EventLog): void {
    for (const { request, task } of this.#open.values()) {
      const { requestId, service } = request;
      log("request-cut", { request: requestId, service, outcome: task.getOutcome() });
    }
  }
}
