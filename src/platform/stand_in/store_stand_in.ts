/** A stand-in for the platform's store that listens on loopback, with faults that tests set. */

import { setTimeout as delay } from "node:timers/promises";
import type { IncomingMessage, ServerResponse } from "node:http";
import { decodeKeyedRecord, encodeKeyedRecord, parseJson } from "../store_client.ts";
import { sendJson, StandInServer } from "./stand_in_server.ts";

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const BYTES_PER_KB = 1_024;
/** The maximum size of the records that a read returns, unless it asks for another, in KB. */
const DEFAULT_MAXIMUM_READ_KB = 1_024;
/** The interval at which a slow transfer goes on, in milliseconds. */
const SLICE_MILLISECONDS = 10;
/** How late a request is executed or answered if it is late, by default, in milliseconds. */
const LATENESS_MILLISECONDS = 3_000;
/** The number of a producer's latest appends whose repetition gets the original response. */
const RETAINED_APPENDS = 5;

/** How the store handles a request. */
export const StoreFault = {
  /** The request is served. */
  None: "none",
  /** The request is refused with status 503. */
  Busy: "busy",
  /** The connection is reset and the request is not executed. */
  Reset: "reset",
  /** The request is executed and not answered. */
  AnswerLost: "lost-answer",
  /** The request is neither executed nor answered. */
  RequestLost: "silent",
  /** The request is executed, and answered late. */
  AnswerLate: "late-answer",
  /** The request is executed late if its condition still holds, and not answered. */
  ExecutedLate: "late-execution",
  /** The request is executed, and its response stops after half of the body. */
  Stalled: "stalled",
} as const;
export type StoreFault = typeof StoreFault[keyof typeof StoreFault];

interface Producer {
  epoch: number;
  sequence: number;
  /** The body of the response to each retained append, by its sequence number. */
  responses: Map<number, string>;
}

interface StoredPartition {
  first: number;
  records: Buffer[];
  producers: Map<string, Producer>;
  waiting: Set<() => void>;
}

/** Options of a `StoreStandIn`. */
export interface StoreStandInOptions {
  /** Chooses the fault of a request by its path, including the query; no faults by default. */
  chooseFault?: (path: string, host: string) => StoreFault;
  /** The rate at which each body is transferred, in bytes per millisecond; unlimited by default. */
  bytesPerMillisecond?: number;
}

/** An in-memory store. */
export class StoreStandIn {
  /** Chooses the fault of a request by its path, including the query, and its sender's address. */
  chooseFault: (path: string, host: string) => StoreFault;
  /** Gets how late a request is executed or answered if it is late, in milliseconds. */
  getLateness = () => LATENESS_MILLISECONDS;
  /** The number of requests by path. */
  readonly calls: Record<string, number> = {};
  readonly #partitions = new Map<string, StoredPartition>();
  /** The newest record of each key as of the last compaction of a partition. */
  readonly #compacted = new Map<StoredPartition, Buffer[]>();
  readonly #server: StandInServer;
  readonly #bytesPerMillisecond: number;

