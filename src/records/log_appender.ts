/** Appends the host's publications to the log: batched, one append at a time, rate-limited. */

import type { Address } from "../tasks/mod.ts";
import type { AppendResult, PlatformMessage } from "./platform_messages.ts";
import type { PublicationQueue } from "./publication_queue.ts";
import type { RecordMessage } from "./record_messages.ts";

/** The maximum number of records in one append. */
const MAXIMUM_RECORDS_PER_APPEND = 500;

/** Options of a `LogAppender`. */
export interface LogAppenderOptions {
  /** The task that sends requests to the platform. */
  platform: Address<PlatformMessage>;
  /** The task that is notified when an append ends or the next one may start. */
  owner: Address<RecordMessage>;
  publications: PublicationQueue;
  /** The minimum time between the starts of two appends. */
  intervalMilliseconds: number;
}

/** Sends batches of publications to the log. */
export class LogAppender {
  readonly #options: LogAppenderOptions;
  #isAppending = false;
  #timer: NodeJS.Timeout | undefined;

  private constructor(options: LogAppenderOptions) {
    this.#options = options;
  }

  static create(options: LogAppenderOptions): LogAppender {
    return new LogAppender(options);
  }

  /** Appends the next batch, unless an append is running or the interval has not passed yet. */
  appendPending(): void {
    if (this.#isAppending || this.#timer !== undefined) return;
    const drafts = this.#options.publications.takeBatch(MAXIMUM_RECORDS_PER_APPEND);
    if (drafts.length === 0) return;
    this.#isAppending = true;
    const { platform, owner, intervalMilliseconds } = this.#options;
    const reply = (result: AppendResult) => {
      owner.post({ kind: "append-ended", drafts, result });
    };
    if (!platform.post({ kind: "append", records: drafts, reply })) {
      reply({ outcome: "unknown", reason: "the platform task's queue is full" });
    }
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      owner.post({ kind: "append-tick" });
    }, intervalMilliseconds);
  }

  /** Marks the append as ended, so that the next one may start. */
  endAppend(): void {
    this.#isAppending = false;
  }

  /** Stops the timer. */
  stop(): void {
    clearTimeout(this.#timer);
  }
}
