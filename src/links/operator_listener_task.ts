/** The HTTP listener for operators, with an operator key and JSON bodies. */

import { randomUUID, timingSafeEqual } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { App } from "@tinyhttp/app";
import { z } from "zod";
import { getErrorMessage } from "../errors/mod.ts";
import type { MemberMessage, MemberProgress } from "../contracts/member_messages.ts";
import type { LogRecord } from "../records/record.ts";
import type { PublicationResult, RecordMessage } from "../records/record_messages.ts";
import { type Address, ask, Task } from "../tasks/mod.ts";
import { HttpListener } from "./http_listener.ts";
import type { SocketAddress } from "./socket_address.ts";
import type { TlsIdentity } from "./tls_identity.ts";

/** The maximum size of the body of an operator's request, in bytes. */
const MAXIMUM_BODY_BYTES = 1024 * 1024;

/** A view that operators can read by path. */
export type OperatorView = (parameters: URLSearchParams) => unknown;

/** Options of an `OperatorListenerTask`. */
export interface OperatorListenerTaskOptions {
  /** The address to listen on. */
  address: SocketAddress;
  /** The certificate; absent for plain HTTP. */
  tls?: TlsIdentity | undefined;
  /** The key that requests must carry. */
  operatorKey: string;
  records: Address<RecordMessage>;
  members: Address<MemberMessage>;
  /** The views by path, such as `/state`. */
  views: ReadonlyMap<string, OperatorView>;
}

/** A request with a body, as a message of an `OperatorListenerTask`. */
export interface OperatorListenerMessage {
  request: IncomingMessage;
  response: ServerResponse;
  /** The parsed JSON body. */
  body: unknown;
}

const publicationSchema = z.object({
  id: z.string().min(1).max(128).optional(),
  kind: z.string().min(1),
  version: z.int().min(1).default(1),
  author: z.string().max(128).default("operator"),
  body: z.unknown(),
});

/** Owns the listening socket for operators. */
export class OperatorListenerTask extends Task<OperatorListenerMessage> {
  readonly #options: OperatorListenerTaskOptions;
  readonly #listener: HttpListener;

  private constructor(options: OperatorListenerTaskOptions) {
    super({ name: "operator-listener" });
    this.#options = options;
    const app = this.#createApp();
    this.#listener = HttpListener.create({
      ...options,
      handle: (request, response) => void app.handler(request as never, response as never),
    });
  }

  /** Creates the task; `listen` opens the socket. */
  static create(options: OperatorListenerTaskOptions): OperatorListenerTask {
    return new OperatorListenerTask(options);
  }

  /** Starts listening, and gets the bound address and port. */
  listen(): Promise<string> {
    return this.#listener.listen();
  }

  protected override receive(message: OperatorListenerMessage): void {
    void this.#publish(message.body, message.response);
  }

  override getState(): unknown {
    return { views: [...this.#options.views.keys()] };
  }

  override stop(): void {
    super.stop();
    this.#listener.close();
  }

  #createApp(): App {
    const app = new App({ settings: { xPoweredBy: false } });
    app.use((request, response, next) => {
      if (this.#isOperator(request.headers.authorization)) return next?.();
      sendJson(response as unknown as ServerResponse, 401, { detail: "the operator key is wrong" });
    });
    app.post("/records", (request, response) => {
      void this.#receiveBody(
        request as unknown as IncomingMessage,
        response as unknown as ServerResponse,
      );
    });
    app.get("/records", async (request, response) => {
      const url = new URL(request.originalUrl ?? request.url, "http://operator");
      const from = Number(url.searchParams.get("from") ?? 0);
      const records = await ask<RecordMessage, LogRecord[]>(
        this.#options.records,
        (reply) => ({ kind: "get-records", from, reply }),
        () => [],
      );
      sendJson(response as unknown as ServerResponse, 200, records);
    });
    app.get("/roll-out", async (_request, response) => {
      const progress = await ask<MemberMessage, MemberProgress[]>(
        this.#options.members,
        (reply) => ({ kind: "get-progress", reply }),
        () => [],
      );
      sendJson(response as unknown as ServerResponse, 200, progress);
    });
    for (const [path, view] of this.#options.views) {
      app.get(path, (request, response) => {
        const url = new URL(request.originalUrl ?? request.url, "http://operator");
        void this.#sendView(view, url.searchParams, response as unknown as ServerResponse);
      });
    }
    return app;
  }

  async #sendView(
    view: OperatorView,
    parameters: URLSearchParams,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const value = await view(parameters);
      if (typeof value === "string") sendPrometheusText(response, value);
      else sendJson(response, 200, value);
    } catch (error) {
      sendJson(response, 503, { detail: getErrorMessage(error) });
    }
  }

  #isOperator(header: string | undefined): boolean {
    const presented = Buffer.from(header?.replace(/^Bearer +/i, "") ?? "");
    const expected = Buffer.from(this.#options.operatorKey);
    return presented.length === expected.length && timingSafeEqual(presented, expected);
  }

  async #receiveBody(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const body = await readJson(request);
      if (this.post({ request, response, body })) return;
      sendJson(response, 503, { detail: "this entry host is overloaded" });
    } catch (error) {
      sendJson(response, 400, { detail: getErrorMessage(error) });
    }
  }

  async #publish(body: unknown, response: ServerResponse): Promise<void> {
    const parsed = publicationSchema.safeParse(body);
    if (!parsed.success) {
      sendJson(response, 400, { detail: z.prettifyError(parsed.error) });
      return;
    }
    const draft = { ...parsed.data, id: parsed.data.id ?? randomUUID(), body: parsed.data.body };
    const result = await ask<RecordMessage, PublicationResult>(
      this.#options.records,
      (reply) => ({ kind: "publish", draft, reply }),
      () => ({ outcome: "unknown", reason: "this entry host is overloaded" }),
    );
    sendJson(response, 200, { id: draft.id, ...result });
  }
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    length += chunk.length;
    if (length > MAXIMUM_BODY_BYTES) throw new Error("the body is too large");
    chunks.push(chunk);
  }
  return JSON.parse(Buffer.concat(chunks).toString("utf8"));
}

function sendPrometheusText(response: ServerResponse, text: string): void {
  response.setHeader("content-type", "text/plain; version=0.0.4; charset=utf-8");
  response.end(text);
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
  response.statusCode = status;
  response.setHeader("content-type", "application/json");
  response.end(JSON.stringify(value));
}
