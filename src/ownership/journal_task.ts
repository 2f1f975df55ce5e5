/**
 * Writes a journal, a keyed topic that one process writes under an epoch: one append is in flight,
 * and entries that arrive meanwhile are batched.
 */

import type { EventLog } from "../events/mod.ts";
import type { JournalEntry } from "../owner/owner_ports.ts";
import { Task } from "../tasks/mod.ts";
import type { EntryStore, JournalAppendResult } from "./ownership_ports.ts";

/** The maximum number of entries in one append. */
const MAXIMUM_APPEND_ENTRIES = 500;
/**
 * The maximum size of an append that combines several writes, in bytes: the larger an append, the
 * later its loss is detected.
 */
const MAXIMUM_APPEND_BYTES = 100_000;
/** The maximum number of keys in the log line of a write. */
const MAXIMUM_LOGGED_KEYS = 3;
/** The delay before a failed append is retried, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 60;

interface PendingWrite {
  entries: JournalEntry[];
  onStored: () => void;
  /** Called if the entries can't be stored, whatever is tried. */
  onRejected?: (() => void) | undefined;
}

/** The messages of a `JournalTask`. */
export type JournalMessage =
  | ({ kind: "write" } & PendingWrite)
  | { kind: "append" }
  | { kind: "appended"; result: JournalAppendResult; sentAt: number };

/** Options of a `JournalTask`. */
export interface JournalTaskOptions {
  /** The store to append to. */
  store: EntryStore;
  /** The epoch of the owner. */
  epoch: number;
  /** The sequence number of the first append. */
  firstSequence: number;
  /** Called when the store has seen a higher epoch, so that this process is no longer the owner. */
  onFenced: () => void;
  /** Called with the duration of each append, in milliseconds. */
  onAppended: (milliseconds: number) => void;
  /** The event log. */
  log: EventLog;
}

/** Owns the sequence of appends. Entries are stored in the order in which they were posted. */
export class JournalTask extends Task<JournalMessage> {
  readonly #options: JournalTaskOptions;
  #pending: PendingWrite[] = [];
  #batch: PendingWrite[] = [];
  #isAppending = false;
  #sequence: number;
  #failures = 0;
  #failingSince = 0;

  private constructor(options: JournalTaskOptions) {
    super({ name: "journal", mailboxCapacity: 100_000 });
    this.#options = options;
    this.#sequence = options.firstSequence;
  }

  static create(options: JournalTaskOptions): JournalTask {
    return new JournalTask(options);
  }

  /** Gets since when appends have been failing, as monotonic time; undefined if they succeed. */
  getFailingSince(): number | undefined {
    return this.#failures > 0 ? this.#failingSince : undefined;
  }

  protected override receive(message: JournalMessage): void {
    switch (message.kind) {
      case "write":
        this.#pending.push(message);
        if (!this.#isAppending) this.#startBatch();
        return;
      case "append":
        return this.#append();
      case "appended":
        return this.#handleResult(message.result, message.sentAt);
    }
  }

  override getState(): unknown {
    return { waiting: this.#pending.length, sequence: this.#sequence, failures: this.#failures };
  }

  #startBatch(): void {
    let entries = 0;
    let bytes = 0;
    let count = 0;
    for (const write of this.#pending) {
      const size = write.entries.reduce((sum, entry) => sum + (entry.value?.length ?? 0), 0);
      if (
        count > 0 &&
        (entries + write.entries.length > MAXIMUM_APPEND_ENTRIES ||
          bytes + size > MAXIMUM_APPEND_BYTES)
      ) {
        break;
      }
      entries += write.entries.length;
      bytes += size;
      count += 1;
    }
    this.#batch = this.#pending.splice(0, count);
    if (this.#batch.length === 0) return;
    if (entries === 0) {
      const batch = this.#batch;
      this.#batch = [];
      for (const write of batch) write.onStored();
      return this.#startBatch();
    }
    this.#isAppending = true;
    this.#append();
  }

  #append(): void {
    const { store, epoch } = this.#options;
    const sentAt = performance.now();
    const entries = this.#batch.flatMap((write) => write.entries);
    void store.append(entries, epoch, this.#sequence)
      .catch((error: unknown): JournalAppendResult => ({
        outcome: "unanswered",
        reason: String(error),
      }))
      .then((result) => this.post({ kind: "appended", result, sentAt }));
  }

  #handleResult(result: JournalAppendResult, sentAt: number): void {
    const { log, epoch, onFenced, onAppended } = this.#options;
    switch (result.outcome) {
      case "done": {
        if (this.#failures > 0) log("journal-regained", { epoch, failures: this.#failures });
        this.#failures = 0;
        this.#sequence += 1;
        this.#isAppending = false;
        onAppended(performance.now() - sentAt);
        const batch = this.#batch;
        this.#batch = [];
        for (const write of batch) write.onStored();
        if (!this.#isAppending) this.#startBatch();
        return;
      }
      case "fenced":
        log("journal-fenced", { epoch, sequence: this.#sequence });
        this.stop();
        return onFenced();
      case "wrong-sequence":
        log("journal-sequence", { epoch, sequence: this.#sequence, expected: result.expected });
        this.#sequence = result.expected;
        break;
      case "unstorable":
        return this.#handleUnstorable(result.reason);
      default:
        if (this.#failures === 0) {
          this.#failingSince = performance.now();
          const reason = result.outcome === "refused" ? `status ${result.status}` : result.reason;
          log("journal-lost", { step: "append", epoch, reason });
        }
        this.#failures += 1;
    }
    setTimeout(() => this.post({ kind: "append" }), RETRY_DELAY_MILLISECONDS);
  }

  /** Finds the write that can't be stored, and drops it, so that the others are not held back. */
  #handleUnstorable(reason: string): void {
    const { log, epoch } = this.#options;
    const [first, ...others] = this.#batch;
    if (first !== undefined && others.length > 0) {
      this.#pending.unshift(...others);
      this.#batch = [first];
      return this.#append();
    }
    this.#batch = [];
    this.#isAppending = false;
    log("journal-write-dropped", {
      epoch,
      keys: first?.entries.map(({ key }) => key).slice(0, MAXIMUM_LOGGED_KEYS).join(" "),
      reason,
    });
    first?.onRejected?.();
    if (!this.#isAppending) this.#startBatch();
  }
}
