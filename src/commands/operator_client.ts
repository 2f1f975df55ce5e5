/** The client of an entry host's operator listener. */

import { randomUUID } from "node:crypto";
import { request } from "undici";
import { getErrorMessage, StepError } from "../errors/mod.ts";
import type { MemberProgress } from "../contracts/member_messages.ts";
import type { PublicationResult } from "../records/record_messages.ts";

/** The time-out of a request to an entry host. */
const REQUEST_TIMEOUT_MILLISECONDS = 15_000;

/** The interval at which the roll-out is polled. */
const ROLL_OUT_POLL_MILLISECONDS = 100;

/** A request to an entry host's operator listener failed. */
export class OperatorClientError extends StepError {}

/** Options of an `OperatorClient`. */
export interface OperatorClientOptions {
  /** The IP address and port of an entry host's operator listener. */
  address: string;
  /** The operators' key. */
  operatorKey: string;
}

/** The result of a publication, with the id of its record. */
export type PublicationResponse = PublicationResult & { id: string };

/** Sends requests to one entry host on behalf of an operator. */
export class OperatorClient {
  readonly #options: OperatorClientOptions;

  private constructor(options: OperatorClientOptions) {
    this.#options = options;
  }

  /** Creates the client. */
  static create(options: OperatorClientOptions): OperatorClient {
    return new OperatorClient(options);
  }

  /** Publishes a record; if it is repeated with the same id, at any entry host, it applies once. */
  async publish(
    kind: string,
    body: unknown,
    id: string = randomUUID(),
  ): Promise<PublicationResponse> {
    const record = { id, kind, version: 1, body };
    return await this.#exchange("POST", "/records", record) as PublicationResponse;
  }

  /** Gets a view by its path. */
  async getView(path: string): Promise<unknown> {
    return await this.#exchange("GET", path);
  }

  /**
   * Waits until every member has applied the record at an offset, or the time-out passes, and
   * returns their progress.
   */
  async waitForRollOut(offset: number, timeoutMilliseconds: number): Promise<MemberProgress[]> {
    const deadline = performance.now() + timeoutMilliseconds;
    for (;;) {
      const progress = await this.getView("/roll-out") as MemberProgress[];
      const isAppliedEverywhere = progress.every((member) => member.offset >= offset);
      if (isAppliedEverywhere || performance.now() > deadline) return progress;
      await new Promise((resolve) => setTimeout(resolve, ROLL_OUT_POLL_MILLISECONDS));
    }
  }

  async #exchange(method: "GET" | "POST", path: string, body?: unknown): Promise<unknown> {
    const { address, operatorKey } = this.#options;
    const response = await request(`http://${address}${path}`, {
      method,
      headers: { authorization: `Bearer ${operatorKey}`, "content-type": "application/json" },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
    }).catch((error) => this.#throw(path, getErrorMessage(error)));
    const content = await response.body.json().catch(() => ({
      detail: "the response is not JSON",
    }));
    if (response.statusCode === 200) return content;
    const detail = (content as { detail?: string }).detail ?? "";
    return this.#throw(path, `status ${response.statusCode}: ${detail}`);
  }

  #throw(path: string, message: string): never {
    throw new OperatorClientError({ message, step: path, peer: this.#options.address });
  }
}
