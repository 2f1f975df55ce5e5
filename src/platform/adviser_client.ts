/** HTTP client of the adviser, the platform service that decides which executors may run a step. */

import { z } from "zod";
import { getErrorMessage } from "../errors/mod.ts";
import type { EventLog } from "../events/mod.ts";
import type { Advice } from "../owner/advice_control.ts";
import { HttpLink } from "./http_link.ts";
import { parseJson } from "./store_client.ts";

/** The maximum number of connections; few, as the adviser serves a host's requests sequentially. */
const MAXIMUM_CONNECTIONS = 2;
/** The idle timeout of a request, in milliseconds. */
const REQUEST_TIMEOUT_MILLISECONDS = 4_000;

const responseSchema = z.object({
  good: z.array(z.tuple([z.string(), z.string()]).rest(z.unknown())),
  validMs: z.number().default(0),
});

/** Requests advice over HTTP. */
export class AdviserClient {
  readonly #link: HttpLink;
  readonly #log: EventLog;

  private constructor(address: string, log: EventLog) {
    this.#link = HttpLink.create({ address, connections: MAXIMUM_CONNECTIONS });
    this.#log = log;
  }

  /** Creates a client for the adviser at the given address. */
  static create(address: string, log: EventLog): AdviserClient {
    return new AdviserClient(address, log);
  }

  /** Asks which executors may run a step; undefined if the request fails or is refused. */
  async ask(step: string, executors: readonly string[]): Promise<Advice | undefined> {
    try {
      const response = await this.#link.call({
        step: "advise",
        method: "POST",
        path: "/-/advise",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ step, workers: executors }),
        idleTimeoutMilliseconds: REQUEST_TIMEOUT_MILLISECONDS,
      });
      const parsed = responseSchema.safeParse(parseJson(response.body));
      if (response.status === 200 && parsed.success) {
        const good = parsed.data.good.map(([id, ticket]): [string, string] => [id, ticket]);
        return { good, validMilliseconds: parsed.data.validMs };
      }
      this.#log("advice-refused", { step, peer: this.#link.address, status: response.status });
    } catch (error) {
      const reason = getErrorMessage(error);
      this.#log("adviser-silent", { step, peer: this.#link.address, reason });
    }
    return undefined;
  }

  /** Closes all connections. */
  close(): void {
    this.#link.close();
  }
}
