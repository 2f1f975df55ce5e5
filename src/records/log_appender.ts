/** The appends of one host: one at a time, batched, and no faster than the log's rate allows. */

import type { Address } from "../tasks/mod.ts";
import type { AppendResult, PlatformMessage } from "./platform_messages.ts";
import type { PublicationQueue } from "./publication_queue.ts";
import type { RecordMessage } from "./record_messages.ts";

/** The most records of one append. */
const MOST_RECORDS_PER_APPEND = 500;

/** Options of an `AppendLink`. */
export interface LogAppenderOptions {
  /** The platform's service. */
  platform: Address<PlatformMessage>;
  /** The task that owns the link. */
  owner: Address<RecordMessage>;
  /** The publications. */
  publications: PublicationQueue;
  /** The time between the starts of two appends. */
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

  /** Creates the link. */
  static create(options: LogAppenderOptions): LogAppender {
    return new LogAppender(options);
  }

  /** Appends what waits, now or when the interval has passed. */
  appendPending(): void {
    if (this.#isAppending || this.#timer !== undefined) return;
    const drafts = this.#options.publications.takeBatch(MOST_RECORDS_PER_APPEND);
    if (drafts.length === 0) return;
    this.#isAppending = true;
    const { platform, owner, intervalMilliseconds } = this.#options;
    const reply = (result: AppendResult) => {
      owner.post({ kind: "append-ended", drafts, result });
    };
    if (!platform.post({ kind: "append", records: drafts, reply })) {
      reply({ outcome: "unknown", reason: "the platform's task is full" });
    }
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      owner.post({ kind: "append-tick" });
    }, intervalMilliseconds);
  }

  /** Notes that the append has ended, so that the next may start. */
  endAppend(): void {
    this.#isAppending = false;
  }

  /** Stops the timer. */
  stop(): void {
    clearTimeout(this.#timer);
  }
}
