/** A way to a store on which requests and answers are lost, and some requests arrive late. */

import { Agent, request as send } from "undici";
import { setTimeout as delay } from "node:timers/promises";
import { sendJson, StandInServer } from "./stand_in_server.ts";

/** What happens to a request on its way. */
export const LateStoreFault = {
  /** It is passed on and answered. */
  None: "none",
  /** It is refused with status 503. */
  Busy: "busy",
  /** Its connection is reset, and it is not passed on. */
  Reset: "reset",
  /** It is passed on, and its answer is lost. */
  AnswerLost: "lost answer",
  /** It is not passed on. */
  RequestLost: "lost request",
  /** It is passed on after a while, and its answer is lost. */
  Late: "late",
} as const;
export type LateStoreFault = typeof LateStoreFault[keyof typeof LateStoreFault];

/** Options of a `LateStore`. */
export interface LateStoreOptions {
  /** The address of the store. */
  store: string;
  /** Chooses what happens to a request by its path, including the query. */
  chooseFault: (path: string) => LateStoreFault;
  /** Gets how late the next late request is passed on, in milliseconds. */
  getLatenessMilliseconds: () => number;
}

/** Passes requests on to a store. */
export class LateStore {
  readonly #options: LateStoreOptions;
  readonly #server: StandInServer;
  readonly #agent = new Agent();
  readonly #closing = new AbortController();

  private constructor(options: LateStoreOptions) {
    this.#options = options;
    this.#server = StandInServer.create(async (request, body, response) => {
      const path = request.url ?? "/";
      const fault = this.#options.chooseFault(path);
      if (fault === LateStoreFault.Busy) return sendJson(response, 503, {});
      if (fault === LateStoreFault.Reset) return void response.socket?.resetAndDestroy();
      if (fault === LateStoreFault.RequestLost) return;
      if (fault === LateStoreFault.Late) await this.#waitForLateness();
      if (this.#closing.signal.aborted) return;
      const answer = await this.#pass(request.method === "POST" ? "POST" : "GET", path, body);
      if (fault !== LateStoreFault.None || answer === undefined) return;
      response.statusCode = answer.status;
      response.end(answer.body);
    });
  }

  /** Creates the way to a store. It accepts requests once `listen` is called. */
  static create(options: LateStoreOptions): LateStore {
    return new LateStore(options);
  }

  /** Listens on a free loopback port and returns the address. */
  listen(): Promise<string> {
    return this.#server.listen();
  }

  /** Closes the listening socket and all connections; late requests are lost. */
  close(): void {
    this.#closing.abort();
    this.#server.close();
    void this.#agent.destroy();
  }

  async #waitForLateness(): Promise<void> {
    const { signal } = this.#closing;
    await delay(this.#options.getLatenessMilliseconds(), undefined, { signal }).catch(() => {});
  }

  async #pass(
    method: "GET" | "POST",
    path: string,
    body: Buffer,
  ): Promise<{ status: number; body: Buffer } | undefined> {
    try {
      const url = `http://${this.#options.store}${path}`;
      const options = { method, dispatcher: this.#agent, ...(method === "POST" ? { body } : {}) };
      const answer = await send(url, options);
      return { status: answer.statusCode, body: Buffer.from(await answer.body.arrayBuffer()) };
    } catch {
      return undefined;
    }
  }
}
