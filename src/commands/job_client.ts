/** The client of an entry host's routes for jobs. */

import { request } from "undici";
import { getErrorMessage, StepError } from "../errors/mod.ts";
import type { JobView } from "../jobs/job_intake_messages.ts";
import type { ProblemDocument } from "../links/problem_document.ts";

/** The time-out of a request to an entry host. */
const REQUEST_TIMEOUT_MILLISECONDS = 15_000;

/** A request about a job to an entry host failed. */
export class JobClientError extends StepError {}

/** Options of a `JobClient`. */
export interface JobClientOptions {
  /** The IP address and port of an entry host's caller listener. */
  address: string;
  /** The text of the team's key; undefined for queues that are open to all. */
  key: string | undefined;
}

/** The response of an entry host to a request about a job. */
export type JobClientResponse =
  | { outcome: "accepted"; job: JobView }
  | { outcome: "refused"; problem: ProblemDocument };

/** Sends requests to one entry host on behalf of a team. */
export class JobClient {
  readonly #options: JobClientOptions;

  private constructor(options: JobClientOptions) {
    this.#options = options;
  }

  /** Creates the client. */
  static create(options: JobClientOptions): JobClient {
    return new JobClient(options);
  }

  /** Submits a job; submitting the same job again has no effect. */
  submit(queue: string, description: unknown): Promise<JobClientResponse> {
    return this.#exchange("POST", queue, description);
  }

  /** Gets a job. */
  get(jobId: string): Promise<JobClientResponse> {
    return this.#exchange("GET", jobId);
  }

  /** Cancels a job. */
  cancel(jobId: string): Promise<JobClientResponse> {
    return this.#exchange("DELETE", jobId);
  }

  async #exchange(
    method: "POST" | "GET" | "DELETE",
    name: string,
    body?: unknown,
  ): Promise<JobClientResponse> {
    const { address, key } = this.#options;
    const path = `/jobs/${encodeURIComponent(name)}`;
    try {
      const response = await request(`http://${address}${path}`, {
        method,
        headers: {
          "content-type": "application/json",
          ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
        },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
      });
      const content = await response.body.json();
      if (response.statusCode < 300) return { outcome: "accepted", job: content as JobView };
      return { outcome: "refused", problem: content as ProblemDocument };
    } catch (error) {
      throw new JobClientError({ message: getErrorMessage(error), step: path, peer: address });
    }
  }
}
