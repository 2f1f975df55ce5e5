/** Follows the log: owns the fleet, publishes records and notifies other tasks of changes. */

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

/** The maximum number of records in one read of the log. */
export const MAXIMUM_RECORDS_PER_READ = 5_000;

/** The maximum number of records in the reply to a peer's or operator's request. */
const MAXIMUM_REQUESTED_RECORDS = 1_000;

/** The minimum time between two requests to peers for missing records. */
const MINIMUM_REQUEST_INTERVAL_MILLISECONDS = 100;

/** The result of a publication that timed out. */
const TIMED_OUT: PublicationResult = {
  outcome: "unknown",
  reason: "the log did not answer in time",
};

/** Options of a `RecordTask`. */
export interface RecordTaskOptions {
  /** The member id of this process. */
  memberId: string;
  /** The task that sends requests to the platform. */
  platform: Address<PlatformMessage>;
  /** The rules by record kind. */
  rules: RecordRules;
  /** Encodes a snapshot into chunks. */
  encodeSnapshot: EncodeSnapshot;
  /** Decodes the chunks of a snapshot. */
  decodeSnapshot: DecodeSnapshot;
  /** The monotonic clock. */
  clock: ElapsedClock;
  /** The delay between two reads of the log. */
  readIntervalMilliseconds: number;
  /** The minimum time between the starts of two appends. */
  appendIntervalMilliseconds: number;
  /** The time after which a publication without a verdict times out. */
  publicationTimeoutMilliseconds: number;
  /** The number of records after which a snapshot is due. */
  snapshotIntervalRecords: number;
  /** The time after which a snapshot is due. */
  snapshotIntervalMilliseconds: number;
  /** Notifies the other tasks. */
  notify: (event: RecordEvent) => void;
  /** Sends a message to every peer. */
  broadcast: (message: RecordPeerMessage) => void;
  /** Sends a message to one peer. */
  send: (to: string, message: RecordPeerMessage) => void;
  /** The log of events. */
  log: EventLog;
}

/** Owns the fleet that results from the records of the log. */
export class RecordTask extends Task<RecordMessage> {
  readonly #options: RecordTaskOptions;
  readonly #recordBook: RecordBook;
  readonly #publications = PublicationQueue.create();
  readonly #logAppender: LogAppender;
  readonly #snapshotPublisher: SnapshotPublisher;
  readonly #timeoutTimers = new Map<string, NodeJS.Timeout>();
  #search: SnapshotSearch | undefined;
  #isReading = false;
  #isReadWanted = false;
  #readTimer: NodeJS.Timeout | undefined;
  #failedReads = 0;
  #requestedAt = Number.NEGATIVE_INFINITY;

