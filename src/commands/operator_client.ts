/** The operator's side of an entry host's operator listener. */

import { randomUUID } from "node:crypto";
import { request } from "undici";
import { getErrorMessage, StepError } from "../errors/mod.ts";
import type { MemberProgress } from "../contracts/member_messages.ts";
import type { PublicationResult } from "../records/record_messages.ts";

/** The longest exchange with an entry host. */
const EXCHANGE_MILLISECONDS = 15_000;

/** The wait between two looks at the roll-out. */
const ROLL_OUT_POLL_MILLISECONDS = 100;

/** An entry host did not do what an operator asked. */
export class OperatorClientError extends StepError {}

/** Options of an `OperatorClient`. */
export interface OperatorClientOptions {
  /** The IP number and port of an entry host's operator listener. */
  address: string;
  /** The operators' key. */
  operatorKey: string;
}

/** What became of a publication, with the id of its record. */
export type PublicationResponse = PublicationResult & { id: string };

/** Talks to one entry host as an operator. */
export class OperatorClient {
  readonly #options: OperatorClientOptions;

  private constructor(options: OperatorClientOptions) {
    this.#options = options;
  }

  /** Creates the client. */
  static create(options: OperatorClientOptions): OperatorClient {
    return new OperatorClient(options);
  }

  /** Publishes a record; the same id makes a repetition harmless, here or at another entry host. */
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

  /** Waits until every member has applied an offset, and gets their progress. */
  async waitForRollOut(offset: number, timeoutMilliseconds: number): Promise<MemberProgress[]> {
    const end = performance.now() + timeoutMilliseconds;
    for (;;) {
      const progress = await this.getView("/roll-out") as MemberProgress[];
      const isEverywhere = progress.every((member) => member.offset >= offset);
      if (isEverywhere || performance.now() > end) return progress;
      await new Promise((resolve) => setTimeout(resolve, ROLL_OUT_POLL_MILLISECONDS));
    }
  }

  async #exchange(method: "GET" | "POST", path: string, body?: unknown): Promise<unknown> {
    const { address, operatorKey } = this.#options;
    const response = await request(`http://${address}${path}`, {
      method,
      headers: { authorization: `Bearer ${operatorKey}`, "content-type": "application/json" },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(EXCHANGE_MILLISECONDS),
    }).catch((error) => this.#throw(path, getErrorMessage(error)));
    const answer = await response.body.json().catch(() => ({ detail: "no JSON" }));
    if (response.statusCode === 200) return answer;
    const detail = (answer as { detail?: string }).detail ?? "";
    return this.#throw(path, `status ${response.statusCode}: ${detail}`);
  }

  #throw(path: string, message: string): never {
    throw new OperatorClientError({ message, step: path, peer: this.#options.address });
  }
}
