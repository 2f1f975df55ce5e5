/** HTTP client of the platform's store, an append-only log of plain and keyed topics. */

import { setTimeout as delay } from "node:timers/promises";
import { z } from "zod";
import { getErrorMessage, StepError } from "../errors/mod.ts";
import type { EventLog } from "../events/mod.ts";
import { AdaptiveTimeout } from "./adaptive_timeout.ts";
import { HttpLink, type LinkRequest, type LinkResponse, NoResponseError } from "./http_link.ts";

/** The maximum number of connections to the store. */
const MAXIMUM_CONNECTIONS = 12;
/** How often a page after the first is requested before the read of all pages fails. */
const MAXIMUM_PAGE_ATTEMPTS = 6;
/** The delay before a page is requested again, in milliseconds. */
const PAGE_RETRY_DELAY_MILLISECONDS = 100;
const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;

/** Identifies a partition. */
export interface Partition {
  topic: string;
  /** The partition's number in its topic. */
  part: number;
}

/** Options of `append`. */
export interface AppendOptions extends Partition {
  /** The records; an empty list only registers the producer's epoch. */
  records: readonly Uint8Array[];
  /** The expected end offset of the partition; the append fails if it differs. */
  at?: number;
  /** The producer, for fencing by epoch and deduplication by sequence number. */
  producer?: { name: string; epoch: number; sequence: number };
}

/** Options of `read`. */
export interface ReadOptions extends Partition {
  /** The offset of the first record to read. */
  from: number;
  /** How long to wait for new records if there are none yet, in milliseconds. */
  waitMilliseconds: number;
}

/**
 * The result of an append; `unanswered` means that there was no valid response, so that the effect
 * of the request is in doubt.
 */
export type AppendResult =
  | { outcome: "done"; offset: number; end: number }
  | { outcome: "wrong-end"; end: number }
  | { outcome: "fenced" }
  | { outcome: "wrong-sequence"; expected: number }
  | { outcome: "refused"; status: number }
  | { outcome: "unanswered"; reason: string };

/** A record of a partition. */
export interface StoreRecord {
  offset: number;
  content: Buffer;
}

/** The result of a read; `unanswered` means that there was no valid response. */
export type ReadResult =
  | { outcome: "done"; end: number; first: number; records: StoreRecord[] }
  | { outcome: "expired"; first: number }
  | { outcome: "refused"; status: number }
  | { outcome: "unanswered"; reason: string };

/** A key and its value; an empty value deletes the key. */
export interface KeyedEntry {
  key: string;
  value: Buffer;
}

/** The result of reading the newest values; `unanswered` means that there was no valid response. */
export type NewestResult =
  | { outcome: "done"; values: KeyedEntry[]; end: number }
  | { outcome: "refused"; status: number }
  | { outcome: "unanswered"; reason: string };

const appendSchema = z.object({ offset: z.number(), end: z.number() });
const wrongEndSchema = z.object({ end: z.number() });
const expiredSchema = z.object({ first: z.number() });
const conflictSchema = z.looseObject({ reason: z.string() });
const newestSchema = z.object({
  items: z.array(z.object({ key: z.string(), value: z.string().nullish(), offset: z.number() })),
  hasMore: z.boolean().nullish(),
  end: z.number(),
});

/** The store sent a response that violates its protocol. */
export class StoreResponseError extends StepError {}

/** Reads and appends records over HTTP. */
export class StoreClient {
  readonly #link: HttpLink;
  /** The timeouts by operation and partition: quick answers of one say nothing of another. */
  readonly #timeouts = new Map<string, AdaptiveTimeout>();

  readonly #log: EventLog;

  private constructor(address: string, log: EventLog) {
    this.#link = HttpLink.create({ address, connections: MAXIMUM_CONNECTIONS });
    this.#log = log;
  }

  /** Creates a client for the store at the given address. */
  static create(address: string, log: EventLog): StoreClient {
    return new StoreClient(address, log);
  }

  /** Gets the address of the store. */
  getAddress(): string {
    return this.#link.address;
  }

