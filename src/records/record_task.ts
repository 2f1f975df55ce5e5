/** Follows the log: owns the fleet, publishes records and tells others what changed. */

import type { EventLog } from "../events/mod.ts";
import { type Address, type ElapsedClock, type Reply, Task } from "../tasks/mod.ts";
import { LogAppender } from "./log_appender.ts";
import type { JudgedRecord } from "./fold.ts";
import type { AppendResult, LogRead, PlatformMessage, ReadResult } from "./platform_messages.ts";
import { PublicationQueue } from "./publication_queue.ts";
import type { DraftRecord, LogRecord } from "./record.ts";
import { RecordBook } from "./record_book.ts";
import type {
  PublicationResult,
  RecordEvent,
  RecordMessage,
  RecordPeerMessage,
} from "./record_messages.ts";
import type { RecordRules } from "./record_rule.ts";
import { createRelayBatches } from "./relay_batch.ts";
import type { DecodeSnapshot, EncodeSnapshot } from "./snapshot.ts";
import { SnapshotPublisher } from "./snapshot_publisher.ts";
import { SnapshotSearch } from "./snapshot_search.ts";
import { logVerdict } from "./verdict_log.ts";

/** The most records of one read. */
export const MAXIMUM_RECORDS_PER_READ = 5_000;

/** The most records that one request of a peer is answered with. */
const PULL_LIMIT = 1_000;

/** The time between two requests to peers for the same records. */
const PULL_INTERVAL_MILLISECONDS = 100;

/** The result of a publication whose time is up. */
const TOO_LATE: PublicationResult = {
  outcome: "unknown",
  reason: "the log did not answer in time",
};

/** Options of a `RecordTask`. */
export interface RecordTaskOptions {
  /** The identity of this process. */
  memberId: string;
  /** The platform's service. */
  platform: Address<PlatformMessage>;
  /** The rules by which records are judged. */
  rules: RecordRules;
  /** Writes the chunks of a snapshot. */
  encodeSnapshot: EncodeSnapshot;
  /** Reads the chunks of a snapshot. */
  decodeSnapshot: DecodeSnapshot;
  /** The clock of elapsed time. */
  clock: ElapsedClock;
  /** The time between two reads of the log. */
  readIntervalMilliseconds: number;
  /** The time between the starts of two appends. */
  appendIntervalMilliseconds: number;
  /** How long a publication waits for its verdict. */
  publicationTimeoutMilliseconds: number;
  /** The records after which a snapshot is due. */
  snapshotIntervalRecords: number;
  /** The time after which a snapshot is due. */
  snapshotIntervalMilliseconds: number;
  /** Tells the other tasks what changed. */
  notify: (event: RecordEvent) => void;
  /** Sends a message to every peer. */
  broadcast: (message: RecordPeerMessage) => void;
  /** Sends a message to one peer. */
  send: (to: string, message: RecordPeerMessage) => void;
  /** The log of events. */
  log: EventLog;
}

/** Owns the fleet as the log's order makes it. */
export class RecordTask extends Task<RecordMessage> {
  readonly #options: RecordTaskOptions;
  readonly #book: RecordBook;
  readonly #publications = PublicationQueue.create();
  readonly #appends: LogAppender;
  readonly #snapshots: SnapshotPublisher;
  readonly #deadlines = new Map<string, NodeJS.Timeout>();
  #search: SnapshotSearch | undefined;
  #isReading = false;
  #isReadWanted = false;
  #readTimer: NodeJS.Timeout | undefined;
  #failedReads = 0;
  #pulledAt = Number.NEGATIVE_INFINITY;