  private constructor(options: RecordTaskOptions) {
    super({ name: "records" });
    this.#options = options;
    this.#recordBook = RecordBook.create({ rules: options.rules });
    this.#search = SnapshotSearch.create(options);
    this.#snapshotPublisher = SnapshotPublisher.create({
      memberId: options.memberId,
      encodeSnapshot: options.encodeSnapshot,
      startedAt: options.clock.getElapsed(),
      intervalRecords: options.snapshotIntervalRecords,
      intervalMilliseconds: options.snapshotIntervalMilliseconds,
    });
    this.#logAppender = LogAppender.create({
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
        return this.#complete(message.recordId, TIMED_OUT);
      case "append-tick":
        return this.#logAppender.appendPending();
      case "append-ended":
        return this.#handleAppended(message.drafts, message.result);
      case "read-tick":
        return this.#read();
      case "read-ended":
        return this.#handleRead(message.result);
      case "peer":
        return this.#handlePeer(message.from, message.message);
      case "peer-ahead":
        return this.#requestMissing(message.from, message.offset);
      case "get-records":
        return message.reply(this.#recordBook.getRecords(message.from, MAXIMUM_REQUESTED_RECORDS));
    }
  }

  override getState(): unknown {
    return {
      offset: this.#recordBook.getFleet().offset,
      isSearching: this.#search !== undefined,
      recordsAhead: this.#recordBook.getAheadCount(),
      publications: this.#publications.getLength(),
      failedReads: this.#failedReads,
      snapshotOffset: this.#snapshotPublisher.getOffset(),
    };
  }

  override stop(): void {
    super.stop();
    clearTimeout(this.#readTimer);
    this.#logAppender.stop();
    for (const timer of this.#timeoutTimers.values()) clearTimeout(timer);
  }

  #publish(draft: DraftRecord, reply: Reply<PublicationResult>): void {
    this.#publications.add(draft, reply);
    const timer = setTimeout(
      () => this.post({ kind: "publication-deadline", recordId: draft.id }),
      this.#options.publicationTimeoutMilliseconds,
    );
    clearTimeout(this.#timeoutTimers.get(draft.id));
    this.#timeoutTimers.set(draft.id, timer);
    this.#logAppender.appendPending();
  }

  #complete(recordId: string, result: PublicationResult): void {
    clearTimeout(this.#timeoutTimers.get(recordId));
    this.#timeoutTimers.delete(recordId);
    this.#publications.complete(recordId, result);
  }

  #handleAppended(drafts: DraftRecord[], result: AppendResult): void {
    this.#logAppender.endAppend();
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
    if (this.#recordBook.getAheadCount() > 0) this.#read();
    this.#logAppender.appendPending();
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
      { from: this.#recordBook.getFleet().offset + 1, limit: MAXIMUM_RECORDS_PER_READ };
    const reply = (result: ReadResult) => this.post({ kind: "read-ended", result });
    if (this.#options.platform.post({ kind: "read", ...next, reply })) return;
    reply({ outcome: "failed", reason: "the platform task's queue is full" });
  }

  #handleRead(result: ReadResult): void {
    this.#isReading = false;
    const isBehind = result.outcome === "read" && this.#handleRecords(result.read);
    if (result.outcome === "failed") {
      this.#failedReads += 1;
      this.#options.log("log-read-failed", { reason: result.reason });
    }
    this.#logAppender.appendPending();
    if (isBehind || (this.#isReadWanted && result.outcome === "read")) return this.#read();
    this.#readTimer = setTimeout(
      () => this.post({ kind: "read-tick" }),
      this.#options.readIntervalMilliseconds,
    );
  }

  /** Processes a read; returns whether there is more to read. */
  #handleRecords(read: LogRead): boolean {
    if (this.#search !== undefined) return this.#continueSearch(this.#search, read);
    if (read.earliest > this.#recordBook.getFleet().offset + 1) {
      this.#options.log("log-gap", { earliest: read.earliest });
      this.#search = SnapshotSearch.create(this.#options);
      return true;
    }
    this.#addRecords(read.records);
    return this.#handleHead(read);
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
    if (this.#recordBook.restore(result.fleet)) {
      this.#snapshotPublisher.setNewestSnapshot(
        result.fleet.offset,
        this.#options.clock.getElapsed(),
      );
      this.#options.log("snapshot-restored", { offset: result.fleet.offset });
      this.#notifyFleet();
    }
    this.#addRecords(result.records);
    return this.#handleHead(read);
  }

  /** Notifies the other tasks if the head of the log was reached; returns `true` if it was not. */
  #handleHead(read: LogRead): boolean {
    const { startedAt, head } = read;
    const { offset } = this.#recordBook.getFleet();
    if (offset + 1 < head) return true;
    this.#options.notify({ kind: "log-read", startedAt, head, offset });
    this.#publishSnapshot();
    return false;
  }

  #addRecords(records: readonly LogRecord[]): void {
    const before = this.#recordBook.getEffectiveFleet();
    const judged = this.#search === undefined ? this.#recordBook.addRecords(records) : [];
    for (const each of judged) this.#handleVerdict(each);
    if (this.#recordBook.getEffectiveFleet() !== before) this.#notifyFleet();
  }

  #notifyFleet(): void {
    this.#options.notify({ kind: "fleet-changed", fleet: this.#recordBook.getEffectiveFleet() });
  }

  #handleVerdict(judged: JudgedRecord): void {
    const { record, verdict } = judged;
    this.#complete(record.id, { outcome: "judged", offset: record.offset, verdict });
    this.#snapshotPublisher.addRecord(record, this.#options.clock.getElapsed());
    logVerdict(this.#options.log, judged);
  }

  #handlePeer(from: string, message: RecordPeerMessage): void {
    if (message.kind === "records-relayed") return this.#addRecords(message.records);
    if (!this.#recordBook.isRetained(message.from)) return;
    for (
      const records of createRelayBatches(
        this.#recordBook.getRecords(message.from, MAXIMUM_REQUESTED_RECORDS),
      )
    ) {
      this.#options.send(from, { kind: "records-relayed", records });
    }
  }

  #requestMissing(from: string, offset: number): void {
    const now = this.#options.clock.getElapsed();
    const isTooSoon = now - this.#requestedAt < MINIMUM_REQUEST_INTERVAL_MILLISECONDS;
    const next = this.#recordBook.getFleet().offset + 1;
    if (offset < next || isTooSoon || this.#search !== undefined) return;
    this.#requestedAt = now;
    this.#options.send(from, { kind: "records-requested", from: next });
  }

  #publishSnapshot(): void {
    if (this.#recordBook.hasUnknownData()) return;
    const fleet = this.#recordBook.getFleet();
    const drafts = this.#snapshotPublisher.takeDrafts(fleet, this.#options.clock.getElapsed());
    if (drafts.length > 0) {
      this.#options.log("snapshot-published", { offset: fleet.offset, chunks: drafts.length });
    }
    for (const draft of drafts) {
      this.#publish(draft, () => this.#snapshotPublisher.handleChunkEnded());
    }
  }
}
