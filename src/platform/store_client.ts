/** The client of the platform's store: a log of topics and partitions, and keyed topics in it. */

import { z } from "zod";
import { StepError } from "../errors/mod.ts";
import { AnswerTimeout } from "./answer_timeout.ts";
import { HttpLink, type LinkAnswer, type LinkCall, NoAnswerError } from "./http_link.ts";

/** The most connections to the store. */
const STORE_CONNECTIONS = 12;
const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;

/** Where records are. */
export interface Partition {
  /** The topic. */
  topic: string;
  /** The number of the partition. */
  part: number;
}

/** Options of `append`. */
export interface AppendOptions extends Partition {
  /** The records; none sets the epoch only. */
  records: readonly Uint8Array[];
  /** The offset at which the partition must end. */
  at?: number;
  /** The producer with its epoch and sequence number. */
  producer?: { name: string; epoch: number; sequence: number };
}

/** Options of `read`. */
export interface ReadOptions extends Partition {
  /** The offset of the first record. */
  from: number;
  /** How long to wait for a record if there is none, in milliseconds. */
  waitMilliseconds: number;
}

/** What became of an append. */
export type AppendResult =
  | { outcome: "done"; offset: number; end: number }
  | { outcome: "wrong-end"; end: number }
  | { outcome: "fenced" }
  | { outcome: "wrong-sequence"; expected: number }
  | { outcome: "refused"; status: number }
  | { outcome: "unanswered"; reason: string };

/** One record of a partition. */
export interface StoreRecord {
  /** The offset. */
  offset: number;
  /** The content. */
  content: Buffer;
}

/** What a read brings. */
export type ReadResult =
  | { outcome: "done"; end: number; first: number; records: StoreRecord[] }
  | { outcome: "expired"; first: number }
  | { outcome: "refused"; status: number }
  | { outcome: "unanswered"; reason: string };

/** One key's newest value. */
export interface KeyedValue {
  /** The key. */
  key: string;
  /** The value. */
  value: Buffer;
}

/** What a read of the newest values brings. */
export type NewestResult =
  | { outcome: "done"; values: KeyedValue[]; end: number }
  | { outcome: "refused"; status: number }
  | { outcome: "unanswered"; reason: string };

const appendedSchema = z.object({ offset: z.number(), end: z.number() });
const wrongEndSchema = z.object({ end: z.number() });
const expiredSchema = z.object({ first: z.number() });
const conflictSchema = z.looseObject({ reason: z.string() });
const newestSchema = z.object({
  items: z.array(z.object({ key: z.string(), value: z.string().nullish(), offset: z.number() })),
  hasMore: z.boolean().nullish(),
  end: z.number(),
});

/** The store answered what its protocol does not allow. */
export class StoreAnswerError extends StepError {}

/** Calls the store. */
export class StoreClient {
  readonly #link: HttpLink;
  /** The time-outs by the step of the call. */
  readonly #timeouts = new Map<string, AnswerTimeout>();

  private constructor(link: HttpLink) {
    this.#link = link;
  }

  /** Creates a client of the store at an address. */
  static create(address: string): StoreClient {
    return new StoreClient(HttpLink.create({ address, connections: STORE_CONNECTIONS }));
  }

  /** Gets the address. */
  getAddress(): string {
    return this.#link.address;
  }