  private constructor(options: RecordTaskOptions) {
    super({ name: "records" });
    this.#options = options;
    this.#book = RecordBook.create({ rules: options.rules });
    this.#search = SnapshotSearch.create(options);
    this.#snapshots = SnapshotPublisher.create({
      memberId: options.memberId,
      encodeSnapshot: options.encodeSnapshot,
      startedAt: options.clock.getElapsed(),
      intervalRecords: options.snapshotIntervalRecords,
      intervalMilliseconds: options.snapshotIntervalMilliseconds,
    });
    this.#appends = LogAppender.create({
      platform: options.platform,
      owner: this,
      publications: this.#publications,
      intervalMilliseconds: options.appendIntervalMilliseconds,
    });
  }

  /** Creates the task and starts to read the log. */
  static create(options: RecordTaskOptions): RecordTask {
    const task = new RecordTask(options);
    task.post({ kind: "read-tick" });
    return task;
  }

  protected override receive(message: RecordMessage): void {
    switch (message.kind) {
      case "publish":
        return this.#publish(message.draft, message.reply);
      case "publication-deadline":
        return this.#settle(message.recordId, TOO_LATE);
      case "append-tick":
        return this.#appends.appendPending();
      case "append-ended":
        return this.#handleAppended(message.drafts, message.result);
      case "read-tick":
        return this.#read();
      case "read-ended":
        return this.#handleRead(message.result);
      case "peer":
        return this.#handlePeer(message.from, message.message);
      case "peer-ahead":
        return this.#pull(message.from, message.offset);
      case "get-records":
        return message.reply(this.#book.getRecords(message.from, PULL_LIMIT));
    }
  }

  override getState(): unknown {
    return {
      offset: this.#book.getFleet().offset,
      isSearching: this.#search !== undefined,
      recordsAhead: this.#book.getAheadCount(),
      publications: this.#publications.getLength(),
      failedReads: this.#failedReads,
      snapshotOffset: this.#snapshots.getOffset(),
    };
  }

  override stop(): void {
    super.stop();
    clearTimeout(this.#readTimer);
    this.#appends.stop();
    for (const timer of this.#deadlines.values()) clearTimeout(timer);
  }

  #publish(draft: DraftRecord, reply: Reply<PublicationResult>): void {
    this.#publications.add(draft, reply);
    const timer = setTimeout(
      () => this.post({ kind: "publication-deadline", recordId: draft.id }),
      this.#options.publicationTimeoutMilliseconds,
    );
    clearTimeout(this.#deadlines.get(draft.id));
    this.#deadlines.set(draft.id, timer);
    this.#appends.appendPending();
  }

  #settle(recordId: string, result: PublicationResult): void {
    clearTimeout(this.#deadlines.get(recordId));
    this.#deadlines.delete(recordId);
    this.#publications.complete(recordId, result);
  }

  #handleAppended(drafts: DraftRecord[], result: AppendResult): void {
    this.#appends.endAppend();
    if (result.outcome === "unknown") {
      this.#options.log("append-unknown", { records: drafts.length, reason: result.reason });
      this.#publications.requeue(drafts);
      return;
    }
    const { firstOffset } = result;
    const records = drafts.map((draft, index) => ({ ...draft, offset: firstOffset + index }));
    for (const batch of createRelayBatches(records)) {
      this.#options.broadcast({ kind: "records-relayed", records: batch });
    }
    this.#addRecords(records);
    if (this.#book.getAheadCount() > 0) this.#read();
    this.#appends.appendPending();
  }

  #read(): void {
    if (this.#isReading) {
      this.#isReadWanted = true;
      return;
    }
    this.#isReading = true;
    this.#isReadWanted = false;
    clearTimeout(this.#readTimer);
    const next = this.#search?.getNextRead(MAXIMUM_RECORDS_PER_READ) ??
      { from: this.#book.getFleet().offset + 1, limit: MAXIMUM_RECORDS_PER_READ };
    const reply = (result: ReadResult) => this.post({ kind: "read-ended", result });
    if (this.#options.platform.post({ kind: "read", ...next, reply })) return;
    reply({ outcome: "failed", reason: "the platform's task is full" });
  }

  #handleRead(result: ReadResult): void {
    this.#isReading = false;
    const isBehind = result.outcome === "read" && this.#handleRecords(result.read);
    if (result.outcome === "failed") {
      this.#failedReads += 1;
      this.#options.log("log-read-failed", { reason: result.reason });
    }
    this.#appends.appendPending();
    if (isBehind || (this.#isReadWanted && result.outcome === "read")) return this.#read();
    this.#readTimer = setTimeout(
      () => this.post({ kind: "read-tick" }),
      this.#options.readIntervalMilliseconds,
    );
  }

  /** Takes what was read, and gets whether there is more to read. */
  #handleRecords(read: LogRead): boolean {
    if (this.#search !== undefined) return this.#continueSearch(this.#search, read);
    if (read.earliest > this.#book.getFleet().offset + 1) {
      this.#options.log("log-gap", { earliest: read.earliest });
      this.#search = SnapshotSearch.create(this.#options);
      return true;
    }
    this.#addRecords(read.records);
    return this.#noteHead(read);
  }

  #continueSearch(search: SnapshotSearch, read: LogRead): boolean {
    const result = search.addRead(read);
    if (result.outcome === "reading") return true;
    if (result.outcome === "missing") {
      this.#options.log("snapshot-missing", { earliest: result.earliest });
      this.#search = SnapshotSearch.create(this.#options);
      return false;
    }
    this.#search = undefined;
    if (this.#book.restore(result.fleet)) {
      this.#snapshots.setNewestSnapshot(result.fleet.offset, this.#options.clock.getElapsed());
      this.#options.log("snapshot-restored", { offset: result.fleet.offset });
      this.#notifyFleet();
    }
    this.#addRecords(result.records);
    return this.#noteHead(read);
  }

  /** Tells that the head was reached, or gets true if it was not. */
  #noteHead(read: LogRead): boolean {
    const { startedAt, head } = read;
    const { offset } = this.#book.getFleet();
    if (offset + 1 < head) return true;
    this.#options.notify({ kind: "log-read", startedAt, head, offset });
    this.#publishSnapshot();
    return false;
  }

  #addRecords(records: readonly LogRecord[]): void {
    const before = this.#book.getEffectiveFleet();
    const judged = this.#search === undefined ? this.#book.addRecords(records) : [];
    for (const each of judged) this.#report(each);
    if (this.#book.getEffectiveFleet() !== before) this.#notifyFleet();
  }

  #notifyFleet(): void {
    this.#options.notify({ kind: "fleet-changed", fleet: this.#book.getEffectiveFleet() });
  }

  #report(judged: JudgedRecord): void {
    const { record, verdict } = judged;
    this.#settle(record.id, { outcome: "judged", offset: record.offset, verdict });
    this.#snapshots.addRecord(record, this.#options.clock.getElapsed());
    logVerdict(this.#options.log, judged);
  }

  #handlePeer(from: string, message: RecordPeerMessage): void {
    if (message.kind === "records-relayed") return this.#addRecords(message.records);
    if (!this.#book.isRetained(message.from)) return;
    for (const records of createRelayBatches(this.#book.getRecords(message.from, PULL_LIMIT))) {
      this.#options.send(from, { kind: "records-relayed", records });
    }
  }

  #pull(from: string, offset: number): void {
    const now = this.#options.clock.getElapsed();
    const isTooSoon = now - this.#pulledAt < PULL_INTERVAL_MILLISECONDS;
    const next = this.#book.getFleet().offset + 1;
    if (offset < next || isTooSoon || this.#search !== undefined) return;
    this.#pulledAt = now;
    this.#options.send(from, { kind: "records-requested", from: next });
  }

  #publishSnapshot(): void {
    if (this.#book.hasUnknownData()) return;
    const fleet = this.#book.getFleet();
    const drafts = this.#snapshots.takeDrafts(fleet, this.#options.clock.getElapsed());
    if (drafts.length > 0) {
      this.#options.log("snapshot-published", { offset: fleet.offset, chunks: drafts.length });
    }
    for (const draft of drafts) this.#publish(draft, () => this.#snapshots.handleChunkEnded());
  }
}
