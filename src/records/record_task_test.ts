import test from "ava";
import FakeTimers from "@sinonjs/fake-timers";
import { RECORD_RULES } from "../entry/record_rules.ts";
import { formatEvent } from "../events/mod.ts";
import { decodeSnapshot, encodeSnapshot } from "../links/snapshot_text.ts";
import { type Address, ElapsedClock } from "../tasks/mod.ts";
import type { PlatformMessage } from "./platform_messages.ts";
import type { DraftRecord, LogRecord } from "./record.ts";
import type { RecordMessage } from "./record_messages.ts";
import { RecordTask } from "./record_task.ts";

const READ_INTERVAL_MILLISECONDS = 500;

/** A log in memory that can be down, lose replies, leave reads unanswered or expire old records. */
class FakeLog implements Address<PlatformMessage> {
  readonly records: LogRecord[] = [];
  earliest = 0;
  appends = 0;
  isDown = false;
  losesReplies = false;
  ignoresReads = false;

  post(message: PlatformMessage): boolean {
    if (message.kind === "append") this.#append(message);
    if (message.kind === "read") this.#read(message);
    return true;
  }

  #append(message: Extract<PlatformMessage, { kind: "append" }>): void {
    this.appends += 1;
    if (this.isDown) return message.reply({ outcome: "unknown", reason: "down" });
    const firstOffset = this.records.length;
    for (const draft of message.records) {
      this.records.push({ ...draft, offset: this.records.length });
    }
    if (this.losesReplies) return message.reply({ outcome: "unknown", reason: "reply lost" });
    message.reply({ outcome: "acknowledged", firstOffset });
  }

  #read(message: Extract<PlatformMessage, { kind: "read" }>): void {
    if (this.ignoresReads) return;
    if (this.isDown) return message.reply({ outcome: "failed", reason: "down" });
    const from = Math.max(message.from, this.earliest);
    const records = this.records.slice(from, from + message.limit);
    const next = from + records.length;
    const read = {
      startedAt: 0,
      head: this.records.length,
      earliest: this.earliest,
      records,
      next,
    };
    message.reply({ outcome: "read", read });
  }
}

/** A connection to the log that can be interrupted for one host. */
class InterruptibleLog implements Address<PlatformMessage> {
  isInterrupted = false;

  constructor(readonly log: FakeLog) {}

  post(message: PlatformMessage): boolean {
    if (!this.isInterrupted) return this.log.post(message);
    if (message.kind === "read") message.reply({ outcome: "failed", reason: "interrupted" });
    return true;
  }
}

function createHost(platform: Address<PlatformMessage>, memberId: string) {
  const seen: string[] = [];
  const peers: Address<RecordMessage>[] = [];
  const task = RecordTask.create({
    memberId,
    platform,
    rules: RECORD_RULES,
    encodeSnapshot,
    decodeSnapshot,
    clock: ElapsedClock.create(),
    readIntervalMilliseconds: READ_INTERVAL_MILLISECONDS,
    appendIntervalMilliseconds: 25,
    publicationTimeoutMilliseconds: 10_000,
    snapshotIntervalRecords: 100,
    snapshotIntervalMilliseconds: 600_000,
    notify: (event) => {
      if (event.kind !== "fleet-changed") return;
      const keys = event.fleet.getKeys().map((key) =>
        key.getId() + (key.isWithdrawn() ? "-" : "+")
      );
      seen.push(`offset ${event.fleet.offset} ${keys.join(" ")}`.trim());
    },
    broadcast: (message) =>
      peers.forEach((peer) => peer.post({ kind: "peer", from: memberId, message })),
    send: () => undefined,
    log: (event, fields) => seen.push(formatEvent({ event, ...fields })),
  });
  return { task, peers, seen };
}

function createGrant(keyId: string): DraftRecord {
  const body = { keyId, team: "t", secretHash: "0".repeat(64) };
  return { id: `grant-${keyId}`, kind: "key-granted", version: 1, author: "operator", body };
}

function createWithdrawal(keyId: string): DraftRecord {
  const id = `withdraw-${keyId}`;
  return { id, kind: "key-withdrawn", version: 1, author: "operator", body: { keyId } };
}