  /** Appends records, all or nothing. */
  append(options: AppendOptions): Promise<AppendResult> {
    return orUnanswered(() => this.#append(options));
  }

  async #append(options: AppendOptions): Promise<AppendResult> {
    const query = new URLSearchParams({ topic: options.topic, part: String(options.part) });
    if (options.at !== undefined) query.set("at", String(options.at));
    if (options.producer !== undefined) {
      query.set("producer", options.producer.name);
      query.set("epoch", String(options.producer.epoch));
      query.set("seq", String(options.producer.sequence));
    }
    const answer = await this.#call("append", {
      method: "POST",
      path: `/-/log-append?${query}`,
      headers: { "content-type": "application/octet-stream" },
      body: frameRecords(options.records),
    });
    switch (answer.status) {
      case 200:
        return { outcome: "done", ...this.#parse("append", appendedSchema, answer) };
      case 412:
        return { outcome: "wrong-end", ...this.#parse("append", wrongEndSchema, answer) };
      case 409: {
        const conflict = this.#parse("append", conflictSchema, answer);
        if (conflict.reason === "fenced") return { outcome: "fenced" };
        return { outcome: "wrong-sequence", expected: getExpectedSequence(conflict) };
      }
      default:
        return { outcome: "refused", status: answer.status };
    }
  }

  /** Reads records from an offset, and waits for one if there is none. */
  read(options: ReadOptions): Promise<ReadResult> {
    return orUnanswered(() => this.#read(options));
  }

  async #read(options: ReadOptions): Promise<ReadResult> {
    const { topic, part, from, waitMilliseconds } = options;
    const answer = await this.#call("read", {
      method: "GET",
      path: `/-/log-read?topic=${topic}&part=${part}&from=${from}&waitMs=${waitMilliseconds}`,
    }, waitMilliseconds);
    if (answer.status === 410) {
      return { outcome: "expired", ...this.#parse("read", expiredSchema, answer) };
    }
    if (answer.status !== 200) return { outcome: "refused", status: answer.status };
    return { outcome: "done", ...unframeRecords(answer.body, from, this.#link.address) };
  }

  /** Reads the newest value of every key of a keyed topic. */
  readNewest(options: Partition): Promise<NewestResult> {
    return orUnanswered(() => this.#readNewest(options));
  }

  async #readNewest(options: Partition): Promise<NewestResult> {
    const values: KeyedValue[] = [];
    let end: number | undefined;
    let after: string | undefined;
    for (;;) {
      const query = new URLSearchParams({ topic: options.topic, part: String(options.part) });
      if (after !== undefined) query.set("after", after);
      const answer = await this.#call("read-newest", {
        method: "GET",
        path: `/-/log-newest?${query}`,
      });
      if (answer.status !== 200) return { outcome: "refused", status: answer.status };
      const page = this.#parse("read-newest", newestSchema, answer);
      // Pages are no snapshot: records after the end of the first one are to be read again.
      end ??= page.end;
      for (const item of page.items) {
        values.push({ key: item.key, value: Buffer.from(item.value ?? "", "base64") });
      }
      after = page.items.at(-1)?.key;
      if (page.hasMore !== true || after === undefined) return { outcome: "done", values, end };
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#link.close();
  }

  /** Calls, and learns how long the store takes beyond the wait that was asked for. */
  async #call(
    step: string,
    call: Omit<LinkCall, "step" | "timeoutMilliseconds">,
    waitMilliseconds = 0,
  ): Promise<LinkAnswer> {
    const timeout = this.#timeouts.get(step) ?? AnswerTimeout.create();
    this.#timeouts.set(step, timeout);
    const timeoutMilliseconds = waitMilliseconds + timeout.getMilliseconds();
    const sentAt = performance.now();
    try {
      const answer = await this.#link.call({ step, ...call, timeoutMilliseconds });
      timeout.addAnswer(Math.max(0, performance.now() - sentAt - waitMilliseconds));
      return answer;
    } catch (error) {
      timeout.addSilence();
      throw error;
    }
  }

  #parse<Value>(step: string, schema: z.ZodType<Value>, answer: LinkAnswer): Value {
    const parsed = schema.safeParse(parseJson(answer.body));
    if (parsed.success) return parsed.data;
    throw new StoreAnswerError({
      message: `status ${answer.status} with an unexpected body: ${parsed.error.message}`,
      step,
      peer: this.#link.address,
    });
  }
}

/** Makes no answer, and one that can't be read, an outcome: either way nobody knows what was done. */
async function orUnanswered<Result>(
  act: () => Promise<Result>,
): Promise<Result | { outcome: "unanswered"; reason: string }> {
  try {
    return await act();
  } catch (error) {
    if (error instanceof NoAnswerError || error instanceof StoreAnswerError) {
      return { outcome: "unanswered", reason: error.message };
    }
    throw error;
  }
}

/** Gets the bytes of a keyed record; no value drops the key. */
export function encodeKeyedRecord(key: string, value: Uint8Array | undefined): Buffer {
  const keyBytes = Buffer.from(key);
  return Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value ?? Buffer.alloc(0)]);
}

/** Gets the key and the value of a keyed record, or undefined if it is none. */
export function decodeKeyedRecord(content: Buffer): KeyedValue | undefined {
  const keyLength = content[0];
  if (keyLength === undefined || content.length < 1 + keyLength) return undefined;
  return {
    key: content.toString("utf8", 1, 1 + keyLength),
    value: content.subarray(1 + keyLength),
  };
}

function frameRecords(records: readonly Uint8Array[]): Buffer {
  const parts: Uint8Array[] = [];
  for (const record of records) {
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(record.length);
    parts.push(length, record);
  }
  return Buffer.concat(parts);
}

function unframeRecords(body: Buffer, from: number, peer: string) {
  if (body.length < 2 * OFFSET_BYTES) {
    throw new StoreAnswerError({ message: "the read's head is missing", step: "read", peer });
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

/** Gets the expected number of a conflict: the page names no field, so the one number in it counts. */
function getExpectedSequence(conflict: Record<string, unknown>): number {
  const number = Object.values(conflict).find((value) => typeof value === "number");
  return typeof number === "number" ? number : 0;
}

/** Gets the value of a JSON body, or undefined if it is none. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}