  private constructor(options: StoreStandInOptions) {
    this.chooseFault = options.chooseFault ?? (() => StoreFault.None);
    this.#bytesPerMillisecond = options.bytesPerMillisecond ?? Infinity;
    this.#server = StandInServer.create((request, body, response) =>
      this.#handle(request, body, response)
    );
  }

  /** Creates a store without records. It accepts requests once `listen` is called. */
  static create(options: StoreStandInOptions = {}): StoreStandIn {
    return new StoreStandIn(options);
  }

  /** Listens on a free loopback port and returns the address. */
  listen(): Promise<string> {
    return this.#server.listen();
  }

  /** Closes the listening socket and all connections. */
  close(): void {
    this.#server.close();
  }

  /** Writes a value under a key, as operators and executors do; `undefined` deletes the key. */
  put(topic: string, key: string, value: unknown): void {
    const text = value === undefined ? undefined : Buffer.from(JSON.stringify(value));
    this.putBytes(topic, encodeKeyedRecord(key, text));
  }

  /** Appends an encoded record, which may be malformed. */
  putBytes(topic: string, record: Buffer): void {
    const partition = this.#getPartition(topic, 0);
    partition.records.push(record);
    for (const wake of partition.waiting) wake();
  }

  /** Discards all records of a topic except the newest value of each key. */
  compact(topic: string): void {
    const partition = this.#getPartition(topic, 0);
    const newest = [...this.#getNewest(partition)].map(([key, { value }]) =>
      encodeKeyedRecord(key, value)
    );
    partition.first += partition.records.length;
    partition.records = [];
    this.#compacted.set(partition, newest);
  }

  /** Gets the newest value of each key of a topic, decoded from JSON. */
  getValues(topic: string): Record<string, unknown> {
    const newest = this.#getNewest(this.#getPartition(topic, 0));
    return Object.fromEntries([...newest].map(([key, { value }]) => [key, parseJson(value)]));
  }

  async #handle(request: IncomingMessage, body: Buffer, response: ServerResponse): Promise<void> {
    const path = request.url ?? "/";
    const url = new URL(path, "http://store");
    this.calls[url.pathname] = (this.calls[url.pathname] ?? 0) + 1;
    const fault = this.chooseFault(path, request.socket.remoteAddress ?? "");
    if (fault === StoreFault.Busy) return sendJson(response, 503, {});
    if (fault === StoreFault.Reset) return void response.socket?.resetAndDestroy();
    if (fault === StoreFault.RequestLost) return;
    await delay(body.length / this.#bytesPerMillisecond);
    if (fault === StoreFault.ExecutedLate) await delay(this.getLateness());
    const result = await this.#serve(url, body, request);
    if (fault === StoreFault.AnswerLost || fault === StoreFault.ExecutedLate) return;
    if (fault === StoreFault.AnswerLate) await delay(this.getLateness());
    response.statusCode = result.status;
    if (fault === StoreFault.Stalled) {
      return void response.write(result.body.slice(0, result.body.length / 2));
    }
    await this.#send(response, Buffer.from(result.body));
  }

  /** Sends a body at the store's rate, however late the timers are. */
  async #send(response: ServerResponse, body: Buffer): Promise<void> {
    const startedAt = performance.now();
    let sent = 0;
    while (!response.destroyed) {
      const elapsed = performance.now() - startedAt + SLICE_MILLISECONDS;
      const due = Math.min(body.length, Math.floor(elapsed * this.#bytesPerMillisecond));
      if (due === body.length) break;
      response.write(body.subarray(sent, due));
      sent = due;
      await delay(SLICE_MILLISECONDS);
    }
    response.end(body.subarray(sent));
  }

  async #serve(url: URL, body: Buffer, request: IncomingMessage) {
    const query = url.searchParams;
    const partition = this.#getPartition(query.get("topic") ?? "", Number(query.get("part")));
    switch (url.pathname) {
      case "/-/log-append":
        return this.#append(partition, query, body);
      case "/-/log-read":
        return await this.#read(partition, query, request);
      case "/-/log-newest":
        return this.#readNewest(partition, query);
      default:
        return { status: 404, body: "{}" };
    }
  }

  #append(partition: StoredPartition, query: URLSearchParams, body: Buffer) {
    const end = getEnd(partition);
    const name = query.get("producer");
    const epoch = Number(query.get("epoch"));
    const sequence = Number(query.get("seq"));
    let producer: Producer | undefined;
    if (name !== null) {
      producer = partition.producers.get(name) ?? { epoch: -1, sequence: 0, responses: new Map() };
      if (epoch < producer.epoch) return createJsonResponse(409, { reason: "fenced" });
      if (epoch > producer.epoch) {
        producer = { epoch, sequence: sequence - 1, responses: new Map() };
      }
      const repeated = producer.responses.get(sequence);
      if (repeated !== undefined) return { status: 200, body: repeated };
      if (sequence !== producer.sequence + 1) {
        return createJsonResponse(409, { reason: "seq", expected: producer.sequence + 1 });
      }
    }
    const at = query.get("at");
    if (at !== null && Number(at) !== end) return createJsonResponse(412, { end });
    const records = splitRecords(body);
    partition.records.push(...records);
    const result = createJsonResponse(200, { offset: end, end: end + records.length });
    if (producer !== undefined && name !== null) {
      producer.sequence = sequence;
      producer.responses.set(sequence, result.body);
      producer.responses.delete(sequence - RETAINED_APPENDS);
      partition.producers.set(name, producer);
    }
    for (const wake of partition.waiting) wake();
    return result;
  }

  async #read(partition: StoredPartition, query: URLSearchParams, request: IncomingMessage) {
    const from = Number(query.get("from"));
    if (from < partition.first) return createJsonResponse(410, { first: partition.first });
    const waitMilliseconds = Number(query.get("waitMs") ?? 0);
    if (from >= getEnd(partition) && waitMilliseconds > 0) {
      await waitForRecord(partition, waitMilliseconds, request);
    }
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(getEnd(partition)), 0);
    head.writeBigUInt64BE(BigInt(partition.first), OFFSET_BYTES);
    const parts: Buffer[] = [head];
    let remainingBytes = Number(query.get("maxKb") ?? DEFAULT_MAXIMUM_READ_KB) * BYTES_PER_KB;
    for (const record of partition.records.slice(from - partition.first)) {
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(record.length);
      remainingBytes -= LENGTH_BYTES + record.length;
      if (remainingBytes < 0 && parts.length > 1) break;
      parts.push(length, record);
    }
    return { status: 200, body: Buffer.concat(parts) };
  }

  #readNewest(partition: StoredPartition, query: URLSearchParams) {
    const after = query.get("after") ?? "";
    const pageLength = 500;
    const keys = [...this.#getNewest(partition).entries()]
      .filter(([key]) => key > after)
      .sort(([first], [second]) => (first < second ? -1 : 1));
    const items = keys.slice(0, pageLength).map(([key, { value, offset }]) => ({
      key,
      value: value.toString("base64"),
      offset,
    }));
    return createJsonResponse(200, {
      items,
      hasMore: keys.length > pageLength,
      end: getEnd(partition),
    });
  }

  #getNewest(partition: StoredPartition): Map<string, { value: Buffer; offset: number }> {
    const newest = new Map<string, { value: Buffer; offset: number }>();
    const records = [...(this.#compacted.get(partition) ?? []), ...partition.records];
    records.forEach((record, index) => {
      const decoded = decodeKeyedRecord(record);
      if (decoded === undefined) return;
      if (decoded.value.length === 0) newest.delete(decoded.key);
      else newest.set(decoded.key, { value: decoded.value, offset: index });
    });
    return newest;
  }

  #getPartition(topic: string, part: number): StoredPartition {
    const name = `${topic}/${part}`;
    let partition = this.#partitions.get(name);
    if (partition === undefined) {
      partition = { first: 0, records: [], producers: new Map(), waiting: new Set() };
      this.#partitions.set(name, partition);
    }
    return partition;
  }
}

function getEnd(partition: StoredPartition): number {
  return partition.first + partition.records.length;
}

function waitForRecord(
  partition: StoredPartition,
  milliseconds: number,
  request: IncomingMessage,
): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      clearTimeout(timer);
      partition.waiting.delete(finish);
      request.socket.off("close", finish);
      resolve();
    };
    const timer = setTimeout(finish, milliseconds);
    partition.waiting.add(finish);
    request.socket.once("close", finish);
  });
}

/** Splits a request body into its length-prefixed records. */
function splitRecords(body: Buffer): Buffer[] {
  const records: Buffer[] = [];
  let position = 0;
  while (position + LENGTH_BYTES <= body.length) {
    const length = body.readUInt32BE(position);
    records.push(body.subarray(position + LENGTH_BYTES, position + LENGTH_BYTES + length));
    position += LENGTH_BYTES + length;
  }
  return records;
}

function createJsonResponse(status: number, body: unknown) {
  return { status, body: JSON.stringify(body) };
}
