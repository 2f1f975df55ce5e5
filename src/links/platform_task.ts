/** The HTTP client of the platform: its log and its list of hosts, with JSON bodies. */

import { Client } from "undici";
import { z } from "zod";
import { getErrorMessage } from "../errors/mod.ts";
import type {
  AppendResult,
  ListedHost,
  ListResult,
  LogRead,
  PlatformMessage,
  ReadResult,
  RebootResult,
} from "../records/platform_messages.ts";
import { createMalformedRecord } from "../records/record.ts";
import { type ElapsedClock, type Reply, Task } from "../tasks/mod.ts";
import { PlatformError } from "./platform_error.ts";
import { decodeRecordText, encodeRecordText } from "./record_text.ts";

/** The maximum size of a response of the platform, in bytes. */
const MAXIMUM_RESPONSE_BYTES = 64 * 1024 * 1024;

const appendResponseSchema = z.object({ firstOffset: z.int().min(0) });

const readResponseSchema = z.object({
  head: z.int().min(0),
  earliest: z.int().min(0),
  entries: z.array(z.object({ offset: z.int().min(0), text: z.string() })),
});

const rebootResponseSchema = z.discriminatedUnion("outcome", [
  z.object({ outcome: z.literal("ordered") }),
  z.object({ outcome: z.literal("refused"), reason: z.string() }),
]);

const listResponseSchema = z.object({
  hosts: z.array(z.looseObject({ host: z.string(), boots: z.int().min(0).default(0) })),
});

/** Options of a `PlatformTask`. */
export interface PlatformTaskOptions {
  /** The IP address and port of the platform. */
  address: string;
  /** The timeout of one request. */
  timeoutMilliseconds: number;
  /** The monotonic clock. */
  clock: ElapsedClock;
}

/** Owns the connection to the platform. */
export class PlatformTask extends Task<PlatformMessage> {
  readonly #options: PlatformTaskOptions;
  readonly #client: Client;
  #exchanges = 0;
  #failures = 0;

  private constructor(options: PlatformTaskOptions) {
    super({ name: "platform" });
    this.#options = options;
    this.#client = new Client(`http://${options.address}`, {
      headersTimeout: options.timeoutMilliseconds,
      bodyTimeout: options.timeoutMilliseconds,
      connect: { timeout: options.timeoutMilliseconds },
      maxResponseSize: MAXIMUM_RESPONSE_BYTES,
      pipelining: 1,
    });
  }

  static create(options: PlatformTaskOptions): PlatformTask {
    return new PlatformTask(options);
  }

  protected override receive(message: PlatformMessage): void {
    switch (message.kind) {
      case "append":
        return this.#replyWith(this.#append(message), message.reply, createUnknown);
      case "read":
        return this.#replyWith(
          this.#read(message.from, message.limit),
          message.reply,
          createFailed,
        );
      case "list-hosts":
        return this.#replyWith(this.#list(), message.reply, createFailed);
      case "order-reboot":
        return this.#replyWith(
          this.#orderReboot(message.host, message.boots),
          message.reply,
          createUnknown,
        );
    }
  }

  override getState(): unknown {
    const { address } = this.#options;
    return { address, exchanges: this.#exchanges, failures: this.#failures };
  }

  override stop(): void {
    super.stop();
    void this.#client.destroy().catch(() => undefined);
  }

  #replyWith<Result>(
    work: Promise<Result>,
    reply: Reply<Result>,
    createFailure: (reason: string) => Result,
  ): void {
    this.#exchanges += 1;
    work.then(reply, (error) => {
      this.#failures += 1;
      reply(createFailure(getErrorMessage(error)));
    });
  }

  async #append(message: { records: readonly Parameters<typeof encodeRecordText>[0][] }) {
    const entries = message.records.map((record) => encodeRecordText(record));
    const response = await this.#request("POST", "/log", { entries });
    const { firstOffset } = appendResponseSchema.parse(response);
    return { outcome: "acknowledged", firstOffset } satisfies AppendResult;
  }

  async #read(from: number, limit: number): Promise<ReadResult> {
    const startedAt = this.#options.clock.getElapsed();
    const response = await this.#request("GET", `/log?from=${from}&limit=${limit}`);
    const { head, earliest, entries } = readResponseSchema.parse(response);
    const read: LogRead = { startedAt, head, earliest, records: [], next: from };
    for (const entry of entries) this.#addEntry(read, entry.offset, entry.text);
    return { outcome: "read", read };
  }

  #addEntry(read: LogRead, offset: number, text: string): void {
    read.next = offset + 1;
    try {
      read.records.push({ ...decodeRecordText(text, this.#options.address), offset });
    } catch (error) {
      read.records.push(createMalformedRecord(offset, getErrorMessage(error)));
    }
  }

  async #list(): Promise<ListResult> {
    const startedAt = this.#options.clock.getElapsed();
    const response = listResponseSchema.parse(await this.#request("GET", "/hosts"));
    return { outcome: "listed", startedAt, hosts: response.hosts as unknown as ListedHost[] };
  }

  /** Orders a reboot, which takes effect only if the host's boot count still equals `boots`. */
  async #orderReboot(host: string, boots: number): Promise<RebootResult> {
    const path = `/hosts/${encodeURIComponent(host)}/reboot`;
    return rebootResponseSchema.parse(await this.#request("POST", path, { boots }));
  }

  async #request(method: "GET" | "POST", path: string, body?: unknown): Promise<unknown> {
    const httpResponse = await this.#client.request({
      method,
      path,
      headers: body === undefined ? {} : { "content-type": "application/json" },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(this.#options.timeoutMilliseconds),
    });
    if (httpResponse.statusCode === 200) return await httpResponse.body.json();
    await httpResponse.body.dump();
    throw new PlatformError({
      message: `status ${httpResponse.statusCode}`,
      step: `${method} ${path.split("?")[0]}`,
      peer: this.#options.address,
    });
  }
}

function createUnknown(reason: string): { outcome: "unknown"; reason: string } {
  return { outcome: "unknown", reason };
}

function createFailed(reason: string): { outcome: "failed"; reason: string } {
  return { outcome: "failed", reason };
}