test.serial("an append that took effect but whose reply was lost is not applied twice", async (t) => {
  const clock = FakeTimers.install();
  const log = new FakeLog();
  const host = createHost(log, "entry-1");
  const answers: unknown[] = [];
  const reply = (answer: unknown) => answers.push(answer);
  await clock.tickAsync(10);
  log.losesReplies = true;
  host.task.post({ kind: "publish", draft: createGrant("k1"), reply });
  await clock.tickAsync(READ_INTERVAL_MILLISECONDS);
  log.losesReplies = false;
  host.task.post({ kind: "publish", draft: createGrant("k1"), reply });
  await clock.tickAsync(3 * READ_INTERVAL_MILLISECONDS);
  t.snapshot({ answers, seen: host.seen, state: host.task.getState() });
  host.task.stop();
  clock.uninstall();
});

test.serial("while the log is down a publication times out as unknown, unless the log recovers in time", async (t) => {
  const clock = FakeTimers.install();
  const log = new FakeLog();
  const host = createHost(log, "entry-1");
  const answers: unknown[] = [];
  await clock.tickAsync(10);
  log.isDown = true;
  host.task.post({
    kind: "publish",
    draft: createGrant("k1"),
    reply: (answer) => answers.push(answer),
  });
  await clock.tickAsync(5_000);
  log.isDown = false;
  await clock.tickAsync(1_000);
  log.isDown = true;
  host.task.post({
    kind: "publish",
    draft: createGrant("k2"),
    reply: (answer) => answers.push(answer),
  });
  await clock.tickAsync(11_000);
  t.snapshot(answers);
  host.task.stop();
  clock.uninstall();
});

test.serial("a relayed withdrawal takes effect while the peer's own reads hang", async (t) => {
  const clock = FakeTimers.install();
  const log = new FakeLog();
  const publisher = createHost(log, "entry-1");
  const peer = createHost(log, "entry-2");
  publisher.task.post({ kind: "publish", draft: createGrant("k1"), reply: () => undefined });
  await clock.tickAsync(2 * READ_INTERVAL_MILLISECONDS);
  publisher.peers.push(peer.task);
  log.ignoresReads = true;
  log.records.push({ ...createGrant("k2"), offset: 1 });
  publisher.task.post({ kind: "publish", draft: createWithdrawal("k1"), reply: () => undefined });
  await clock.tickAsync(1);
  t.snapshot(peer.seen);
  publisher.task.stop();
  peer.task.stop();
  clock.uninstall();
});

test.serial("concurrent publications are batched into a few appends", async (t) => {
  const clock = FakeTimers.install();
  const log = new FakeLog();
  const host = createHost(log, "entry-1");
  let completed = 0;
  for (let index = 0; index < 5_000; index += 1) {
    const reply = () => completed += 1;
    host.task.post({ kind: "publish", draft: createGrant(`k${index}`), reply });
  }
  await clock.tickAsync(1_000);
  t.is(completed, 5_000);
  t.snapshot({ appends: log.appends, offset: host.task.getState() });
  host.task.stop();
  clock.uninstall();
});

test.serial("a host that was disconnected beyond the log's retention continues from a snapshot", async (t) => {
  const clock = FakeTimers.install();
  const log = new FakeLog();
  const writer = createHost(log, "entry-1");
  const link = new InterruptibleLog(log);
  const disconnected = createHost(link, "entry-2");
  const join = {
    memberId: "entry-1",
    entryHost: "entry-1",
    zone: "a",
    peerAddress: "127.0.0.1:1",
    operatorAddress: "127.0.0.1:2",
    callerAddress: "127.0.0.1:3",
  };
  const draft = { id: "join", kind: "member-joined", version: 1, author: "entry-1", body: join };
  writer.task.post({ kind: "publish", draft, reply: () => undefined });
  await clock.tickAsync(READ_INTERVAL_MILLISECONDS);
  const before = disconnected.task.getState();
  link.isInterrupted = true;
  for (let index = 0; index < 150; index += 1) {
    writer.task.post({ kind: "publish", draft: createGrant(`k${index}`), reply: () => undefined });
  }
  await clock.tickAsync(3 * READ_INTERVAL_MILLISECONDS);
  log.earliest = log.records.findIndex((record) => record.kind === "snapshot-chunk");
  t.true(log.earliest > 1);
  link.isInterrupted = false;
  await clock.tickAsync(3 * READ_INTERVAL_MILLISECONDS);
  t.snapshot({
    before,
    earliest: log.earliest,
    events: disconnected.seen.filter((line) => line.startsWith("event=")).slice(-2),
    after: disconnected.task.getState(),
  });
  writer.task.stop();
  disconnected.task.stop();
  clock.uninstall();
});