  /** Appends records atomically. */
  append(options: AppendOptions): Promise<AppendResult> {
    return catchUnanswered(() => this.#append(options));
  }

  async #append(options: AppendOptions): Promise<AppendResult> {
    const query = new URLSearchParams({ topic: options.topic, part: String(options.part) });
    if (options.at !== undefined) query.set("at", String(options.at));
    if (options.producer !== undefined) {
      query.set("producer", options.producer.name);
      query.set("epoch", String(options.producer.epoch));
      query.set("seq", String(options.producer.sequence));
    }
    const response = await this.#request("append", options, {
      method: "POST",
      path: `/-/log-append?${query}`,
      headers: { "content-type": "application/octet-stream" },
      body: encodeRecords(options.records),
    });
    switch (response.status) {
      case 200:
        return { outcome: "done", ...this.#parse("append", appendSchema, response) };
      case 412:
        return { outcome: "wrong-end", ...this.#parse("append", wrongEndSchema, response) };
      case 409: {
        const conflict = this.#parse("append", conflictSchema, response);
        if (conflict.reason === "fenced") return { outcome: "fenced" };
        return { outcome: "wrong-sequence", expected: getExpectedSequence(conflict) };
      }
      default:
        return { outcome: "refused", status: response.status };
    }
  }

  /** Reads records from an offset on, and waits for new ones if there are none yet. */
  read(options: ReadOptions): Promise<ReadResult> {
    return catchUnanswered(() => this.#read(options));
  }

  async #read(options: ReadOptions): Promise<ReadResult> {
    const { topic, part, from, waitMilliseconds } = options;
    const response = await this.#request("read", options, {
      method: "GET",
      path: `/-/log-read?topic=${topic}&part=${part}&from=${from}&waitMs=${waitMilliseconds}`,
      waitMilliseconds,
    });
    if (response.status === 410) {
      return { outcome: "expired", ...this.#parse("read", expiredSchema, response) };
    }
    if (response.status !== 200) return { outcome: "refused", status: response.status };
    return { outcome: "done", ...decodeReadResponse(response.body, from, this.#link.address) };
  }

  /** Reads the newest value of every key of a keyed topic. */
  readNewest(options: Partition): Promise<NewestResult> {
    return catchUnanswered(() => this.#readNewest(options));
  }

  async #readNewest(options: Partition): Promise<NewestResult> {
    const values: KeyedEntry[] = [];
    let end: number | undefined;
    let after: string | undefined;
    for (;;) {
      const page = await this.#readNewestPage(options, after);
      if ("outcome" in page) return page;
      // Later pages may be newer than the first: return the first page's end, so that the caller
      // reads all later records.
      end ??= page.end;
      for (const item of page.items) {
        values.push({ key: item.key, value: Buffer.from(item.value ?? "", "base64") });
      }
      after = page.items.at(-1)?.key;
      if (page.hasMore !== true || after === undefined) return { outcome: "done", values, end };
    }
  }

  /** Reads a page; pages after the first are retried, so that the earlier ones are not read again. */
  async #readNewestPage(
    options: Partition,
    after: string | undefined,
  ): Promise<z.output<typeof newestSchema> | { outcome: "refused"; status: number }> {
    const step = "read-newest";
    const query = new URLSearchParams({ topic: options.topic, part: String(options.part) });
    if (after !== undefined) query.set("after", after);
    const request = { method: "GET", path: `/-/log-newest?${query}` } as const;
    const maximumAttempts = after === undefined ? 1 : MAXIMUM_PAGE_ATTEMPTS;
    for (let attempt = 1;; attempt += 1) {
      let reason: string;
      try {
        const response = await this.#request(step, options, request);
        if (response.status === 200) return this.#parse(step, newestSchema, response);
        if (attempt === maximumAttempts) return { outcome: "refused", status: response.status };
        reason = `status ${response.status}`;
      } catch (error) {
        if (attempt === maximumAttempts || !(error instanceof NoResponseError)) throw error;
        reason = getErrorMessage(error);
      }
      this.#log("store-page-retried", { step, peer: this.#link.address, after, attempt, reason });
      await delay(PAGE_RETRY_DELAY_MILLISECONDS);
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#link.close();
  }

  /** Sends a request, and records its latency. */
  async #request(
    step: string,
    { topic, part }: Partition,
    request: Omit<LinkRequest, "step" | "idleTimeoutMilliseconds">,
  ): Promise<LinkResponse> {
    const key = `${step} ${topic}/${part}`;
    const timeout = this.#timeouts.get(key) ?? AdaptiveTimeout.create();
    this.#timeouts.set(key, timeout);
    const idleTimeoutMilliseconds = timeout.getMilliseconds();
    try {
      const response = await this.#link.call({ step, ...request, idleTimeoutMilliseconds });
      timeout.recordResponse(response.latencyMilliseconds);
      return response;
    } catch (error) {
      timeout.recordFailure();
      throw error;
    }
  }

  #parse<Value>(step: string, schema: z.ZodType<Value>, response: LinkResponse): Value {
    const parsed = schema.safeParse(parseJson(response.body));
    if (parsed.success) return parsed.data;
    throw new StoreResponseError({
      message: `status ${response.status} with an unexpected body: ${parsed.error.message}`,
      step,
      peer: this.#link.address,
    });
  }
}

