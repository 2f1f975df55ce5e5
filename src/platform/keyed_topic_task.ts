/** Follows a keyed topic of the store: the newest value of each key, and how fresh that is. */

import type { EventLog } from "../events/mod.ts";
import { ElapsedClock, Task } from "../tasks/mod.ts";
import { decodeKeyedRecord, type KeyedValue, type StoreClient } from "./store_client.ts";

/** The pause before a call that failed is repeated, in milliseconds. */
const RETRY_MILLISECONDS = 100;

/** What a `KeyedTopicTask` tells after each answer of the store. */
export interface KeyedTopicNews {
  /** The changes, in order; an empty value means that the key was dropped. */
  changes: readonly KeyedValue[];
  /** Whether the changes are all that there is, in place of all before. */
  isWhole: boolean;
  /** The time on the elapsed clock at which all of this was the newest. */
  freshAt: number;
  /** The end of the topic, for a conditional append. */
  end: number;
}

/** Options of a `KeyedTopicTask`. */
export interface KeyedTopicTaskOptions {
  /** The store. */
  store: StoreClient;
  /** The topic; its only partition is followed. */
  topic: string;
  /** How long a read waits for a record, in milliseconds. */
  waitMilliseconds: number;
  /** The least time between two reads, in milliseconds, so that records share a read. */
  pauseMilliseconds: number;
  /** Gets the news. */
  notify: (news: KeyedTopicNews) => void;
  /** The clock of ages. */
  clock: ElapsedClock;
  /** Logs the loss and return of the store. */
  log: EventLog;
}

/** The messages that a `KeyedTopicTask` takes. */
export type KeyedTopicMessage =
  | { kind: "read" }
  | { kind: "answered"; news: KeyedTopicNews | undefined; reason?: string | undefined };

/** Owns the reading of one topic. */
export class KeyedTopicTask extends Task<KeyedTopicMessage> {
  readonly #options: KeyedTopicTaskOptions;
  /** The offset to read from, or undefined where all is to be read again. */
  #next: number | undefined;
  #failures = 0;
  #reads = 0;

  private constructor(options: KeyedTopicTaskOptions) {
    super({ name: `topic-${options.topic}` });
    this.#options = options;
  }

  /** Creates the task and starts to read. */
  static create(options: KeyedTopicTaskOptions): KeyedTopicTask {
    const task = new KeyedTopicTask(options);
    task.post({ kind: "read" });
    return task;
  }

  protected override receive(message: KeyedTopicMessage): void {
    switch (message.kind) {
      case "read":
        this.#reads += 1;
        void this.#read().then((news) => this.post({ kind: "answered", news }))
          .catch((error: unknown) =>
            this.post({ kind: "answered", news: undefined, reason: String(error) })
          );
        return;
      case "answered":
        return this.#handleAnswer(message.news, message.reason);
    }
  }

  override getState(): unknown {
    return { topic: this.#options.topic, next: this.#next ?? 0, reads: this.#reads };
  }

  #handleAnswer(news: KeyedTopicNews | undefined, reason: string | undefined): void {
    const { log, topic, store, notify, pauseMilliseconds } = this.#options;
    if (news === undefined) {
      this.#failures += 1;
      if (this.#failures === 1) {
        log("store-lost", { step: "read", topic, peer: store.getAddress(), reason });
      }
    } else {
      if (this.#failures > 0) {
        log("store-regained", { topic, peer: store.getAddress(), failures: this.#failures });
      }
      this.#failures = 0;
      notify(news);
    }
    const pause = news === undefined ? RETRY_MILLISECONDS : pauseMilliseconds;
    setTimeout(() => this.post({ kind: "read" }), pause);
  }

  /** Reads on, or all again; undefined if the store did not serve it. */
  async #read(): Promise<KeyedTopicNews | undefined> {
    const { store, topic, waitMilliseconds, clock } = this.#options;
    const freshAt = clock.getElapsed();
    if (this.#next === undefined) {
      const newest = await store.readNewest({ topic, part: 0 });
      if (newest.outcome !== "done") return undefined;
      this.#next = newest.end;
      return { changes: newest.values, isWhole: true, freshAt, end: newest.end };
    }
    const from = this.#next;
    const read = await store.read({ topic, part: 0, from, waitMilliseconds });
    if (read.outcome === "expired") {
      this.#next = undefined;
      return await this.#read();
    }
    if (read.outcome !== "done") return undefined;
    const changes: KeyedValue[] = [];
    for (const { offset, content } of read.records) {
      const change = decodeKeyedRecord(content);
      if (change !== undefined) changes.push(change);
      else this.#options.log("store-record-unreadable", { topic, offset });
    }
    this.#next = from + read.records.length;
    // A read that does not reach the end proves nothing about the records behind it.
    const isAtEnd = this.#next >= read.end;
    return { changes, isWhole: false, freshAt: isAtEnd ? freshAt : -Infinity, end: this.#next };
  }
}
