/** Writes the owner's journal: one append on its way, what comes meanwhile goes with the next. */

import type { EventLog } from "../events/mod.ts";
import type { JournalEntry } from "../owner/owner_ports.ts";
import { Task } from "../tasks/mod.ts";
import type { EntryStore, JournalAppendResult } from "./ownership_ports.ts";

/** The most entries of one append. */
const MOST_ENTRIES = 500;
/** The most bytes of one append, well below the platform's bound of 2 MB. */
const MOST_BYTES = 1_000_000;
/** The pause before a refused or unanswered append is repeated, in milliseconds. */
const RETRY_MILLISECONDS = 60;

interface Write {
  entries: JournalEntry[];
  onStored: () => void;
}

/** The messages that a `JournalTask` takes. */
export type JournalMessage =
  | { kind: "write"; entries: JournalEntry[]; onStored: () => void }
  | { kind: "append" }
  | { kind: "appended"; result: JournalAppendResult; sentAt: number };

/** Options of a `JournalTask`. */
export interface JournalTaskOptions {
  /** Where the entries last. */
  store: EntryStore;
  /** The epoch of this owner. */
  epoch: number;
  /** The sequence number of the first append. */
  firstSequence: number;
  /** Tells that a higher epoch writes: this owner is none any more. */
  onFenced: () => void;
  /** Gets the time that each append took, in milliseconds. */
  onAppended: (milliseconds: number) => void;
  /** Logs the loss and return of the journal. */
  log: EventLog;
}

/** Owns the order of appends. */
export class JournalTask extends Task<JournalMessage> {
  readonly #options: JournalTaskOptions;
  #waiting: Write[] = [];
  #batch: Write[] = [];
  #isAppending = false;
  #sequence: number;
  #failures = 0;
  #failingSince = 0;

  private constructor(options: JournalTaskOptions) {
    super({ name: "journal", mailboxCapacity: 100_000 });
    this.#options = options;
    this.#sequence = options.firstSequence;
  }

  /** Creates the task. */
  static create(options: JournalTaskOptions): JournalTask {
    return new JournalTask(options);
  }

  /** Gets since when appends fail, on the runtime's steady clock, or undefined if they do not. */
  getFailingSince(): number | undefined {
    return this.#failures > 0 ? this.#failingSince : undefined;
  }

  protected override receive(message: JournalMessage): void {
    switch (message.kind) {
      case "write":
        this.#waiting.push({ entries: message.entries, onStored: message.onStored });
        if (!this.#isAppending) this.#startBatch();
        return;
      case "append":
        return this.#append();
      case "appended":
        return this.#handleResult(message.result, message.sentAt);
    }
  }

  override getState(): unknown {
    return { waiting: this.#waiting.length, sequence: this.#sequence, failures: this.#failures };
  }

  #startBatch(): void {
    let entries = 0;
    let bytes = 0;
    let count = 0;
    for (const write of this.#waiting) {
      const size = write.entries.reduce((sum, entry) => sum + (entry.value?.length ?? 0), 0);
      if (
        count > 0 && (entries + write.entries.length > MOST_ENTRIES || bytes + size > MOST_BYTES)
      ) {
        break;
      }
      entries += write.entries.length;
      bytes += size;
      count += 1;
    }
    this.#batch = this.#waiting.splice(0, count);
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
      default:
        if (this.#failures === 0) {
          this.#failingSince = performance.now();
          const reason = result.outcome === "refused" ? `status ${result.status}` : result.reason;
          log("journal-lost", { step: "append", epoch, reason });
        }
        this.#failures += 1;
    }
    setTimeout(() => this.post({ kind: "append" }), RETRY_MILLISECONDS);
  }
}
