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
   * The send time of the read, on the elapsed clock: the values were current then or later;
   * `-Infinity` if the read did not reach the end of the topic.
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
  /** Called with the result of each successful read. */
  onUpdate: (update: KeyedTopicUpdate) => void;
  /** The clock for the send times of the reads. */
  clock: ElapsedClock;
  /** Logs failures and recoveries of the store, and unreadable records. */
  log: EventLog;
}

/** The result of a read, or the reason why the store did not serve it. */
type TopicReadResult = { update: KeyedTopicUpdate } | { reason: string };

/** The messages that a `KeyedTopicTask` accepts. */
export type KeyedTopicMessage =
  | { kind: "read" }
  | { kind: "answered"; result: TopicReadResult };

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
        void this.#read().catch((error: unknown): TopicReadResult => ({ reason: String(error) }))
          .then((result) => this.post({ kind: "answered", result }));
        return;
      case "answered":
        return this.#handleResult(message.result);
    }
  }

  override getState(): unknown {
    return { topic: this.#options.topic, next: this.#nextOffset ?? 0, reads: this.#readCount };
  }

  #handleResult(result: TopicReadResult): void {
    const { onUpdate, pauseMilliseconds } = this.#options;
    if ("reason" in result) this.#countFailure(result.reason);
    else {
      this.#clearFailures();
      onUpdate(result.update);
    }
    const delay = "reason" in result ? RETRY_DELAY_MILLISECONDS : pauseMilliseconds;
    setTimeout(() => this.post({ kind: "read" }), delay);
  }

  /** Logs the first, second, fourth, eighth, ... of consecutive failures. */
  #countFailure(reason: string): void {
    const { log, topic, store } = this.#options;
    this.#failureCount += 1;
    if (!Number.isInteger(Math.log2(this.#failureCount))) return;
    const failures = this.#failureCount;
    log("store-lost", { step: "read", topic, peer: store.getAddress(), reason, failures });
  }

  #clearFailures(): void {
    const { log, topic, store } = this.#options;
    if (this.#failureCount > 0) {
      log("store-regained", { topic, peer: store.getAddress(), failures: this.#failureCount });
    }
    this.#failureCount = 0;
  }

  /** Reads the next records, or a full snapshot. */
  async #read(): Promise<TopicReadResult> {
    const { store, topic, waitMilliseconds, clock } = this.#options;
    const sentAt = clock.getElapsed();
    if (this.#nextOffset === undefined) {
      const newest = await store.readNewest({ topic, part: 0 });
      if (newest.outcome !== "done") return { reason: describeFailure(newest) };
      this.#nextOffset = newest.end;
      return {
        update: { changes: newest.values, isSnapshot: true, asOf: sentAt, end: newest.end },
      };
    }
    const from = this.#nextOffset;
    const read = await store.read({ topic, part: 0, from, waitMilliseconds });
    if (read.outcome === "expired") {
      this.#nextOffset = undefined;
      return await this.#read();
    }
    if (read.outcome !== "done") return { reason: describeFailure(read) };
    const changes: KeyedEntry[] = [];
    for (const { offset, content } of read.records) {
      const entry = decodeKeyedRecord(content);
      if (entry !== undefined) changes.push(entry);
      else this.#options.log("store-record-unreadable", { topic, offset });
    }
    const nextOffset = from + read.records.length;
    const remaining = read.end - nextOffset;
    // Reads a snapshot next, which leaves out superseded values.
    this.#nextOffset = remaining > 0 ? undefined : nextOffset;
    return {
      update: {
        changes,
        isSnapshot: false,
        // A read that stops before the end says nothing about the remaining records.
        asOf: remaining <= 0 ? sentAt : -Infinity,
        end: nextOffset,
      },
    };
  }
}

function describeFailure(
  result: { outcome: "refused"; status: number } | { outcome: "unanswered"; reason: string },
): string {
  return result.outcome === "refused" ? `status ${result.status}` : result.reason;
}