/** Converts a missing or unreadable response to an outcome: the effect of the request is in doubt. */
async function catchUnanswered<Result>(
  operation: () => Promise<Result>,
): Promise<Result | { outcome: "unanswered"; reason: string }> {
  try {
    return await operation();
  } catch (error) {
    if (error instanceof NoResponseError || error instanceof StoreResponseError) {
      return { outcome: "unanswered", reason: error.message };
    }
    throw error;
  }
}

/** Encodes a record of a keyed topic; an empty or undefined value deletes the key. */
export function encodeKeyedRecord(key: string, value: Uint8Array | undefined): Buffer {
  const keyBytes = Buffer.from(key);
  return Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value ?? Buffer.alloc(0)]);
}

/** Decodes a record of a keyed topic, or gets undefined if the content is invalid. */
export function decodeKeyedRecord(content: Buffer): KeyedEntry | undefined {
  const keyLength = content[0];
  if (keyLength === undefined || content.length < 1 + keyLength) return undefined;
  return {
    key: content.toString("utf8", 1, 1 + keyLength),
    value: content.subarray(1 + keyLength),
  };
}

/** Encodes records, each with a length prefix. */
function encodeRecords(records: readonly Uint8Array[]): Buffer {
  const parts: Uint8Array[] = [];
  for (const record of records) {
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(record.length);
    parts.push(length, record);
  }
  return Buffer.concat(parts);
}

/** Decodes the end and first offset of the partition, and the length-prefixed records that follow. */
function decodeReadResponse(body: Buffer, from: number, peer: string) {
  if (body.length < 2 * OFFSET_BYTES) {
    throw new StoreResponseError({
      message: "response is shorter than its header",
      step: "read",
      peer,
    });
  }
  const end = Number(body.readBigUInt64BE(0));
  const first = Number(body.readBigUInt64BE(OFFSET_BYTES));
  const records: StoreRecord[] = [];
  let position = 2 * OFFSET_BYTES;
  for (let offset = from; position + LENGTH_BYTES <= body.length; offset += 1) {
    const start = position + LENGTH_BYTES;
    position = start + body.readUInt32BE(position);
    if (position > body.length) break;
    records.push({ offset, content: body.subarray(start, position) });
  }
  return { end, first, records };
}

/**
 * Gets the expected sequence number. The protocol doesn't name the field: takes the only numeric
 * one, or 0 if there is none.
 */
function getExpectedSequence(conflict: Record<string, unknown>): number {
  const number = Object.values(conflict).find((value) => typeof value === "number");
  return typeof number === "number" ? number : 0;
}

/** Parses JSON, or gets undefined if it is invalid. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}
