/** Subscribes to a keyed topic of the store, and tracks how current the received values are. */

import type { EventLog } from "../events/mod.ts";
import { ElapsedClock, Task } from "../tasks/mod.ts";
import { decodeKeyedRecord, type KeyedEntry, type StoreClient } from "./store_client.ts";

/** The delay before a failed read is retried, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 100;

/** The result of one successful read of a keyed topic. */
export interface KeyedTopicUpdate {
  /** The changed values, in order; an empty value deletes the key. */
  changes: readonly KeyedEntry[];
  /** Whether the changes are a full snapshot, which replaces all earlier values. */
  isSnapshot: boolean;
  /**
   * When the values were known to be current, on the elapsed clock; `-Infinity` if the read did
   * not reach the end of the topic.
   */
  asOf: number;
  /** The offset after the last record that was read, for a conditional append. */
  end: number;
}

/** Options of a `KeyedTopicTask`. */
export interface KeyedTopicTaskOptions {
  store: StoreClient;
  /** The topic; only its partition 0 is read. */
  topic: string;
  /** How long a read waits for new records (long poll), in milliseconds. */
  waitMilliseconds: number;
  /** The delay between two reads, in milliseconds, so that one read returns several records. */
  pauseMilliseconds: number;
  /** Called with each update. */
  onUpdate: (update: KeyedTopicUpdate) => void;
  /** The clock for `freshAt`. */
  clock: ElapsedClock;
  /** Logs failures and recoveries of the store, and unreadable records. */
  log: EventLog;
}

/** The messages that a `KeyedTopicTask` accepts. */
export type KeyedTopicMessage =
  | { kind: "read" }
  | { kind: "answered"; update: KeyedTopicUpdate | undefined; reason?: string | undefined };

/** Owns the read position in one topic. */
export class KeyedTopicTask extends Task<KeyedTopicMessage> {
  readonly #options: KeyedTopicTaskOptions;
  /** The next offset to read, or undefined if the next read must fetch a full snapshot. */
  #nextOffset: number | undefined;
  #failureCount = 0;
  #readCount = 0;

  private constructor(options: KeyedTopicTaskOptions) {
    super({ name: `topic-${options.topic}` });
    this.#options = options;
  }

  /** Creates the task and starts to read the topic. */
  static create(options: KeyedTopicTaskOptions): KeyedTopicTask {
    const task = new KeyedTopicTask(options);
    task.post({ kind: "read" });
    return task;
  }

  protected override receive(message: KeyedTopicMessage): void {
    switch (message.kind) {
      case "read":
        this.#readCount += 1;
        void this.#read().then((update) => this.post({ kind: "answered", update }))
          .catch((error: unknown) =>
            this.post({ kind: "answered", update: undefined, reason: String(error) })
          );
        return;
      case "answered":
        return this.#handleResult(message.update, message.reason);
    }
  }

  override getState(): unknown {
    return { topic: this.#options.topic, next: this.#nextOffset ?? 0, reads: this.#readCount };
  }

  #handleResult(update: KeyedTopicUpdate | undefined, reason: string | undefined): void {
    const { log, topic, store, onUpdate: notify, pauseMilliseconds } = this.#options;
    if (update === undefined) {
      this.#failureCount += 1;
      if (this.#failureCount === 1) {
        log("store-lost", { step: "read", topic, peer: store.getAddress(), reason });
      }
    } else {
      if (this.#failureCount > 0) {
        log("store-regained", { topic, peer: store.getAddress(), failures: this.#failureCount });
      }
      this.#failureCount = 0;
      notify(update);
    }
    const delay = update === undefined ? RETRY_DELAY_MILLISECONDS : pauseMilliseconds;
    setTimeout(() => this.post({ kind: "read" }), delay);
  }

  /** Reads the next records, or a full snapshot; undefined if the store did not serve the read. */
  async #read(): Promise<KeyedTopicUpdate | undefined> {
    const { store, topic, waitMilliseconds, clock } = this.#options;
    const freshAt = clock.getElapsed();
    if (this.#nextOffset === undefined) {
      const newest = await store.readNewest({ topic, part: 0 });
      if (newest.outcome !== "done") return undefined;
      this.#nextOffset = newest.end;
      return { changes: newest.values, isSnapshot: true, asOf: freshAt, end: newest.end };
    }
    const from = this.#nextOffset;
    const read = await store.read({ topic, part: 0, from, waitMilliseconds });
    if (read.outcome === "expired") {
      this.#nextOffset = undefined;
      return await this.#read();
    }
    if (read.outcome !== "done") return undefined;
    const changes: KeyedEntry[] = [];
    for (const { offset, content } of read.records) {
      const change = decodeKeyedRecord(content);
      if (change !== undefined) changes.push(change);
      else this.#options.log("store-record-unreadable", { topic, offset });
    }
    this.#nextOffset = from + read.records.length;
    // A read that stops before the end says nothing about the remaining records.
    const isAtEnd = this.#nextOffset >= read.end;
    return {
      changes,
      isSnapshot: false,
      asOf: isAtEnd ? freshAt : -Infinity,
      end: this.#nextOffset,
    };
  }
}
